/** Connections between the hosts of a fleet. */

export {GrpcPeerTransport} from './grpc-peer-transport.js';
export type {
  GrpcPeerTransportOptions,
  VerifiedReply,
} from './grpc-peer-transport.js';
export {IncarnationRegistry} from './incarnation-registry.js';
export {maximumPeerMessageBytes} from './peer-method.js';
export {loadPeerSecurity} from './peer-security.js';
export type {PeerSecurity} from './peer-security.js';
export {PeerServer} from './peer-server.js';
export type {
  PeerRequestKind,
  PeerHandlers,
  PeerServerOptions,
} from './peer-server.js';
export {RetryBudget, withRetries} from './retries.js';
export type {RetryOptions} from './retries.js';
export {startPeers} from './start-peers.js';
export type {PeerDependencies, PeerEndpoint} from './start-peers.js';
