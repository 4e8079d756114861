/** Wires up the parts of a passthrough host, starts them and stops them. */

import {randomInt} from 'node:crypto';
import {
  DiscoveredFleet,
  EngineReleases,
  ConfigurationFreshness,
  PassthroughHost,
  PeerVersions,
  RestoreEpochs,
  ReachabilityProbes,
  PoolRetryBudget,
  RouteTable,
  UpstreamTable,
  UsageLimiter,
  buildConfiguration,
  failureDomainId,
  hostId,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {
  AccountId,
  AccountRate,
  Beat,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {FleetChangeLog} from './fleet-change-log.js';
import {HeartbeatSocket} from './heartbeat-socket.js';
import {PassthroughServer} from './passthrough-server.js';
import type {CallSummary, CallerLimits} from './passthrough-server.js';
import {EarlyListener} from './early-listener.js';
import {HttpPassthroughTransport} from './http-transport.js';
import {
  logCallEnd,
  logCallEvent,
  logUpstreamReachability,
  logUpstreamChanges,
} from './passthrough-log.js';
import {PassthroughMetrics} from './passthrough-metrics.js';
import type {PassthroughSettings} from './passthrough-settings.js';
import type {PassthroughDaemon, PlatformAdapter} from './platform-adapter.js';
import type {FeedSink, PublishedConfiguration} from './platform-feed.js';
import {mergeSettings} from './settings-change.js';
import {serveMetrics, serveReadiness} from './status-server.js';
import type {StatusServer} from './status-server.js';
import {UpstreamConnections} from './upstream-connections.js';
import type {UpstreamNotice} from './wire-format.js';

/** Limits until the first configuration arrives. */
const initialLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headersTimeoutMilliseconds: 5000,
  keepAliveTimeoutMilliseconds: 15_000,
};

/** Longest wait for the first configuration before calls are accepted. */
const initialReadTimeoutMilliseconds = 400;

/** Time that load balancers get to notice that the host is not ready. */
const readinessPropagationMilliseconds = 2500;

/** Part of the grace period reserved for the exit of the process. */
const exitReserveMilliseconds = 400;

/**
 * Fraction of `keyProofMilliseconds`. With an older proof the host reports not
 * ready, because a host with a fresher proof serves callers better.
 */
const readyProofAgeFraction = 0.55;

/** Starts a host; resolves once its ports are open. */
export async function startPassthroughDaemon(
  adapter: PlatformAdapter,
  log: EventLog,
): Promise<PassthroughDaemon> {
  const daemon = new RunningDaemon(adapter, log);
  await daemon.start();
  return daemon;
}

/** The stack names the line that failed; messages alone rarely do. */
function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}

class RunningDaemon implements PassthroughDaemon, FeedSink {
  readonly freshness: ConfigurationFreshness;
  readonly epochs = new RestoreEpochs(systemClock);
  private readonly peerVersions = new PeerVersions(systemClock);
  /** Start time, which also serves as the incarnation. */
  private readonly startTimestamp = Date.now();
  private readonly upstreams = new UpstreamTable(systemClock);
  private readonly connections = new UpstreamConnections(systemClock);
  private readonly limiter: UsageLimiter;
  private readonly fleet: DiscoveredFleet;
  private readonly fleetChangeLog: FleetChangeLog;
  private readonly heartbeatSocket: HeartbeatSocket;
  private readonly host: PassthroughHost;
  private readonly probes: ReachabilityProbes;
  private readonly server: PassthroughServer;
  private readonly metrics: PassthroughMetrics;
  private readonly statusServers: StatusServer[] = [];
  addresses = {callers: '', readiness: '', beats: ''};
  /** Current settings; some change while the host runs. */
  private settings: PassthroughSettings;
  private routes: RouteTable | undefined;
  private limits = initialLimits;
  private hasUpstreams = false;
  /** Aborted once the first configuration and upstreams have been read. */
  private readonly initialReadController = new AbortController();
  private supersededVersion: bigint | undefined;
  private refusedVersion: bigint | undefined;
  private isDraining = false;
  private isPlatformReachable: boolean | undefined;
  private closing: Promise<void> | undefined;

  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly log: EventLog,
  ) {
    const {settings} = adapter;
    this.settings = settings;
    const currentSettings = () => this.settings;
    const clock = systemClock;
    const random = seededRandom(randomInt(2 ** 31));
    const failureDomain = failureDomainId(settings.failureDomain);
    this.freshness = new ConfigurationFreshness({
      clock,
      get maximumAgeMilliseconds() {
        return currentSettings().keyProofMilliseconds;
      },
    });
    this.heartbeatSocket = new HeartbeatSocket({
      onHeartbeat: heartbeat => this.fleet.receive(heartbeat),
      onError: (address, reason) => log.write('beatFailed', {address, reason}),
    });
    this.fleet = new DiscoveredFleet({
      clock,
      random,
      self: hostId(settings.host),
      incarnation: BigInt(this.startTimestamp),
      address: () => this.heartbeatSocket.address,
      failureDomain,
      get seeds() {
        return currentSettings().seeds;
      },
      sender: this.heartbeatSocket,
      localState: () => ({
        usage: this.limiter.admittedTotals(),
        loads: this.upstreams.localLoads(),
        configurationVersion: this.versionInForce ?? 0n,
        platformEpoch: this.epochs.current,
        platformEpochAgeMilliseconds: this.epochs.ageMilliseconds(),
      }),
      onHeartbeat: heartbeat => this.recordHeartbeat(heartbeat),
      onChange: change => this.fleetChangeLog.record(change),
    });
    const hostCount = () => this.fleet.hostCount;
    this.fleetChangeLog = new FleetChangeLog(log, clock, hostCount);
    this.limiter = new UsageLimiter({
      clock,
      get slack() {
        return currentSettings().limitSlack;
      },
      rateOf: account => this.rateOf(account),
      silentHostCount: () => this.fleet.silentHostCount,
      hostCount,
    });
    this.metrics = new PassthroughMetrics(() => this.readGauges());
    const transport = new HttpPassthroughTransport(
      this.connections,
      adapter.upstreamWire,
      (upstream, notice) => this.recordNotice(upstream, notice),
    );
    this.probes = new ReachabilityProbes({
      clock,
      upstreams: this.upstreams,
      transport,
      onChange: (upstream, isReachable) =>
        logUpstreamReachability(log, upstream, isReachable),
    });
    this.host = new PassthroughHost({
      clock,
      random,
      failureDomain,
      transport,
      upstreams: this.upstreams,
      releases: new EngineReleases(transport, this.upstreams),
      retryBudget: new PoolRetryBudget({
        clock,
        hostCount,
        windowMilliseconds: settings.retries.windowMilliseconds,
        get ratio() {
          return currentSettings().retries.ratio;
        },
        get extra() {
          return currentSettings().retries.extra;
        },
      }),
      observer: (requestId, event) => {
        this.metrics.recordEvent(event);
        logCallEvent(log, requestId, event);
      },
      onLoadChanged: () => this.fleet.scheduleHeartbeat(),
      routes: () => this.routes,
      freshness: this.freshness,
      limiter: this.limiter,
    });
    this.server = new PassthroughServer({
      clock,
      host: this.host,
      wireFormat: adapter.callerWire,
      limits: () => this.limits,
      onEnd: summary => this.recordCallEnd(summary),
      onInternalError: (request, error) =>
        log.write('internalError', {request, reason: describeError(error)}),
    });
  }

  async start(): Promise<void> {
    const {listen, readinessPath, metricsPath, host} = this.adapter.settings;
    this.adapter.feed.start(this);
    await this.heartbeatSocket.listen(listen.beats);
    this.fleet.start();
    const listener =
      this.adapter.listener ?? (await EarlyListener.open(listen.callers));
    // Callers wait on the open port, which is better than refusing their calls.
    await systemClock.sleep(
      initialReadTimeoutMilliseconds,
      this.initialReadController.signal,
    );
    const callers = await this.server.serve(listener);
    const readiness = await serveReadiness(
      listen.readiness,
      readinessPath,
      () => this.isReady,
    );
    this.statusServers.push(readiness);
    if (listen.metrics !== undefined)
      this.statusServers.push(
        await serveMetrics(listen.metrics, metricsPath, () =>
          this.metrics.registry.metrics(),
        ),
      );
    const beats = this.heartbeatSocket.address;
    this.addresses = {callers, readiness: readiness.address, beats};
    const incarnation = String(this.startTimestamp);
    this.log.write('passthroughStarted', {
      host,
      incarnation,
      callers,
      beats,
      fingerprint: this.adapter.fingerprint,
      milliseconds: Math.round(performance.now()),
    });
  }

  applySettings(settings: PassthroughSettings, fingerprint: string): void {
    const change = mergeSettings(this.settings, settings);
    this.settings = change.settings;
    this.log.write('settingsApplied', {
      fingerprint,
      applied: change.applied.join(' '),
      needRestart: change.needRestart.join(' '),
    });
  }

  close(): Promise<void> {
    this.closing ??= this.stop();
    return this.closing;
  }

  private get versionInForce(): bigint | undefined {
    return this.routes?.configuration.version;
  }

  onConfiguration(
    published: PublishedConfiguration,
    readStartedAt: number,
  ): boolean {
    const {version, documents, limits} = published;
    if (this.peerVersions.provesLoss(version, readStartedAt)) {
      this.reportSuperseded(version);
      return false;
    }
    const currentVersion = this.versionInForce ?? -1n;
    if (version < currentVersion) this.reportSuperseded(version);
    if (version <= currentVersion) return version === currentVersion;
    const configuration = buildConfiguration(version, documents);
    if (configuration.isErr) {
      this.reportRefused(version, configuration.error);
      return false;
    }
    this.routes = new RouteTable(configuration.value);
    this.limits = limits;
    this.server.applyLimits();
    this.endInitialReadIfComplete();
    this.log.write('configurationApplied', {
      version: Number(version),
      documents: documents.length,
      source: 'platform',
    });
    return true;
  }

  onRestore(epoch: number): void {
    this.log.write('platformRestored', {
      epoch,
      version: Number(this.versionInForce ?? 0n),
    });
  }

  /** Logs a version that is read again and again only once. */
  private reportRefused(version: bigint, faults: readonly unknown[]): void {
    if (version === this.refusedVersion) return;
    this.refusedVersion = version;
    this.log.write('configurationRefused', {
      version: Number(version),
      faults: JSON.stringify(faults.slice(0, 5)),
    });
  }

  /** Logs a version that the store returns instead of a newer one, once. */
  private reportSuperseded(version: bigint): void {
    if (version === this.supersededVersion) return;
    this.supersededVersion = version;
    this.log.write('configurationSuperseded', {
      version: Number(version),
      inForce: Number(this.versionInForce ?? 0n),
    });
  }

  onUpstreams(upstreams: ReadonlyMap<string, UpstreamDocument>): void {
    this.hasUpstreams = true;
    this.endInitialReadIfComplete();
    logUpstreamChanges(this.log, this.upstreams.replace(upstreams));
  }

  onReachability(isReachable: boolean, reason: string): void {
    if (this.isPlatformReachable === isReachable) return;
    this.isPlatformReachable = isReachable;
    this.log.write(isReachable ? 'platformRegained' : 'platformLost', {
      reason,
      proofAge: Math.round(this.freshness.age()),
    });
  }

  onReadFailure(subject: string, reason: string): void {
    this.log.write('platformReadFailed', {subject, reason});
  }

  onMalformedValue(key: string, reason: string): void {
    this.log.write('platformValueIgnored', {key, reason});
  }

  private endInitialReadIfComplete(): void {
    if (this.hasUpstreams && this.routes !== undefined)
      this.initialReadController.abort();
  }

  private get isReady(): boolean {
    if (this.isDraining || this.routes === undefined || !this.hasUpstreams)
      return false;
    const {keyProofMilliseconds} = this.settings;
    return (
      keyProofMilliseconds === undefined ||
      this.freshness.age() < keyProofMilliseconds * readyProofAgeFraction
    );
  }

  private recordHeartbeat(heartbeat: Beat): void {
    this.upstreams.recordHeartbeat(heartbeat);
    this.peerVersions.record(heartbeat.configurationVersion);
    if (heartbeat.platformEpoch > 0n)
      this.epochs.recordPeer(
        Number(heartbeat.platformEpoch),
        Number(heartbeat.platformEpochAgeMilliseconds),
      );
    this.limiter.recordUsage(
      hostId(heartbeat.host),
      heartbeat.incarnation,
      Number(heartbeat.ageMilliseconds),
      heartbeat.usage,
    );
  }

  private recordNotice(
    document: UpstreamDocument,
    {isLeaving, pauseMilliseconds}: UpstreamNotice,
  ): void {
    const upstream = document.name;
    if (isLeaving && this.upstreams.recordLeaving(document)) {
      this.metrics.recordNotice('leaving');
      this.log.write('upstreamLeaving', {upstream});
    }
    if (pauseMilliseconds === undefined) return;
    const pause = this.upstreams.recordPause(document, pauseMilliseconds);
    if (pause === undefined) return;
    this.metrics.recordNotice('pause');
    const asked = pauseMilliseconds;
    this.log.write('upstreamPaused', {upstream, milliseconds: pause, asked});
  }

  private rateOf(account: AccountId): AccountRate | undefined {
    const spec = this.routes?.configuration.accounts.get(account)?.spec;
    if (spec === undefined || spec.unlimited === true) return undefined;
    return {
      tokensPerSecond: spec.rateTokensPerSecond,
      burstTokens: spec.burstTokens,
    };
  }

  private recordCallEnd(summary: CallSummary): void {
    this.metrics.recordCallEnd(summary);
    logCallEnd(this.log, summary);
  }

  private readGauges() {
    return {
      inFlight: this.server.inFlight,
      waiting: this.host.waitingCallCount,
      hosts: this.fleet.hostCount,
      silentHosts: this.fleet.silentHostCount,
      upstreams: this.upstreams.size,
      configurationVersion: Number(this.versionInForce ?? 0n),
      platformEpoch: this.epochs.current ?? 0,
      proofAgeSeconds: this.freshness.age() / 1000,
      connectionsOpened: this.connections.openedCount,
    };
  }

  private async stop(): Promise<void> {
    const {graceMilliseconds} = this.settings;
    const deadline =
      systemClock.now() + graceMilliseconds - exitReserveMilliseconds;
    this.isDraining = true;
    this.log.write('daemonStopping', {inFlight: this.server.inFlight});
    this.server.startDraining();
    // Load balancers open new connections until their next readiness check.
    await systemClock.sleep(
      Math.min(readinessPropagationMilliseconds, graceMilliseconds / 2),
    );
    this.server.stopListening();
    const cutRequests = await this.server.waitUntilIdle(
      deadline - systemClock.now(),
    );
    this.fleet.leave();
    await this.server.close();
    await this.adapter.feed.close();
    await this.fleet.close();
    this.fleetChangeLog.close();
    this.host.close();
    this.probes.close();
    this.connections.closeAll();
    this.heartbeatSocket.close();
    for (const server of this.statusServers) await server.close();
    this.log.write('daemonStopped', {cutRequests});
  }
}
