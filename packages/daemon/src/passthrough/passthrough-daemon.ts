/** Wires up the parts of a passthrough host, starts them and stops them. */

import {randomInt} from 'node:crypto';
import {
  DiscoveredFleet,
  DomainRouter,
  EngineReleases,
  FleetContact,
  PassthroughHost,
  RequestMemory,
  RequestQuarantine,
  ResponseMemory,
  RetryLoans,
  SendGate,
  ShutdownSchedule,
  ReachabilityProbes,
  PoolRetryBudget,
  ProcessorTime,
  SoftwareVersionHistory,
  StreamOrigins,
  UpstreamRequestLimits,
  UpstreamSpeeds,
  UpstreamTable,
  UsageLimiter,
  areOthersServing,
  encodeSpares,
  failureDomainId,
  hostId,
  isTrafficWeighed,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {
  Beat,
  CallObserver,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {FleetChangeLog} from './fleet-change-log.js';
import {EventLoopMonitor} from '../connections/event-loop-monitor.js';
import {HeartbeatSocket} from './heartbeat-socket.js';
import {PassthroughServer} from './passthrough-server.js';
import type {CallSummary} from './call-context.js';
import {EarlyListener} from './early-listener.js';
import {HandoverListener} from './handover-listener.js';
import {HttpHandoverTransport} from './http-handover-transport.js';
import {HttpPassthroughTransport} from './http-transport.js';
import {
  logCallEnd,
  logCallEvent,
  logConnectionLoss,
  logUnreadInput,
  logProcessorTime,
  logQuarantineChange,
  logRequestLimitChange,
  logRequestMemory,
  logResponseMemory,
  logShareChange,
  logSilenceProbe,
  logUpstreamReachability,
} from './passthrough-log.js';
import {PassthroughMetrics} from './passthrough-metrics.js';
import type {PassthroughSettings} from './passthrough-settings.js';
import type {PassthroughDaemon, PlatformAdapter} from './platform-adapter.js';
import {PlatformState} from './platform-state.js';
import {mergeSettings} from './settings-change.js';
import {serveMetrics, serveReadiness} from './status-server.js';
import type {StatusServer} from './status-server.js';
import {UpstreamConnections} from '../connections/upstream-connections.js';
import type {UpstreamNotice} from './wire-format.js';

/** Longest wait for the first configuration before calls are accepted. */
const initialReadTimeoutMilliseconds = 400;

/** Time that load balancers get to notice that the host is not ready. */
const readinessPropagationMilliseconds = 2500;

/** Part of the grace period reserved for the exit of the process. */
const exitReserveMilliseconds = 400;

/** Time before it in which callers are told that their calls are given up. */
const giveUpMilliseconds = 200;

/**
 * Fraction of `keyProofMilliseconds`. With an older proof the host reports not
 * ready, because a host with a fresher proof serves callers better.
 */
const readyProofAgeFraction = 0.55;

/** Part of the memory of the process that bodies of requests may hold. */
const requestMemoryFraction = 1 / 10;

/** Part of the memory of the process that responses may hold for all callers. */
const responseMemoryFraction = 1 / 8;

/** Logged as the age of a contact that there never was. */
const noContact = -1;

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

class RunningDaemon implements PassthroughDaemon {
  /** Start time, which also serves as the incarnation. */
  private readonly startTimestamp = Date.now();
  private readonly upstreams: UpstreamTable;
  private readonly requestLimits: UpstreamRequestLimits;
  private readonly quarantine: RequestQuarantine;
  private readonly connections = new UpstreamConnections(systemClock);
  private readonly shutdown = new ShutdownSchedule(
    systemClock,
    route => this.platform.routes?.expectationOf(route),
    () => areOthersServing(this.fleet.members()),
  );
  /** Undefined unless traffic between failure domains is limited. */
  private readonly speeds: UpstreamSpeeds | undefined;
  private readonly domains: DomainRouter | undefined;
  private readonly requestMemory: RequestMemory;
  private readonly responseMemory: ResponseMemory;
  private readonly limiter: UsageLimiter;
  private readonly fleet: DiscoveredFleet;
  private readonly fleetChangeLog: FleetChangeLog;
  private readonly fleetContact: FleetContact;
  private readonly retryLoans: RetryLoans;
  private readonly retryBudget: PoolRetryBudget;
  private readonly heartbeatSocket: HeartbeatSocket;
  private readonly streamOrigins: StreamOrigins;
  private readonly versionHistory: SoftwareVersionHistory;
  private readonly host: PassthroughHost;
  private readonly probes: ReachabilityProbes;
  private readonly server: PassthroughServer;
  private readonly handoverListener: HandoverListener;
  private readonly metrics: PassthroughMetrics;
  private readonly eventLoopMonitor: EventLoopMonitor;
  private readonly processorTime: ProcessorTime;
  private readonly statusServers: StatusServer[] = [];
  addresses = {callers: '', readiness: '', beats: ''};
  /** Current settings; some change while the host runs. */
  private settings: PassthroughSettings;
  private readonly platform: PlatformState;
  /** Aborted once the first configuration and upstreams have been read. */
  private readonly initialReadController = new AbortController();
  private isDraining = false;
  private closing: Promise<void> | undefined;

  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly log: EventLog,
  ) {
    const {settings} = adapter;
    this.settings = settings;
    const currentSettings = () => this.settings;
    const clock = systemClock;
    this.upstreams = new UpstreamTable(clock, failureDomain => {
      const {regions} = this.settings;
      return Object.hasOwn(regions, failureDomain)
        ? regions[failureDomain]
        : undefined;
    });
    const random = seededRandom(randomInt(2 ** 31));
    const failureDomain = failureDomainId(settings.failureDomain);
    const {domainTraffic} = settings;
    if (isTrafficWeighed(domainTraffic, settings.failureDomain)) {
      this.speeds = new UpstreamSpeeds();
      this.domains = new DomainRouter({
        clock,
        upstreams: this.upstreams,
        speeds: this.speeds,
        self: settings.host,
        ownDomain: settings.failureDomain,
        traffic: domainTraffic,
        onChange: change => logShareChange(log, change),
      });
    }
    this.versionHistory = new SoftwareVersionHistory({clock});
    this.platform = new PlatformState({
      clock,
      log,
      upstreams: this.upstreams,
      versionHistory: this.versionHistory,
      maximumProofAge: () => this.settings.keyProofMilliseconds,
      onLimits: () => this.server.applyLimits(),
      onColdRules: entries => this.requestLimits.recordColdRules(entries),
      onComplete: () => this.initialReadController.abort(),
    });
    this.heartbeatSocket = new HeartbeatSocket({
      onHeartbeat: heartbeat => this.fleet.receive(heartbeat),
      onStreamOrigin: (address, message) =>
        this.streamOrigins.receive(address, message),
      onRetryLoan: (address, message) =>
        this.retryLoans.receive(address, message),
      onError: (address, reason) => log.write('beatFailed', {address, reason}),
    });
    this.requestLimits = new UpstreamRequestLimits({
      clock,
      self: hostId(settings.host),
      hosts: () => this.fleet.hosts,
      silentHostCount: () => this.fleet.silentHostCount,
      onLearned: () => this.fleet.scheduleHeartbeat(),
      onChange: change => {
        this.metrics.recordNotice('request-limit');
        logRequestLimitChange(log, change);
      },
      seedCount: () =>
        this.settings.seeds.filter(
          address => address !== this.heartbeatSocket.address,
        ).length,
      coldTolerance: () => this.settings.coldTolerance,
      onCold: ({upstream, source, milliseconds}) => {
        this.metrics.recordNotice('cold');
        log.write('upstreamCold', {
          upstream,
          source,
          milliseconds: Math.round(milliseconds),
        });
      },
    });
    this.quarantine = new RequestQuarantine({
      clock,
      onChange: change => {
        this.metrics.recordQuarantine(change);
        logQuarantineChange(log, change);
      },
      onLearned: () => this.fleet.scheduleHeartbeat(),
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
        configurationVersion: this.platform.versionInForce ?? 0n,
        platformEpoch: this.platform.epochs.current,
        platformEpochAgeMilliseconds: this.platform.epochs.ageMilliseconds(),
        quarantine: this.quarantine.report(),
        requestLimits: this.requestLimits.report(),
        handoverAddress: this.isDraining ? '' : this.handoverListener.address,
        unreachablePools: this.platform.unreachablePools(),
        speeds: this.speeds?.report(clock.now()),
        demand: this.domains?.demand.report(clock.now()),
        seedContactAgeMilliseconds: this.fleetContact.ageMilliseconds,
        spareRetries: encodeSpares(this.retryBudget.spares()),
      }),
      onHeartbeat: heartbeat => this.recordHeartbeat(heartbeat),
      onChange: change => {
        if (change.kind === 'left' || change.kind === 'forgotten') {
          this.speeds?.forgetPeer(change.host);
          this.domains?.demand.forgetHost(change.host);
        }
        this.fleetChangeLog.record(change);
      },
    });
    this.fleetContact = new FleetContact({
      clock,
      address: () => this.heartbeatSocket.address,
      seeds: () => this.settings.seeds,
      heardAt: address => this.fleet.heardAt(address),
      hostCount: () => this.fleet.assumedHostCount,
      isAloneWithoutSeeds: Object.keys(settings.regions).length <= 1,
      windowMilliseconds: settings.retries.windowMilliseconds,
      startMilliseconds: settings.retries.startMilliseconds,
      onChange: ({kind, hosts}, age) =>
        log.write('retryShareChanged', {
          standing: kind,
          hosts,
          contactAge: Number.isFinite(age) ? Math.round(age) : noContact,
        }),
    });
    this.retryLoans = new RetryLoans({
      clock,
      random,
      failureDomain,
      members: () => this.fleet.members(),
      isMember: address => this.fleet.heardAt(address) !== undefined,
      send: (address, message) =>
        this.heartbeatSocket.sendRetryLoan(address, message),
      lend: (poolKey, amount) => this.retryBudget.lend(poolKey, amount),
    });
    this.retryBudget = new PoolRetryBudget({
      clock,
      share: () => this.fleetContact.share(),
      loans: this.retryLoans,
      windowMilliseconds: settings.retries.windowMilliseconds,
      onCall: pool => this.metrics.recordPoolCall(pool),
      onLent: (pool, amount) => this.metrics.recordRetryLoan(pool, amount),
      get ratio() {
        return currentSettings().retries.ratio;
      },
      get extra() {
        return currentSettings().retries.extra;
      },
    });
    this.streamOrigins = new StreamOrigins({
      clock,
      failureDomain,
      members: () => this.fleet.members(),
      send: (address, message) =>
        this.heartbeatSocket.sendStreamOrigin(address, message),
    });
    this.versionHistory.subscribe((upstreams, readStartedAt) =>
      this.streamOrigins.recordList(upstreams, readStartedAt),
    );
    const hostCount = () => this.fleet.hostCount;
    this.fleetChangeLog = new FleetChangeLog(log, clock, hostCount);
    this.limiter = new UsageLimiter({
      clock,
      get slack() {
        return currentSettings().limitSlack;
      },
      rateOf: account => this.platform.rateOf(account),
      silentHostCount: () => this.fleet.silentHostCount,
      hostCount,
    });
    this.metrics = new PassthroughMetrics(() => this.readGauges());
    this.processorTime = new ProcessorTime(change =>
      logProcessorTime(log, change),
    );
    this.eventLoopMonitor = new EventLoopMonitor({
      onStall: milliseconds =>
        log.write('processStalled', {milliseconds: Math.round(milliseconds)}),
      onTick: () => this.processorTime.check(clock.now()),
    });
    const observer: CallObserver = (requestId, event) => {
      this.metrics.recordEvent(event);
      if (event.kind === 'stage-done' || event.kind === 'handed-over')
        this.server.recordAttemptEnd(requestId);
      const version = String(this.platform.versionInForce ?? '');
      logCallEvent(log, requestId, event, version);
    };
    this.requestMemory = new RequestMemory({
      clock,
      budgetBytes: settings.memoryBytes * requestMemoryFraction,
      onEvent: (event, total) => {
        this.metrics.recordRequestMemory(event);
        logRequestMemory(log, event, total);
      },
    });
    this.responseMemory = new ResponseMemory({
      budgetBytes: settings.memoryBytes * responseMemoryFraction,
      onEvent: (event, total) => {
        this.metrics.recordResponseMemory(event);
        logResponseMemory(log, event, total);
      },
    });
    const sendGate = new SendGate({
      shutdown: this.shutdown,
      upstreams: this.upstreams,
      routes: () => this.platform.routes,
      observer,
      onSend: requestId => this.server.recordSend(requestId),
    });
    const transport = new HttpPassthroughTransport(
      this.connections,
      adapter.upstreamWire,
      {
        onNotice: (upstream, notice) => this.recordNotice(upstream, notice),
        onUnreadable: ({name: upstream}, grant) => {
          this.metrics.recordNotice('unreadable');
          log.write('upstreamAnswerUnreadable', {upstream, grant});
        },
      },
      sendGate,
      this.responseMemory,
    );
    this.probes = new ReachabilityProbes({
      clock,
      upstreams: this.upstreams,
      transport,
      healthPathOf: document => this.platform.healthPathOf(document),
      acquireRequest: upstream =>
        this.requestLimits.canSend(upstream.name, 1) &&
        this.upstreams.acquireRequest(upstream) &&
        this.requestLimits.tryAcquire(upstream.name),
      onSilenceProbe: probe => {
        this.metrics.recordSilenceProbe(probe);
        logSilenceProbe(log, probe);
      },
      onChange: (upstream, isReachable) => {
        logUpstreamReachability(log, upstream, isReachable);
        this.fleet.scheduleHeartbeat();
      },
    });
    this.host = new PassthroughHost({
      clock,
      usesMemoryForecast: settings.usesMemoryForecast,
      random,
      self: hostId(settings.host),
      failureDomain,
      transport,
      upstreams: this.upstreams,
      releases: new EngineReleases(
        transport,
        this.upstreams,
        this.requestLimits,
      ),
      requestLimits: this.requestLimits,
      retryBudget: this.retryBudget,
      quarantine: this.quarantine,
      streamOrigins: this.streamOrigins,
      members: () => this.fleet.members(),
      handoverTransport: new HttpHandoverTransport(
        this.connections,
        adapter.callerWire,
        sendGate,
        this.responseMemory,
      ),
      versionHistory: this.versionHistory,
      speeds: this.speeds,
      domains: this.domains,
      observer,
      sendGate,
      onLoadChanged: () => this.fleet.scheduleHeartbeat(),
      routes: () => this.platform.routes,
      freshness: this.platform.freshness,
      limiter: this.limiter,
    });
    this.handoverListener = new HandoverListener(socket =>
      this.server.servePeer(socket),
    );
    this.server = new PassthroughServer({
      clock,
      host: this.host,
      shutdown: this.shutdown,
      requestMemory: this.requestMemory,
      wireFormat: adapter.callerWire,
      limits: () => this.platform.limits,
      isPeer: ipAddress =>
        this.fleet
          .members()
          .some(({address}) => address.startsWith(`${ipAddress}:`)),
      onTakenOver: (request, peer) =>
        log.write('callTakenOver', {request, peer}),
      monitor: this.eventLoopMonitor,
      random,
      processorTime: this.processorTime,
      reads: this.metrics.reads,
      onEnd: summary => this.recordCallEnd(summary),
      onConnectionLoss: loss => {
        this.metrics.recordConnectionLoss(loss);
        logConnectionLoss(log, loss);
      },
      onUnreadInput: input => {
        this.metrics.recordUnreadInput(input);
        logUnreadInput(log, input);
      },
      onInternalError: (request, error) =>
        log.write('internalError', {request, reason: describeError(error)}),
    });
  }

  async start(): Promise<void> {
    const {listen, readinessPath, metricsPath, host} = this.adapter.settings;
    this.adapter.feed.start(this.platform);
    // The other hosts hand calls over while the first configuration is awaited.
    await this.server.prepare();
    await this.handoverListener.listen(listen.handover);
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
    this.upstreams.forgetExclusions();
    this.log.write('settingsApplied', {
      fingerprint,
      applied: change.applied.join(' '),
      needRestart: change.needRestart.join(' '),
    });
  }

  close(signalledAt = systemClock.now()): Promise<void> {
    this.closing ??= this.stop(signalledAt);
    return this.closing;
  }

  private get isReady(): boolean {
    if (this.isDraining || !this.platform.isComplete) return false;
    const {keyProofMilliseconds} = this.settings;
    const proofAge = this.platform.freshness.age();
    return (
      keyProofMilliseconds === undefined ||
      proofAge < keyProofMilliseconds * readyProofAgeFraction
    );
  }

  private recordHeartbeat(heartbeat: Beat): void {
    this.upstreams.recordHeartbeat(heartbeat);
    this.platform.recordPeer(heartbeat);
    this.quarantine.recordPeer(heartbeat);
    this.fleetContact.recordPeer(heartbeat.seedContactAgeMilliseconds);
    this.retryLoans.recordPeer(heartbeat.address, heartbeat.spareRetries);
    const {incarnation, usage, requestLimits} = heartbeat;
    const host = hostId(heartbeat.host);
    const age = Number(heartbeat.ageMilliseconds);
    this.limiter.recordUsage(host, incarnation, age, usage);
    this.requestLimits.recordPeer(host, incarnation, age, requestLimits);
    const now = systemClock.now();
    this.speeds?.recordPeer(host, incarnation, age, heartbeat, now);
    const domain = heartbeat.failureDomain;
    this.domains?.demand.recordHost(host, domain, incarnation, heartbeat, now);
  }

  private recordNotice(
    document: UpstreamDocument,
    notice: UpstreamNotice,
  ): void {
    const {isLeaving, pauseMilliseconds, requestLimit} = notice;
    const upstream = document.name;
    if (notice.coldLeftMilliseconds !== undefined)
      this.requestLimits.recordCold(document, notice.coldLeftMilliseconds);
    if (requestLimit.kind !== 'unreadable')
      this.requestLimits.recordStatement(
        document,
        requestLimit.kind === 'limit'
          ? requestLimit.requestsPerSecond
          : undefined,
      );
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
      evacuatedDomains: this.upstreams.evacuatedDomains.size,
      quarantinedParts: this.quarantine.size,
      streamOrigins: this.streamOrigins.size,
      configurationVersion: Number(this.platform.versionInForce ?? 0n),
      platformEpoch: this.platform.epochs.current ?? 0,
      proofAgeSeconds: this.platform.freshness.age() / 1000,
      seedContactSeconds: this.fleetContact.ageMilliseconds / 1000,
      requestBytesHeld: this.requestMemory.heldBytes,
      responseBytesHeld: this.responseMemory.heldBytes,
      connectionsOpened: this.connections.openedCount,
    };
  }

  private async stop(signalledAt: number): Promise<void> {
    const {graceMilliseconds} = this.settings;
    const deadline =
      signalledAt +
      graceMilliseconds -
      exitReserveMilliseconds -
      giveUpMilliseconds;
    // Load balancers open new connections until their next readiness check.
    const stopsListeningAt =
      signalledAt +
      Math.min(readinessPropagationMilliseconds, graceMilliseconds / 2);
    this.isDraining = true;
    this.shutdown.begin({
      signalledAt,
      admitsUntil: stopsListeningAt,
      endsAt: deadline,
    });
    // The heartbeat says that this host takes no calls over any more.
    this.fleet.scheduleHeartbeat();
    this.log.write('daemonStopping', {inFlight: this.server.inFlight});
    this.server.startDraining(signalledAt);
    await systemClock.sleep(Math.max(0, stopsListeningAt - systemClock.now()));
    await this.server.stopListening();
    this.handoverListener.close();
    const cutRequests = await this.server.waitUntilIdle(
      deadline - systemClock.now(),
    );
    if (cutRequests > 0) await this.server.giveUpCalls(giveUpMilliseconds);
    this.fleet.leave();
    await this.server.close();
    await this.adapter.feed.close();
    await this.fleet.close();
    this.fleetChangeLog.close();
    this.host.close();
    this.probes.close();
    this.eventLoopMonitor.close();
    this.connections.closeAll();
    this.heartbeatSocket.close();
    for (const server of this.statusServers) await server.close();
    this.log.write('daemonStopped', {cutRequests});
  }
}
