/** `persimmonwick status`: state, requests, peers and upstreams of a host. */

import type {CommandModule} from 'yargs';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {requestFromHost, reportError} from '../operator-client.js';
import {formatTable} from '../table.js';

interface HostStatus {
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly version: string;
  readonly inFlight: number;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  readonly peers: ReadonlyArray<{
    readonly host: string;
    readonly failureDomain: string;
    readonly state: string;
  }>;
  readonly upstreams: ReadonlyArray<{
    readonly upstream: string;
    readonly state: string;
    readonly details: Readonly<Record<string, unknown>>;
  }>;
}

export function statusCommand(
  context: CommandContext,
): CommandModule<object, HostOptions> {
  return {
    command: 'status',
    describe:
      'show state, version, requests in flight, peers and upstreams of a host',
    builder: command => command.options(addressOption) as never,
    async handler(options) {
      const response = await requestFromHost<HostStatus>(options, '/status');
      if (response.isErr) return reportError(context, response.error);
      if (options.json) return context.print(JSON.stringify(response.value));
      for (const line of formatStatus(response.value)) context.print(line);
    },
  };
}

function formatStatus(status: HostStatus): string[] {
  const state = status.isDraining
    ? 'draining'
    : status.isReady
      ? 'ready'
      : 'not ready';
  const lines = formatTable(
    ['HOST', 'DOMAIN', 'STATE', 'VERSION', 'IN FLIGHT', 'INCARNATION'],
    [
      [
        status.host,
        status.failureDomain,
        state,
        status.version,
        String(status.inFlight),
        status.incarnation,
      ],
    ],
  );
  if (status.peers.length > 0)
    lines.push(
      '',
      ...formatTable(
        ['PEER', 'DOMAIN', 'STATE'],
        status.peers.map(peer => [peer.host, peer.failureDomain, peer.state]),
      ),
    );
  if (status.upstreams.length > 0)
    lines.push(
      '',
      ...formatTable(
        ['UPSTREAM', 'STATE', 'DETAILS'],
        status.upstreams.map(({upstream, state, details}) => [
          upstream,
          state,
          Object.entries(details)
            .map(([name, value]) => `${name}=${String(value)}`)
            .join(' '),
        ]),
      ),
    );
  return lines;
}
