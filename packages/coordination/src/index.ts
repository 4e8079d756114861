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
export type {OwnedAttempts} from './placement/attempt-cleaner.js';
export {blocksOfWords} from './placement/cache-view.js';
export type {PromptBlocks} from './placement/cache-view.js';
export {deferrableShare, FairQueue} from './placement/fair-queue.js';
export type {
  QueueBounds,
  QueueItem,
  ServiceClass,
} from './placement/fair-queue.js';
export type {
  PlacementPolicy,
  SlotSharing,
} from './placement/placement-policy.js';
export {ModelEngine} from './simulation/model-engine.js';
export {defaultModelEngineOptions} from './simulation/model-engine-options.js';
export type {
  EngineFault,
  ModelEngineOptions,
} from './simulation/model-engine-options.js';
export {connectEngine} from './simulation/model-engine-connection.js';
export type {EngineRoute} from './simulation/model-engine-connection.js';
export {ModelFleet} from './simulation/model-fleet.js';
export type {
  EngineSpec,
  FleetSpec,
  HostSpec,
  RequestSpec,
} from './simulation/model-fleet.js';
