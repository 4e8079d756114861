/** Both directions of the connections between hosts. */

import {PeerRefusal_Code, hostId} from '@persimmonwick/coordination';
import type {
  CompleteSettings,
  Configuration,
  Host,
  HostId,
  Member,
  PeerIdentity,
  PeerTransport,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {StartError} from '../start-error.js';
import {GrpcPeerTransport} from './grpc-peer-transport.js';
import {IncarnationRegister} from './incarnation-register.js';
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
  readonly log: EventLog;
  /** Makes the host that answers others, given the way to them. */
  readonly makeHost: (links: PeerLinks) => Host;
}

/** Connections between hosts that are open. */
export interface Peers {
  readonly address: string;
  readonly transport: GrpcPeerTransport;
  readonly incarnations: IncarnationRegister;
  close(): Promise<void>;
}

/** Listens for other hosts and makes the transport towards them. */
export async function startPeers(
  parts: PeerParts,
): Promise<{host: Host; peers: Peers}> {
  const {settings, security, self, log, makeHost} = parts;
  const incarnations = new IncarnationRegister();
  const configurationVersion = () => host.configuration.version;
  const memberOf = (id: HostId) => findMember(host.configuration, id);
  const transport = new GrpcPeerTransport({
    self,
    security,
    addressOf: host => memberOf(host)?.address,
    incarnations,
    configurationVersion,
  });
  const host = makeHost({
    transport: withSeeds(transport),
    reconnect: async id => transport.reconnect(id),
  });
  const server = new PeerServer({
    address: settings.listen.peers,
    security,
    self,
    handlers: handlersOf(host),
    incarnations,
    isKnownHost: host => memberOf(host) !== undefined,
    configurationVersion,
    onRefusal: (host, code) =>
      log.write('peerRefused', {
        peer: host.slice(0, maximumLoggedLength),
        code: PeerRefusal_Code[code] ?? String(code),
      }),
  });
  try {
    await server.listen();
  } catch (error) {
    await server.close();
    await transport.close();
    throw StartError.ofAddress('/listen/peers', settings.listen.peers, error);
  }
  const peers = {
    address: server.address,
    transport,
    incarnations,
    async close() {
      await transport.close();
      await server.close();
    },
  };
  return {host, peers};
}

function handlersOf(host: Host): PeerHandlers {
  return {
    configuration: host.configurationHandler,
    limit: host.limiter,
    claim: host.claims,
    fleet: host.fleet,
    ownership: host.ownership,
  };
}

const maximumLoggedLength = 64;

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
