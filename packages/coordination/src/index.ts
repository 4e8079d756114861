/** The public API of the coordination library. */

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
export {httpStatusOf} from './requests/failure.js';
export type {
  FailureCode,
  RequestFailure,
  ExecutionState,
} from './requests/failure.js';
export type {
  CompletionEvent,
  CompletionObserver,
  CompletionRequest,
} from './requests/completion.js';
export {CompletionRunner} from './placement/completion-runner.js';
export type {
  CompletionRunnerParts,
  EngineDirectory,
} from './placement/completion-runner.js';
export {validateChatRequest} from './generated/chat-validators.js';
export type {ChatMessage, ChatRequest} from './generated/chat.js';
export {VirtualClock} from './simulation/virtual-clock.js';
export {
  InMemoryNetwork,
  immediateDelivery,
} from './simulation/in-memory-network.js';
export type {
  Delivery,
  DeliveryPolicy,
  PeerRequestHandler,
} from './simulation/in-memory-network.js';
export {
  checkInvariants,
  invariantConditions,
  defaultInvariantBounds,
} from './invariants/check-invariants.js';
export type {
  InvariantCondition,
  InvariantBounds,
  InvariantViolation,
} from './invariants/check-invariants.js';
export type * from './invariants/run-event.js';
export {
  findAccountOfKey,
  findModelRoute,
  findServiceRoute,
  hashKey,
  canUseRoute,
  missingKeyFailure,
  pathWithoutQuery,
  servesModel,
  servesPath,
} from './requests/authentication.js';
export type {
  RoutedServiceCall,
  ServiceResponse,
  ServiceCall,
  ServiceSender,
} from './requests/service-call.js';
export {loadTrace} from './replay/load-trace.js';
export type {TraceFileFault} from './replay/load-trace.js';
export type {Trace} from './generated/trace.js';
export {
  PauseGate,
  pausableClock,
  pausableTransport,
} from './simulation/pause-gate.js';
export {SimulatedService} from './simulation/simulated-service.js';
export type {SimulatedServiceFault} from './simulation/simulated-service.js';
export {provesNotRun, serviceFailure} from './requests/retry-safety.js';
export {orderServiceUpstreams} from './requests/service-selection.js';
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
export {compareConfigurations} from './configuration/compare-configurations.js';
export type {
  DocumentDifference,
  FieldDifference,
} from './configuration/compare-configurations.js';
export {findContradictoryLimits} from './configuration/contradictory-limits.js';
export {findUnreachableEntries} from './configuration/unreachable-entries.js';
export {
  findConfigurationWarnings,
  findMembershipTransitionFaults,
} from './configuration/publication-checks.js';
export {
  KeyWithdrawalMonitor,
  KeyWithdrawnError,
} from './configuration/key-withdrawal-monitor.js';
export type {MonitoredRequest} from './configuration/key-withdrawal-monitor.js';
export {liveUpstreams} from './configuration/live-upstreams.js';
export type {AttemptRegistry} from './placement/attempt-cleaner.js';
export {createWordBlockHasher} from './placement/cache-view.js';
export type {PromptBlockHasher} from './placement/cache-view.js';
export {minimumDeferrableShare, FairQueue} from './placement/fair-queue.js';
export type {
  QueueLimits,
  QueueItem,
  ServiceClass,
} from './placement/fair-queue.js';
export type {
  PlacementPolicy,
  SlotSharing,
} from './placement/placement-policy.js';
export {SimulatedEngine} from './simulation/simulated-engine.js';
export {defaultSimulatedEngineOptions} from './simulation/simulated-engine-options.js';
export type {
  SimulatedEngineFault,
  SimulatedEngineOptions,
} from './simulation/simulated-engine-options.js';
export {connectEngine} from './simulation/simulated-engine-connection.js';
export type {EngineLink} from './simulation/simulated-engine-connection.js';
export {SimulatedFleet} from './simulation/simulated-fleet.js';
export type {
  SimulatedEngineSpec,
  SimulatedFleetSpec,
  SimulatedHostSpec,
  SimulatedRequestSpec,
} from './simulation/simulated-fleet.js';
export {OwnedAttempts} from './ownership/owned-attempts.js';
export {OwnershipHandler} from './ownership/ownership-handler.js';
export {Sweeper} from './ownership/sweeper.js';
export {Limiter} from './limits/limiter.js';
export type {LimiterParts} from './limits/limiter.js';
export {InvalidTokensError} from './limits/admission.js';
export type {Admission, RateRefusal} from './limits/admission.js';
export {TokenBucket} from './limits/token-bucket.js';
export type {
  BucketGrant,
  BucketGrantRequest,
  BucketShare,
  InitialBucketState,
} from './limits/token-bucket.js';
export type {LimiterCounters} from './limits/limiter-counters.js';
export {holderShares} from './limits/shares.js';
export type {HolderShare} from './limits/shares.js';
export {Claims} from './claims/claims.js';
export type {ClaimsParts} from './claims/claims.js';
export {ClaimWitness} from './claims/claim-witness.js';
export type {ClaimWitnessParts} from './claims/claim-witness.js';
export {ClaimCoordinator} from './claims/claim-coordinator.js';
export type {ClaimCoordinatorParts} from './claims/claim-coordinator.js';
export {ClaimPermit} from './claims/claim-permit.js';
export type {PermitCallbacks, PermitError} from './claims/claim-permit.js';
export type {
  ClaimDecision,
  ClaimRefusal,
  NotRunReason,
} from './claims/claim-decision.js';
export {
  chooseWitnesses,
  buildMembershipView,
  MembershipViewCache,
} from './claims/witness-placement.js';
export type {
  ClaimId,
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
export {Host} from './host/host.js';
export type {HostObserver, HostParts} from './host/host.js';
export type {AuthenticatedCompletion} from './host/completions.js';
export type {SweeperParts, SweepReason} from './ownership/sweeper.js';
export type {SweptEngine} from './ownership/attempt-groups.js';
export {PauseDetector} from './fleet/pause-detector.js';
export type {
  PauseDetectorParts,
  PauseListener,
} from './fleet/pause-detector.js';
export {FleetView} from './fleet/fleet-view.js';
export type {FleetViewParts} from './fleet/fleet-view.js';
export type {HostView} from './fleet/host-status.js';
export {PlatformHostListReader} from './fleet/platform-host-list.js';
export type {
  PlatformHost,
  PlatformHostListReaderParts,
  PlatformHostListSource,
} from './fleet/platform-host-list.js';
export {replayTrace} from './replay/replay.js';
export type {TraceMismatch, ReplayResult} from './replay/replay.js';
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
  EngineSnapshot,
  OrderIssuerParts,
  OrderRefusal,
  OrderReport,
} from './leases/order-issuer.js';
export {
  LimitReply,
  LimitRequest,
} from './generated/messages/persimmonwick/limits.js';
export {ConfigurationFreshness} from './passthrough/configuration-freshness.js';
export type {ConfigurationFreshnessParts} from './passthrough/configuration-freshness.js';
export {PassthroughHost} from './passthrough/passthrough-host.js';
export type {
  CallRouting,
  PassthroughHostParts,
} from './passthrough/passthrough-host.js';
export {
  cancellationCauseOf,
  cancellationFailureOf,
  cancellationOf,
} from './passthrough/cancellation.js';
export type {Cancellation} from './passthrough/cancellation.js';
export {ResponseMemory} from './passthrough/response-memory.js';
export type {
  HeldBytes,
  ResponseMemoryEvent,
  ResponseMemoryParts,
} from './passthrough/response-memory.js';
export type {HeldTotal} from './decisions/response-memory.js';
export {ProcessorQueue} from './decisions/processor-queue.js';
export type {
  CallDecision,
  DecidedCall,
  ProcessorRefusal,
  ReadCall,
} from './decisions/processor-queue.js';
export {ProcessorTime} from './decisions/processor-time.js';
export type {ProcessorTimeChange} from './decisions/processor-time.js';
export {UnreadTime} from './decisions/unread-time.js';
export type {LoopTime} from './decisions/unread-time.js';
export {RequestMemory} from './requests/request-memory.js';
export type {
  BodyEnd,
  HeldBody,
  RequestMemoryEvent,
  RequestTotal,
} from './requests/request-memory.js';
export {ChunkQueue} from './passthrough/chunk-queue.js';
export {InterruptedResponseError} from './passthrough/call.js';
export type {
  GrantedReservation,
  RoutedCall,
  CacheSource,
  GenerationRequirements,
  Header,
  IncomingCall,
  PassthroughResponse,
  PassthroughError,
  PassthroughTransport,
  PromptPart,
  AttemptOptions,
  TransportResult,
} from './passthrough/call.js';
export type {CallEvent, CallObserver} from './passthrough/call-events.js';
export {RouteTable} from './passthrough/route-table.js';
export type {PassthroughRoute} from './passthrough/route-table.js';
export {FleetContact} from './passthrough/fleet-contact.js';
export type {FleetContactParts} from './passthrough/fleet-contact.js';
export type {FleetShare, RetryBounds} from './decisions/retry-allowance.js';
export {
  RetryLoans,
  encodeSpares,
  poolKeyOf,
} from './passthrough/retry-loans.js';
export type {RetryLoansParts} from './passthrough/retry-loans.js';
export {PoolRetryBudget} from './passthrough/pool-retry-budget.js';
export type {PoolRetryBudgetParts} from './passthrough/pool-retry-budget.js';
export {RequestQuarantine} from './passthrough/request-quarantine.js';
export type {
  RequestQuarantineParts,
  QuarantineChange,
  QuarantineReport,
} from './passthrough/request-quarantine.js';
export {UpstreamRequestLimits} from './passthrough/upstream-request-limits.js';
export type {
  ColdRuleEntry,
  RequestLimitChange,
} from './passthrough/upstream-request-limits.js';
export {coldPartOf} from './decisions/cold-upstreams.js';
export type {
  ColdChange,
  ColdRule,
  ColdTolerance,
} from './decisions/cold-upstreams.js';
export {coldRulesOf} from './passthrough/cold-rules.js';
export {UsageLimiter} from './passthrough/usage-limiter.js';
export type {
  AccountRate,
  LimitSlack,
  UsageLimiterParts,
} from './passthrough/usage-limiter.js';
export {DiscoveredFleet} from './passthrough/discovered-fleet.js';
export type {
  HeartbeatSender,
  DiscoveredFleetParts,
  FleetChange,
} from './passthrough/discovered-fleet.js';
export {
  checkHeartbeat,
  checkStreamOriginMessage,
  maximumReportedPools,
  isHostAddress,
} from './passthrough/heartbeat-check.js';
export type {HandoverTransport} from './passthrough/call-handover.js';
export {SoftwareVersionHistory} from './passthrough/software-version-history.js';
export {untilAborted} from './abort.js';
export {hostStopping} from './passthrough/call-failures.js';
export {SendGate} from './passthrough/send-gate.js';
export type {
  CallRefusal,
  SendGateParts,
  SendRefusal,
} from './passthrough/send-gate.js';
export {areOthersServing} from './passthrough/serving-hosts.js';
export {ShutdownSchedule} from './passthrough/shutdown-schedule.js';
export type {TimedCall} from './passthrough/shutdown-schedule.js';
export {StreamOrigins} from './passthrough/stream-origins.js';
export {ReachabilityProbes} from './passthrough/reachability-probes.js';
export type {
  ReachabilityProbesParts,
  SilenceProbe,
} from './passthrough/reachability-probes.js';
export {EngineReleases} from './passthrough/engine-releases.js';
export {PeerVersions} from './passthrough/peer-versions.js';
export {RestoreEpochs} from './passthrough/restore-epochs.js';
export type {EpochObservation} from './passthrough/restore-epochs.js';
export {isTrafficWeighed} from './decisions/domain-traffic.js';
export type {DomainTraffic} from './decisions/domain-traffic.js';
export type {DomainShares} from './decisions/domain-choice.js';
export {DomainRouter} from './passthrough/domain-router.js';
export type {ShareChange} from './passthrough/domain-router.js';
export {UpstreamSpeeds} from './decisions/upstream-speeds.js';
export type {SpeedReport, WorkKind} from './decisions/upstream-speeds.js';
export {UpstreamTable} from './passthrough/upstream-table.js';
export {EventStreamSplitter} from './passthrough/event-stream-splitter.js';
export {Beat} from './generated/messages/persimmonwick/beat.js';
export type {
  RetryLoanMessage,
  StreamOriginMessage,
} from './generated/messages/persimmonwick/beat.js';
