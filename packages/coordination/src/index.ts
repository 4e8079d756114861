/** Public surface of the coordination library. */

export * from './ids.js';
export {systemClock} from './clock.js';
export type {Clock} from './clock.js';
export {randomBelow, seededRandom} from './random.js';
export type {RandomSource} from './random.js';
export {matchesSelector} from './labels.js';
export type {Labels} from './labels.js';
export {rankByRendezvous} from './rendezvous.js';
export type * from './peers/transport.js';
export type * from './upstreams/engine.js';
export {documentKey, parseDocument} from './configuration/documents.js';
export type {DocumentFault} from './configuration/documents.js';
export {
  applyChanges,
  buildConfiguration,
  emptyConfiguration,
  upstreamsOfPool,
} from './configuration/configuration.js';
export type {
  Configuration,
  ConfigurationChange,
  KeyHash,
  Route,
  Upstream,
} from './configuration/configuration.js';
export type * from './generated/documents.js';
export type {
  MutualTlsPeers,
  PlainPeers,
  Settings,
} from './generated/settings.js';
export {parseSettings} from './settings.js';
export type {CompleteSettings, SettingsFault} from './settings.js';
export * from './generated/messages/persimmonwick/peer.js';
export {statusOf} from './requests/failure.js';
export type {
  FailureCode,
  RequestFailure,
  RunState,
} from './requests/failure.js';
export type {
  CompletionEvent,
  CompletionRequest,
} from './requests/completion.js';
export {CompletionRunner} from './placement/completion-runner.js';
export type {
  CompletionRunnerParts,
  EngineDirectory,
} from './placement/completion-runner.js';
export {chatSchema} from './generated/chat-schema.js';
export type {ChatMessage, ChatRequest} from './generated/chat.js';
export {VirtualClock} from './simulation/virtual-clock.js';
export {
  InMemoryNetwork,
  perfectDelivery,
} from './simulation/in-memory-network.js';
export type {
  Delivery,
  DeliveryPolicy,
  PeerDispatcher,
} from './simulation/in-memory-network.js';
export {Claims} from './claims/claims.js';
export type {ClaimsParts} from './claims/claims.js';
export {ClaimWitness} from './claims/claim-witness.js';
export type {ClaimWitnessParts} from './claims/claim-witness.js';
export {ClaimCoordinator} from './claims/claim-coordinator.js';
export type {ClaimCoordinatorParts} from './claims/claim-coordinator.js';
export {ClaimPermit} from './claims/claim-permit.js';
export type {PermitEnds, PermitError} from './claims/claim-permit.js';
export type {
  ClaimDecision,
  ClaimRefusal,
  NotRunReason,
} from './claims/claim-decision.js';
export {
  chooseWitnesses,
  viewOfMembership,
  WitnessDirectory,
} from './claims/witness-placement.js';
export type {
  ClaimName,
  MembershipSpec,
  MembershipView,
  WitnessSets,
} from './claims/witness-placement.js';
export {WitnessParticipation} from './claims/witness-participation.js';
export {WitnessRecovery} from './claims/witness-recovery.js';
export type {WitnessRecoveryParts} from './claims/witness-recovery.js';
export {
  ClaimOwnerState_State,
  ClaimRefused_Code,
} from './generated/messages/persimmonwick/claims.js';
export type {
  ClaimKey,
  ClaimOutcome,
  ClaimOwner,
  ClaimReply,
  ClaimRequest,
} from './generated/messages/persimmonwick/claims.js';
export {LeaseManager} from './leases/lease-manager.js';
export type {
  Lease,
  LeaseManagerParts,
  LeaseRefusal,
} from './leases/lease-manager.js';
export {LeaseWitness} from './leases/lease-witness.js';
export type {LeaseWitnessParts} from './leases/lease-witness.js';
export {defaultMessageLifetimeMilliseconds} from './leases/lease-timing.js';
export {OrderIssuer} from './leases/order-issuer.js';
export type {
  EngineState,
  OrderIssuerParts,
  OrderRefusal,
  OrderReport,
} from './leases/order-issuer.js';
