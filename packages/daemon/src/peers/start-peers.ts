/** Both directions of the connections between hosts. */

import {PeerRefusal_Code, hostId} from '@persimmonwick/coordination';
import type {
  Clock,
  CompleteSettings,
  Configuration,
  HostId,
  Member,
  PeerIdentity,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {StartError} from '../start-error.js';
import {GrpcPeerTransport} from './grpc-peer-transport.js';
import {IncarnationRegister} from './incarnation-register.js';
import {PeerServer} from './peer-server.js';
import type {PeerHandlers} from './peer-server.js';
import type {PeerSecurity} from './peer-security.js';

/** What the connections between hosts work with. */
export interface PeerParts {
  readonly settings: CompleteSettings;
  readonly security: PeerSecurity;
  readonly self: PeerIdentity;
  readonly configuration: () => Configuration;
  readonly log: EventLog;
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
}

/** Connections between hosts that are open. */
export interface Peers {
  readonly address: string;
  readonly transport: GrpcPeerTransport;
  readonly incarnations: IncarnationRegister;
  /** Drops what is kept of hosts that are no longer members. */
  forgetOthers(): void;
  close(): Promise<void>;
}

/** Listens for other hosts and makes the transport towards them. */
export async function startPeers(parts: PeerParts): Promise<Peers> {
  const {settings, security, self, configuration, handlers} = parts;
  const incarnations = new IncarnationRegister();
  const configurationVersion = () => configuration().version;
  const memberOf = (host: HostId) => findMember(configuration(), host);
  const isKnownHost = (host: HostId) => memberOf(host) !== undefined;
  const server = new PeerServer({
    address: settings.listen.peers,
    security,
    self,
    handlers,
    incarnations,
    isKnownHost,
    configurationVersion,
    onRefusal: createRefusalLogger(parts),
  });
  try {
    await server.listen();
  } catch (error) {
    await server.close();
    throw StartError.ofAddress('/listen/peers', settings.listen.peers, error);
  }
  const transport = new GrpcPeerTransport({
    self,
    security,
    addressOf: host => memberOf(host)?.address,
    incarnations,
    configurationVersion,
  });
  return {
    address: server.address,
    transport,
    incarnations,
    forgetOthers() {
      incarnations.forgetUnless(isKnownHost);
      transport.forgetUnless(isKnownHost);
    },
    async close() {
      await transport.close();
      await server.close();
    },
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
