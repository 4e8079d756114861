/** One daemon: its parts, in the order in which they start. */

import {
  Host,
  emptyConfiguration,
  failureDomainId,
  hostId,
} from '@persimmonwick/coordination';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {v4 as makeUuid} from 'uuid';
import {startCallerServer} from './callers/caller-server.js';
import {Closables} from './closables.js';
import {createCore} from './daemon-core.js';
import type {DaemonCore} from './daemon-core.js';
import type {RunningServer} from './listen.js';
import {createHostObserver} from './log/host-observer.js';
import type {EventLog} from './log/logger.js';
import {isReady} from './operators/operator-parts.js';
import type {PeerStatus} from './operators/operator-parts.js';
import {startOperatorServer} from './operators/operator-server.js';
import {MetricsPage, createRegistry} from './operators/prometheus.js';
import {loadPeerSecurity} from './peers/index.js';
import {startPeers} from './peers/start-peers.js';
import type {PeerHandlers, PeerSecurity} from './peers/index.js';
import type {PeerLinks, Peers} from './peers/start-peers.js';
import {
  createPlatformClient,
  createRotatingSource,
} from './platform/platform-client.js';
import {StartError} from './start-error.js';

/** A daemon that runs. */
export interface Daemon {
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
  };
  /** Resolves when the host takes requests. */
  readonly ready: Promise<void>;
  /** Takes no new requests from now on. */
  startDraining(): void;
  /** Drains, then closes; requests in flight are bounded by the settings. */
  close(): Promise<void>;
}

/**
 * Starts a daemon; resolves when it listens. Rejects with a `StartError` when
 * the settings can't be used here, and leaves nothing open.
 */
export async function startDaemon(
  settings: CompleteSettings,
  log: EventLog,
): Promise<Daemon> {
  const security = loadPeerSecurity(settings);
  if (security.isErr) throw new StartError(security.error);
  const closables = new Closables();
  const core = createCore(settings, log, closables);
  try {
    const {host, peers} = await startHost(core, security.value);
    closables.add(peers);
    closables.add(host);
    host.store.subscribe(configuration => {
      core.gate.interruptCallsOfWithdrawnKeys(configuration);
      peers.forgetOthers();
    });
    const operators = closables.add(await listenForOperators(core, host));
    const callers = closables.add(await listenForCallers(core, host));
    return announce(core, host, closables, {peers, operators, callers});
  } catch (error) {
    await closables.close();
    throw error;
  }
}

async function startHost(
  core: DaemonCore,
  security: PeerSecurity,
): Promise<{host: Host; peers: Peers}> {
  let host: Host | undefined;
  try {
    const peers = await startPeers({
      ...core,
      security,
      configuration: () => host?.configuration ?? emptyConfiguration,
      onVersion: (version, from) =>
        host?.distributor.recordPeerVersion(version, from),
      makeHandlers: links => {
        host = makeHost(core, links);
        return handlersOf(host);
      },
    });
    return {host: host!, peers};
  } catch (error) {
    await host?.close();
    throw error;
  }
}

function handlersOf(host: Host): PeerHandlers {
  return {
    configuration: host.configurationHandler,
    limit: host.limiter,
    claim: host.claims,
    fleet: host.fleet,
    lease: host.leaseWitness,
    ownership: host.ownership,
  };
}

function makeHost(core: DaemonCore, links: PeerLinks): Host {
  const {settings, log} = core;
  const {addresses, watchTimeoutMilliseconds} = settings.platform;
  return new Host({
    ...core,
    ...links,
    failureDomain: failureDomainId(settings.failureDomain),
    platform: createRotatingSource(addresses.map(createPlatformClient)),
    seeds: settings.seeds.map(hostId),
    timing: {platformWaitMilliseconds: watchTimeoutMilliseconds},
    silenceMilliseconds: settings.upstreamSilenceMilliseconds,
    queuedRequests: settings.limits.queuedRequests,
    makeAttemptId: () => makeUuid(),
    observer: createHostObserver(log),
  });
}

function listenForOperators(
  core: DaemonCore,
  host: Host,
): Promise<RunningServer> {
  const {settings, self, gate, metrics} = core;
  const configuration = () => host.configuration;
  const metricsPage = new MetricsPage(
    createRegistry(metrics, () => ({
      inFlight: gate.inFlight,
      configurationVersion: configuration().version,
      isReady: isReady({host, gate}),
      isDraining: gate.isDraining,
    })),
  );
  return startOperatorServer(
    {
      self,
      failureDomain: settings.failureDomain,
      host,
      configuration,
      gate,
      metrics,
      metricsPage,
      startDraining: () => startDraining(core),
      peers: () => describePeers(host),
    },
    settings.listen.operators,
  );
}

function describePeers(host: Host): PeerStatus[] {
  const {membership} = host.configuration;
  const domains = new Map(
    membership?.spec.members.map(each => [each.host, each.failureDomain]),
  );
  return host.fleet.hosts().map(({host: id, incarnation, status}) => ({
    host: id,
    failureDomain: domains.get(id) ?? '',
    state: status,
    incarnation,
  }));
}

function listenForCallers(
  core: DaemonCore,
  host: Host,
): Promise<RunningServer> {
  const {clock, log, gate, metrics, settings} = core;
  return startCallerServer(
    {
      clock,
      log,
      host,
      configuration: () => host.configuration,
      gate,
      observer: metrics,
      requestMilliseconds: settings.limits.requestMilliseconds,
    },
    settings,
  );
}

function announce(
  core: DaemonCore,
  host: Host,
  closables: Closables,
  servers: Record<
    'peers' | 'operators' | 'callers',
    {readonly address: string}
  >,
): Daemon {
  const {log, self} = core;
  let closing: Promise<void> | undefined;
  const addresses = {
    callers: servers.callers.address,
    operators: servers.operators.address,
    peers: servers.peers.address,
  };
  log.write('daemonStarted', {...self, ...addresses});
  return {
    addresses,
    ready: host.start(),
    startDraining: () => startDraining(core),
    close() {
      closing ??= stop(core, closables);
      return closing;
    },
  };
}

async function stop(core: DaemonCore, closables: Closables): Promise<void> {
  const {settings, log, gate} = core;
  startDraining(core);
  const cutRequests = await gate.drain(settings.limits.drainMilliseconds);
  await closables.close();
  log.write('daemonStopped', {cutRequests});
}

function startDraining({gate, log}: DaemonCore): void {
  if (gate.isDraining) return;
  gate.startDraining();
  log.write('daemonStopping', {inFlight: gate.inFlight});
}
