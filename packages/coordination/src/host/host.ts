/**
 * One host: all parts that decide, put together on a clock, a transport and the
 * ways to upstreams. The daemon and the replay of traces run the same host.
 */

import type {Result} from 'true-myth';
import {Claims} from '../claims/claims.js';
import {WitnessDirectory} from '../claims/witness-placement.js';
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
  ServiceAnswer,
  ServiceSender,
} from '../requests/service-call.js';
import {Completions} from './completions.js';
import type {AuthenticatedCompletion} from './completions.js';
import {ServiceCalls} from './service-calls.js';

/** Told of what a host does; each part may be left out. */
export interface HostObserver {
  readonly configurationApplied?: (
    configuration: Configuration,
    origin: ConfigurationOrigin,
  ) => void;
  readonly configurationRefused?: (refused: RefusedVersion) => void;
  readonly platformFailed?: (error: PlatformError) => void;
  readonly attemptSwept?: SweeperParts['onCancelled'];
  /** Tokens that an account paid for a request, and when it was admitted. */
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
  /** Drops the connection to a host and opens another one. */
  readonly reconnect: (host: HostId) => Promise<void>;
  readonly platform: PlatformSource;
  /** Hosts to ask before a membership is known. */
  readonly seeds: readonly HostId[];
  readonly engines: EngineDirectory;
  readonly sender: ServiceSender;
  readonly makeAttemptId: () => string;
  readonly observer?: HostObserver;
  /** Time without a token after which a connection is suspect. */
  readonly silenceMilliseconds?: number;
  readonly timing?: Partial<DistributionTiming>;
  /** Requests that may wait for one set of engines. */
  readonly queuedRequests?: number;
}

/** Longest wait for first reports of engines at the start. */
const warmUpMilliseconds = 1000;

export class Host {
  readonly store: ConfigurationStore;
  readonly distributor: ConfigurationDistributor;
  readonly fleet: FleetView;
  readonly limiter: Limiter;
  readonly claims: Claims;
  readonly runner: CompletionRunner;
  readonly configurationHandler: ConfigurationHandler;
  private readonly owned = new OwnedAttempts();
  readonly ownership: OwnershipHandler;
  readonly leaseWitness: LeaseWitness;
  /** Sends orders to engines under a lease. */
  readonly orders: OrderIssuer;
  private readonly pauses: PauseDetector;
  private readonly sweeper: Sweeper;
  private readonly keys: KeyWithdrawalMonitor;
  private readonly completions: Completions;
  private readonly calls: ServiceCalls;
  private hasStarted = false;

  /** Must be made before the host answers its first peer. */
  constructor(private readonly parts: HostParts) {
    const {clock, self, transport} = parts;
    const observer = parts.observer ?? {};
    this.store = new ConfigurationStore({
      clock,
      onApplied: observer.configurationApplied,
      onRefused: observer.configurationRefused,
    });
    const configuration = () => this.store.current;
    this.pauses = new PauseDetector({clock});
    this.fleet = new FleetView({
      ...parts,
      configuration,
      pauseDetector: this.pauses,
    });
    const isLikelyLive = (host: HostId) => this.fleet.isLikelyLive(host);
    this.configurationHandler = new ConfigurationHandler(this.store, clock);
    this.distributor = new ConfigurationDistributor({
      ...parts,
      self: self.host,
      store: this.store,
      isLikelyLive,
      onPlatformError: observer.platformFailed,
      pauseDetector: this.pauses,
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
    const directory = new WitnessDirectory(membership);
    this.leaseWitness = new LeaseWitness({clock, self, directory});
    const witness = this.leaseWitness;
    const leases = new LeaseManager({
      clock,
      self,
      transport,
      directory,
      witness,
    });
    this.orders = new OrderIssuer({
      clock,
      leases,
      messageLifetimeMilliseconds: defaultMessageLifetimeMilliseconds,
    });
    this.ownership = new OwnershipHandler(self, this.owned, transport);
    this.sweeper = new Sweeper({
      ...parts,
      configuration,
      owned: this.owned,
      isLikelyLive,
      incarnationOf: host => this.fleet.incarnationOf(host),
      onCancelled: observer.attemptSwept,
    });
    this.runner = new CompletionRunner({
      ...parts,
      owner: self,
      configuration,
      ownedAttempts: {
        register: ({attempt}) => this.owned.register(attempt),
        release: ({attempt}) => this.owned.release(attempt),
      },
    });
    this.keys = new KeyWithdrawalMonitor(this.store);
    const {limiter, claims, runner, keys} = this;
    const shared = {...parts, configuration, limiter, observer};
    this.completions = new Completions({...shared, runner, keys});
    this.calls = new ServiceCalls({...shared, claims});
  }

  /** The configuration in force. */
  get configuration(): Configuration {
    return this.store.current;
  }

  /** The same, but after a pause of the process only once it was refreshed. */
  async freshConfiguration(): Promise<Configuration> {
    this.pauses.check();
    if (!this.distributor.isFresh) await this.distributor.whenFresh();
    return this.store.current;
  }

  /** True while this host takes requests. */
  get isReady(): boolean {
    return this.hasStarted;
  }

  /**
   * Starts all tasks; resolves when a configuration is in force and the own
   * shares of limits have begun to fill.
   */
  async start(): Promise<void> {
    const {clock} = this.parts;
    this.pauses.start();
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

  /** Runs a completion; its account and route were checked. */
  complete(
    request: AuthenticatedCompletion,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    return this.completions.run(request, signal);
  }

  /** Calls a plain service; its account and route were checked. */
  callService(
    serviceCall: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    return this.calls.run(serviceCall, signal);
  }

  /** Answers another host. */
  async answer(
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

  /** Ends all tasks, after what this host owes to others is done. */
  async close(signal?: AbortSignal): Promise<void> {
    await this.fleet.announceLeaving();
    await this.runner.close();
    await this.orders.close();
    await this.claims.close(signal);
    await this.limiter.close();
    await this.sweeper.close();
    await this.distributor.close();
    await this.fleet.close();
    await this.pauses.close();
    this.keys.close();
  }
}
