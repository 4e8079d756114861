/** Both directions of the connections between hosts. */

import {PeerRefusal_Code, hostId} from '@persimmonwick/coordination';
import type {
  Clock,
  CompleteSettings,
  Configuration,
  HostId,
  Member,
  PeerIdentity,
  PeerTransport,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {StartError} from '../start-error.js';
import {GrpcPeerTransport} from './grpc-peer-transport.js';
import {IncarnationRegistry} from './incarnation-registry.js';
import {PeerServer} from './peer-server.js';
import type {PeerHandlers} from './peer-server.js';
import type {PeerSecurity} from './peer-security.js';

/** The ways to other hosts. */
export interface PeerLinks {
  readonly transport: PeerTransport;
  /** Drops the connection to a host and opens another one. */
  readonly reconnect: (host: HostId) => Promise<void>;
}

/** What the connections between hosts work with. */
export interface PeerParts {
  readonly settings: CompleteSettings;
  readonly security: PeerSecurity;
  readonly self: PeerIdentity;
  readonly configuration: () => Configuration;
  readonly log: EventLog;
  readonly clock: Clock;
  /** Told of the configuration version in force at each host that answers. */
  readonly onVersion?: (version: bigint, host: HostId) => void;
  /** Makes what answers other hosts, given the ways to them. */
  readonly makeHandlers: (links: PeerLinks) => PeerHandlers;
}

/** Connections between hosts that are open. */
export interface Peers {
  readonly address: string;
  readonly transport: GrpcPeerTransport;
  readonly incarnations: IncarnationRegistry;
  /** Drops what is kept of hosts that are no longer members. */
  forgetOthers(): void;
  close(): Promise<void>;
}

/** Listens for other hosts and makes the transport towards them. */
export async function startPeers(parts: PeerParts): Promise<Peers> {
  const {settings, security, self, configuration, makeHandlers} = parts;
  const incarnations = new IncarnationRegistry();
  const configurationVersion = () => configuration().version;
  const memberOf = (host: HostId) => findMember(configuration(), host);
  const isKnownHost = (host: HostId) => memberOf(host) !== undefined;
  const transport = new GrpcPeerTransport({
    self,
    security,
    addressOf: host => memberOf(host)?.address,
    incarnations,
    configurationVersion,
    onReply: (from, version) => parts.onVersion?.(version, from.host),
  });
  const server = new PeerServer({
    address: settings.listen.peers,
    security,
    self,
    handlers: makeHandlers({
      transport: withSeeds(transport),
      reconnect: async host => transport.reconnect(host),
    }),
    incarnations,
    isKnownHost,
    configurationVersion,
    onRefusal: createRefusalLogger(parts),
  });
  const close = async () => {
    await transport.close();
    await server.close();
  };
  try {
    await server.listen();
  } catch (error) {
    await close();
    throw StartError.ofAddress('/listen/peers', settings.listen.peers, error);
  }
  return {
    address: server.address,
    transport,
    incarnations,
    forgetOthers() {
      incarnations.forgetUnless(isKnownHost);
      transport.forgetUnless(isKnownHost);
    },
    close,
  };
}

const maximumLoggedLength = 64;
const refusalLogMilliseconds = 1000;

/** Writes one event for each code in a second, however many refusals. */
function createRefusalLogger({
  clock,
  log,
}: PeerParts): (host: string, code: PeerRefusal_Code) => void {
  const writtenAt = new Map<PeerRefusal_Code, number>();
  return (host, code) => {
    const now = clock.now();
    const last = writtenAt.get(code);
    if (last !== undefined && now - last < refusalLogMilliseconds) return;
    writtenAt.set(code, now);
    log.write('peerRefused', {
      peer: host.slice(0, maximumLoggedLength),
      code: PeerRefusal_Code[code] ?? String(code),
    });
  };
}

/** The member of the present or the previous list. */
function findMember(
  {membership}: Configuration,
  host: HostId,
): Member | undefined {
  if (membership === undefined) return undefined;
  const {members, previousMembers = []} = membership.spec;
  return [...members, ...previousMembers].find(
    member => hostId(member.host) === host,
  );
}

/** Hosts that settings name by their address are reached there. */
function withSeeds(transport: GrpcPeerTransport): PeerTransport {
  return {
    async exchange(host, body, timeoutMilliseconds) {
      if (!host.includes(':'))
        return transport.exchange(host, body, timeoutMilliseconds);
      const reply = await transport.exchangeWithSeed(
        host,
        body,
        timeoutMilliseconds,
      );
      return reply.map(answer => answer.body);
    },
  };
}
