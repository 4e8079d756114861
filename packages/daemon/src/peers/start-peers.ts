/** Starts the server and the transport of the connections between hosts. */

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

/** Outgoing connections to other hosts. */
export interface PeerConnections {
  readonly transport: PeerTransport;
  /** Drops the connection to a host, so that the next request opens a new one. */
  readonly reconnect: (host: HostId) => Promise<void>;
}

export interface PeerDependencies {
  readonly settings: CompleteSettings;
  readonly security: PeerSecurity;
  readonly self: PeerIdentity;
  readonly configuration: () => Configuration;
  readonly log: EventLog;
  readonly clock: Clock;
  /** Called with the configuration version that a host reports in a reply. */
  readonly onConfigurationVersion?: (version: bigint, host: HostId) => void;
  /** Creates the handlers of requests from other hosts. */
  readonly createHandlers: (connections: PeerConnections) => PeerHandlers;
}

/** The server and the transport of this host. */
export interface PeerEndpoint {
  readonly address: string;
  readonly transport: GrpcPeerTransport;
  readonly incarnations: IncarnationRegistry;
  /**
   * Removes the connections and incarnations of hosts that are in neither the
   * current nor the previous list of members.
   */
  removeFormerMembers(): void;
  close(): Promise<void>;
}

/** Listens for requests from other hosts and creates the transport to them. */
export async function startPeers(
  dependencies: PeerDependencies,
): Promise<PeerEndpoint> {
  const {settings, security, self, configuration, createHandlers} =
    dependencies;
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
    onReply: (from, version) =>
      dependencies.onConfigurationVersion?.(version, from.host),
  });
  const server = new PeerServer({
    address: settings.listen.peers,
    security,
    self,
    handlers: createHandlers({
      transport: withSeedAddresses(transport),
      reconnect: async host => transport.disconnect(host),
    }),
    incarnations,
    isKnownHost,
    configurationVersion,
    onRefusal: createRefusalLogger(dependencies),
  });
  const close = async () => {
    await transport.close();
    await server.close();
  };
  try {
    await server.listen();
  } catch (error) {
    await close();
    throw StartError.forAddress('/listen/peers', settings.listen.peers, error);
  }
  return {
    address: server.address,
    transport,
    incarnations,
    removeFormerMembers() {
      incarnations.removeUnless(isKnownHost);
      transport.closeChannelsExcept(isKnownHost);
    },
    close,
  };
}

const maximumLoggedHostCharacters = 64;
const refusalLogIntervalMilliseconds = 1000;

/** Logs at most one refusal per code and interval. */
function createRefusalLogger({
  clock,
  log,
}: PeerDependencies): (host: string, code: PeerRefusal_Code) => void {
  const lastLoggedAt = new Map<PeerRefusal_Code, number>();
  return (host, code) => {
    const now = clock.now();
    const last = lastLoggedAt.get(code);
    if (last !== undefined && now - last < refusalLogIntervalMilliseconds)
      return;
    lastLoggedAt.set(code, now);
    log.write('peerRefused', {
      peer: host.slice(0, maximumLoggedHostCharacters),
      code: PeerRefusal_Code[code] ?? String(code),
    });
  };
}

/** Finds `host` in the current or the previous list of members. */
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

/**
 * Until the members are known, the id of a seed is its address, which contains
 * `:`. Requests to such an id use `exchangeWithSeed`.
 */
function withSeedAddresses(transport: GrpcPeerTransport): PeerTransport {
  return {
    async exchange(host, body, timeoutMilliseconds) {
      if (!host.includes(':'))
        return transport.exchange(host, body, timeoutMilliseconds);
      const reply = await transport.exchangeWithSeed(
        host,
        body,
        timeoutMilliseconds,
      );
      return reply.map(verified => verified.body);
    },
  };
}
