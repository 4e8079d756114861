/** One host that passes calls through: its parts, from start to stop. */

import {randomInt} from 'node:crypto';
import {
  DiscoveredFleet,
  ConfigurationFreshness,
  PassthroughHost,
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
import {BeatSocket} from './beat-socket.js';
import {CallServer} from './call-server.js';
import type {CallEnd, CallerLimits} from './call-server.js';
import {EarlyListener} from './early-listener.js';
import {HttpPassthroughTransport} from './http-transport.js';
import {
  logCallEnd,
  logCallEvent,
  logFleetChange,
  logReachability,
  logUpstreamChanges,
} from './passthrough-log.js';
import {PassthroughMetrics} from './passthrough-metrics.js';
import type {PassthroughSettings} from './passthrough-settings.js';
import type {PassthroughDaemon, PlatformAdapter} from './platform-adapter.js';
import type {FeedSink, PublishedConfiguration} from './platform-feed.js';
import {changeSettings} from './settings-change.js';
import {serveMetrics, serveReadiness} from './status-server.js';
import type {StatusServer} from './status-server.js';
import {UpstreamConnections} from './upstream-connections.js';

/** Limits until the first configuration is known. */
const firstLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headersTimeoutMilliseconds: 5000,
  keepAliveTimeoutMilliseconds: 15_000,
};

/** Longest wait for the first configuration before calls are answered. */
const firstReadMilliseconds = 400;

/** Time in which balancers learn that a host is not ready any more. */
const handOffMilliseconds = 2500;

/** Left of the grace for the end of the process itself. */
const exitMilliseconds = 400;

/** Part of the age limit of keys from which other hosts serve better. */
const readyProofPart = 0.55;

/** Starts a host; resolves when it listens. */
export async function startPassthroughDaemon(
  adapter: PlatformAdapter,
  log: EventLog,
): Promise<PassthroughDaemon> {
  const daemon = new RunningDaemon(adapter, log);
  await daemon.start();
  return daemon;
}

class RunningDaemon implements PassthroughDaemon, FeedSink {
  readonly freshness: ConfigurationFreshness;
  private readonly startedAt = Date.now();
  private readonly upstreams = new UpstreamTable(systemClock);
  private readonly connections = new UpstreamConnections(systemClock);
  private readonly limiter: UsageLimiter;
  private readonly fleet: DiscoveredFleet;
  private readonly beats: BeatSocket;
  private readonly host: PassthroughHost;
  private readonly probes: ReachabilityProbes;
  private readonly server: CallServer;
  private readonly metrics: PassthroughMetrics;
  private readonly pages: StatusServer[] = [];
  addresses = {callers: '', readiness: '', beats: ''};
  /** Settings in force. */
  private settings: PassthroughSettings;
  private routes: RouteTable | undefined;
  private limits = firstLimits;
  private hasUpstreams = false;
  /** Aborted once configuration and upstreams are known. */
  private readonly firstRead = new AbortController();
  private isDraining = false;
  private isReachable: boolean | undefined;
  private closing: Promise<void> | undefined;

  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly log: EventLog,
  ) {
    const {settings} = adapter;
    this.settings = settings;
    const inForce = () => this.settings;
    const clock = systemClock;
    const random = seededRandom(randomInt(2 ** 31));
    const failureDomain = failureDomainId(settings.failureDomain);
    this.freshness = new ConfigurationFreshness({
      clock,
      get maximumAgeMilliseconds() {
        return inForce().keyProofMilliseconds;
      },
    });
    this.beats = new BeatSocket({
      onBeat: beat => this.fleet.receive(beat),
      onFault: (address, reason) => log.write('beatFailed', {address, reason}),
    });
    this.fleet = new DiscoveredFleet({
      clock,
      random,
      self: hostId(settings.host),
      incarnation: BigInt(this.startedAt),
      address: () => this.beats.address,
      failureDomain,
      get seeds() {
        return inForce().seeds;
      },
      sender: this.beats,
      localState: () => ({
        usage: this.limiter.admittedTotals(),
        loads: this.upstreams.localLoads(),
      }),
      onHeartbeat: beat => this.takeBeat(beat),
      onChange: change => logFleetChange(log, change, this.fleet.hostCount),
    });
    const hostCount = () => this.fleet.hostCount;
    this.limiter = new UsageLimiter({
      clock,
      get slack() {
        return inForce().limitSlack;
      },
      rateOf: account => this.rateOf(account),
      silentHostCount: () => this.fleet.silentHostCount,
      hostCount,
    });
    this.metrics = new PassthroughMetrics(() => this.gauges());
    const transport = new HttpPassthroughTransport(
      this.connections,
      adapter.upstreamWire,
    );
    this.probes = new ReachabilityProbes({
      clock,
      upstreams: this.upstreams,
      transport,
      onChange: (upstream, isReachable) =>
        logReachability(log, upstream, isReachable),
    });
    this.host = new PassthroughHost({
      clock,
      random,
      failureDomain,
      transport,
      upstreams: this.upstreams,
      retryBudget: new PoolRetryBudget({
        clock,
        hostCount,
        windowMilliseconds: settings.retries.windowMilliseconds,
        get ratio() {
          return inForce().retries.ratio;
        },
        get extra() {
          return inForce().retries.extra;
        },
      }),
      observer: (call, event) => {
        this.metrics.countEvent(event);
        logCallEvent(log, call, event);
      },
      onLoadChanged: () => this.fleet.scheduleHeartbeat(),
      routes: () => this.routes,
      freshness: this.freshness,
      limiter: this.limiter,
    });
    this.server = new CallServer({
      clock,
      host: this.host,
      wire: adapter.callerWire,
      limits: () => this.limits,
      onEnd: end => this.noteEnd(end),
    });
  }

  async start(): Promise<void> {
    const {listen, readinessPath, metricsPath, host} = this.adapter.settings;
    this.adapter.feed.start(this);
    await this.beats.listen(listen.beats);
    this.fleet.start();
    const listener =
      this.adapter.listener ?? (await EarlyListener.open(listen.callers));
    // Callers that wait are better served than refused.
    await systemClock.sleep(firstReadMilliseconds, this.firstRead.signal);
    const callers = await this.server.serve(listener);
    const readiness = await serveReadiness(
      listen.readiness,
      readinessPath,
      () => this.isReady,
    );
    this.pages.push(readiness);
    if (listen.metrics !== undefined)
      this.pages.push(
        await serveMetrics(listen.metrics, metricsPath, () =>
          this.metrics.registry.metrics(),
        ),
      );
    const beats = this.beats.address;
    this.addresses = {callers, readiness: readiness.address, beats};
    const incarnation = String(this.startedAt);
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
    const change = changeSettings(this.settings, settings);
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

  onConfiguration(published: PublishedConfiguration): void {
    const {version, documents, limits} = published;
    const before = this.routes?.configuration.version ?? -1n;
    if (version <= before) return;
    const built = buildConfiguration(version, documents);
    if (built.isErr) {
      const faults = JSON.stringify(built.error.slice(0, 5));
      this.log.write('configurationRefused', {
        version: Number(version),
        faults,
      });
      return;
    }
    this.routes = new RouteTable(built.value);
    this.limits = limits;
    this.server.applyLimits();
    this.noteFirstRead();
    this.log.write('configurationApplied', {
      version: Number(version),
      documents: documents.length,
      source: 'platform',
    });
  }

  onUpstreams(upstreams: ReadonlyMap<string, UpstreamDocument>): void {
    this.hasUpstreams = true;
    this.noteFirstRead();
    logUpstreamChanges(this.log, this.upstreams.replace(upstreams));
  }

  onReachability(isReachable: boolean, reason: string): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    this.log.write(isReachable ? 'platformRegained' : 'platformLost', {
      reason,
      proofAge: Math.round(this.freshness.age()),
    });
  }

  onMalformedValue(key: string, reason: string): void {
    this.log.write('platformValueIgnored', {key, reason});
  }

  private noteFirstRead(): void {
    if (this.hasUpstreams && this.routes !== undefined) this.firstRead.abort();
  }

  private get isReady(): boolean {
    if (this.isDraining || this.routes === undefined || !this.hasUpstreams)
      return false;
    const {keyProofMilliseconds} = this.settings;
    return (
      keyProofMilliseconds === undefined ||
      this.freshness.age() < keyProofMilliseconds * readyProofPart
    );
  }

  private takeBeat(beat: Beat): void {
    this.upstreams.recordHeartbeat(beat);
    this.limiter.recordUsage(
      hostId(beat.host),
      beat.incarnation,
      Number(beat.ageMilliseconds),
      beat.usage,
    );
  }

  private rateOf(account: AccountId): AccountRate | undefined {
    const spec = this.routes?.configuration.accounts.get(account)?.spec;
    if (spec === undefined || spec.unlimited === true) return undefined;
    return {
      tokensPerSecond: spec.rateTokensPerSecond,
      burstTokens: spec.burstTokens,
    };
  }

  private noteEnd(end: CallEnd): void {
    this.metrics.countEnd(end);
    logCallEnd(this.log, end);
  }

  private gauges() {
    return {
      inFlight: this.server.inFlight,
      waiting: this.host.waitingCallCount,
      hosts: this.fleet.hostCount,
      silentHosts: this.fleet.silentHostCount,
      upstreams: this.upstreams.size,
      configurationVersion: Number(this.routes?.configuration.version ?? 0n),
      proofAgeSeconds: this.freshness.age() / 1000,
      connectionsOpened: this.connections.opened,
    };
  }

  private async stop(): Promise<void> {
    const {graceMilliseconds} = this.settings;
    const endAt = systemClock.now() + graceMilliseconds - exitMilliseconds;
    this.isDraining = true;
    this.log.write('daemonStopping', {inFlight: this.server.inFlight});
    this.server.startDraining();
    // Balancers go on sending new connections until they have asked again.
    await systemClock.sleep(
      Math.min(handOffMilliseconds, graceMilliseconds / 2),
    );
    this.server.stopListening();
    const cutRequests = await this.server.drain(endAt - systemClock.now());
    this.fleet.leave();
    await this.server.close();
    await this.adapter.feed.close();
    await this.fleet.close();
    this.host.close();
    this.probes.close();
    this.connections.closeAll();
    this.beats.close();
    for (const page of this.pages) await page.close();
    this.log.write('daemonStopped', {cutRequests});
  }
}
