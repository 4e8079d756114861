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
export type {
  ConfigurationOrigin,
  ConfigurationPage,
  PlatformError,
  PlatformSource,
} from './configuration/configuration-page.js';
export {ConfigurationStore} from './configuration/configuration-store.js';
export type {
  ConfigurationListener,
  ConfigurationStoreParts,
  PageOutcome,
  RefusedVersion,
} from './configuration/configuration-store.js';
export {ConfigurationHandler} from './configuration/configuration-handler.js';
export {ConfigurationDistributor} from './configuration/configuration-distributor.js';
export type {ConfigurationDistributorParts} from './configuration/distributor-parts.js';
export type {DistributionTiming} from './configuration/distribution-timing.js';
export {
  findConfigurationWarnings,
  findTransitionFaults,
} from './configuration/advice.js';
export {KeyGuard, KeyWithdrawnError} from './configuration/key-guard.js';
export type {GuardedRequest} from './configuration/key-guard.js';
export {liveUpstreams} from './configuration/live-upstreams.js';
export {OwnedAttempts} from './ownership/owned-attempts.js';
export {OwnershipHandler} from './ownership/ownership-handler.js';
export {Sweeper} from './ownership/sweeper.js';
export type {SweeperParts, SweepReason} from './ownership/sweeper.js';
export type {SweptEngine} from './ownership/holdings.js';
export {PauseDetector} from './fleet/pause-detector.js';
export type {
  PauseDetectorParts,
  PauseListener,
} from './fleet/pause-detector.js';
export {FleetView} from './fleet/fleet-view.js';
export type {FleetViewParts} from './fleet/fleet-view.js';
export type {HostView} from './fleet/host-status.js';
export {HostHintReader} from './fleet/host-hints.js';
export type {
  HostHint,
  HostHintReaderParts,
  HostHintSource,
} from './fleet/host-hints.js';
