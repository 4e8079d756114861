/**
 * A host of the router: all decision-making components, connected to a clock, a
 * peer transport and upstream clients. The daemon and the trace replay run the
 * same class.
 */

import type {Result} from 'true-myth';
import {Claims} from '../claims/claims.js';
import {MembershipViewCache} from '../claims/witness-placement.js';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import {ConfigurationDistributor} from '../configuration/configuration-distributor.js';
import {ConfigurationHandler} from '../configuration/configuration-handler.js';
import type {
  ConfigurationOrigin,
  PlatformError,
  PlatformSource,
} from '../configuration/configuration-page.js';
import {ConfigurationStore} from '../configuration/configuration-store.js';
import type {DistributionTiming} from '../configuration/distribution-timing.js';
import type {RefusedVersion} from '../configuration/configuration-store.js';
import {KeyWithdrawalMonitor} from '../configuration/key-withdrawal-monitor.js';
import type {AccountId, FailureDomainId, HostId} from '../ids.js';
import {FleetView} from '../fleet/fleet-view.js';
import {PauseDetector} from '../fleet/pause-detector.js';
import {LeaseManager} from '../leases/lease-manager.js';
import {LeaseWitness} from '../leases/lease-witness.js';
import {OrderIssuer} from '../leases/order-issuer.js';
import {defaultMessageLifetimeMilliseconds} from '../leases/lease-timing.js';
import {Limiter} from '../limits/limiter.js';
import {OwnedAttempts} from '../ownership/owned-attempts.js';
import {OwnershipHandler} from '../ownership/ownership-handler.js';
import {Sweeper} from '../ownership/sweeper.js';
import type {SweeperParts} from '../ownership/sweeper.js';
import type {
  PeerIdentity,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '../peers/transport.js';
import {CompletionRunner} from '../placement/completion-runner.js';
import type {EngineDirectory} from '../placement/completion-runner.js';
import type {RandomSource} from '../random.js';
import type {CompletionEvent} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import type {
  RoutedServiceCall,
  ServiceResponse,
  ServiceSender,
} from '../requests/service-call.js';
import {Completions} from './completions.js';
import type {AuthenticatedCompletion} from './completions.js';
import {ServiceCalls} from './service-calls.js';

/** Observes a host; every callback is optional. */
export interface HostObserver {
  readonly configurationApplied?: (
    configuration: Configuration,
    origin: ConfigurationOrigin,
  ) => void;
  readonly configurationRefused?: (refused: RefusedVersion) => void;
  readonly platformFailed?: (error: PlatformError) => void;
  readonly attemptSwept?: SweeperParts['onCancelled'];
  /** Reports the tokens charged for a request and its time of admission. */
  readonly tokensUsed?: (
    account: AccountId,
    tokens: number,
    admittedAt: number,
  ) => void;
}

export interface HostParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly failureDomain: FailureDomainId;
  readonly transport: PeerTransport;
  /** Replaces the connection to a host by a new one. */
  readonly reconnect: (host: HostId) => Promise<void>;
  readonly platform: PlatformSource;
  /** Hosts to contact before a membership is known. */
  readonly seeds: readonly HostId[];
  readonly engines: EngineDirectory;
  readonly sender: ServiceSender;
  readonly makeAttemptId: () => string;
  readonly observer?: HostObserver;
  /** Time without a token after which a connection counts as silent. */
  readonly silenceMilliseconds?: number;
  readonly timing?: Partial<DistributionTiming>;
  /** Maximum number of queued requests per model and route target. */
  readonly queuedRequests?: number;
  /** Time after the start for which a host spares retries of completions. */
  readonly retryStartMilliseconds?: number;
}

/** Maximum time to wait for the first load reports at startup. */
const warmUpMilliseconds = 1000;

export class Host {
  readonly store: ConfigurationStore;
  readonly distributor: ConfigurationDistributor;
  readonly fleet: FleetView;
  readonly limiter: Limiter;
  readonly claims: Claims;
  readonly runner: CompletionRunner;
  readonly configurationHandler: ConfigurationHandler;
  private readonly ownedAttempts = new OwnedAttempts();
  readonly ownership: OwnershipHandler;
  readonly leaseWitness: LeaseWitness;
  /** Sends orders to engines while holding a lease. */
  readonly orders: OrderIssuer;
  private readonly pauseDetector: PauseDetector;
  private readonly sweeper: Sweeper;
  private readonly keyMonitor: KeyWithdrawalMonitor;
  private readonly completions: Completions;
  private readonly serviceCalls: ServiceCalls;
  private hasStarted = false;

  /** Must be called before the host receives the first peer request. */
  constructor(private readonly parts: HostParts) {
    const {clock, self, transport} = parts;
    const observer = parts.observer ?? {};
    this.store = new ConfigurationStore({
      clock,
      onApplied: observer.configurationApplied,
      onRefused: observer.configurationRefused,
    });
    const configuration = () => this.store.current;
    this.pauseDetector = new PauseDetector({clock});
    this.fleet = new FleetView({
      ...parts,
      configuration,
      pauseDetector: this.pauseDetector,
    });
    const isLikelyLive = (host: HostId) => this.fleet.isLikelyLive(host);
    this.configurationHandler = new ConfigurationHandler(this.store, clock);
    this.distributor = new ConfigurationDistributor({
      ...parts,
      self: self.host,
      store: this.store,
      isLikelyLive,
      onPlatformError: observer.platformFailed,
      pauseDetector: this.pauseDetector,
    });
    this.limiter = new Limiter({
      ...parts,
      ...self,
      self: self.host,
      configuration,
    });
    this.store.subscribe(() => this.limiter.applyConfiguration());
    const membership = () => configuration().membership?.spec;
    this.claims = new Claims({...parts, membership});
    const membershipViews = new MembershipViewCache(membership);
    this.leaseWitness = new LeaseWitness({clock, self, membershipViews});
    const witness = this.leaseWitness;
    const leases = new LeaseManager({
      clock,
      self,
      transport,
      membershipViews,
      witness,
    });
    this.orders = new OrderIssuer({
      clock,
      leases,
      messageLifetimeMilliseconds: defaultMessageLifetimeMilliseconds,
    });
    this.ownership = new OwnershipHandler(self, this.ownedAttempts, transport);
    this.sweeper = new Sweeper({
      ...parts,
      configuration,
      ownedAttempts: this.ownedAttempts,
      isLikelyLive,
      incarnationOf: host => this.fleet.incarnationOf(host),
      onCancelled: observer.attemptSwept,
    });
    this.runner = new CompletionRunner({
      ...parts,
      owner: self,
      configuration,
      ownedAttempts: {
        register: ({attempt}) => this.ownedAttempts.register(attempt),
        release: ({attempt}) => this.ownedAttempts.release(attempt),
      },
    });
    this.keyMonitor = new KeyWithdrawalMonitor(this.store);
    const {limiter, claims, runner, keyMonitor} = this;
    const sharedParts = {...parts, configuration, limiter, observer};
    this.completions = new Completions({...sharedParts, runner, keyMonitor});
    this.serviceCalls = new ServiceCalls({...sharedParts, claims});
  }

  /** The configuration currently in effect. */
  get configuration(): Configuration {
    return this.store.current;
  }

  /**
   * The current configuration. After a process pause, waits for a refresh
   * first.
   */
  async freshConfiguration(): Promise<Configuration> {
    this.pauseDetector.check();
    if (!this.distributor.isFresh) await this.distributor.whenFresh();
    return this.store.current;
  }

  /** True once this host accepts requests. */
  get isReady(): boolean {
    return this.hasStarted;
  }

  /**
   * Starts all tasks. Resolves when a configuration is in effect, engines have
   * been polled or the warm-up time has passed, and the host's shares of the
   * rate limits have started to refill. Resolves without making the host ready
   * when the distributor is closed first.
   */
  async start(): Promise<void> {
    const {clock} = this.parts;
    this.pauseDetector.start();
    this.fleet.start();
    this.sweeper.start();
    if (!(await this.distributor.start())) return;
    void this.claims.recover();
    await Promise.all([
      this.runner.warmUp(warmUpMilliseconds),
      clock.sleep(this.limiter.refillStartsAt - clock.now()),
    ]);
    this.hasStarted = true;
  }

  /** Runs a completion whose account and route are already authorized. */
  complete(
    request: AuthenticatedCompletion,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    return this.completions.run(request, signal);
  }

  /** Calls a plain service; account and route are already authorized. */
  callService(
    serviceCall: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, RequestFailure>> {
    return this.serviceCalls.run(serviceCall, signal);
  }

  /** Handles a request of another host. */
  async handlePeerRequest(
    body: PeerRequestBody,
    from: PeerIdentity,
  ): Promise<PeerReplyBody> {
    switch (body.$case) {
      case 'configuration':
        return {
          $case: 'configuration',
          value: await this.configurationHandler.handle(body.value),
        };
      case 'limit':
        return {$case: 'limit', value: this.limiter.handle(body.value)};
      case 'claim':
        return {
          $case: 'claim',
          value: await this.claims.handle(body.value, from),
        };
      case 'ownership':
        return {
          $case: 'ownership',
          value: await this.ownership.handle(body.value),
        };
      case 'fleet':
        return {$case: 'fleet', value: this.fleet.handle(body.value, from)};
      case 'lease':
        return {
          $case: 'lease',
          value: this.leaseWitness.handle(body.value, from),
        };
    }
  }

  /**
   * Announces the departure to other hosts, closes the components in order and
   * stops all tasks.
   */
  async close(signal?: AbortSignal): Promise<void> {
    await this.fleet.announceLeaving();
    await this.runner.close();
    await this.orders.close();
    await this.claims.close(signal);
    await this.limiter.close();
    await this.sweeper.close();
    await this.distributor.close();
    await this.fleet.close();
    await this.pauseDetector.close();
    this.keyMonitor.close();
  }
}
