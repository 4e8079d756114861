/** Starts the components of a daemon in order and closes them in reverse. */

import {
  Host,
  emptyConfiguration,
  failureDomainId,
  hostId,
} from '@persimmonwick/coordination';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {v4 as createUuid} from 'uuid';
import {startCallerServer} from './callers/caller-server.js';
import {Closables} from './closables.js';
import {createCore} from './daemon-core.js';
import type {DaemonCore} from './daemon-core.js';
import type {RunningServer} from './listen.js';
import {createHostObserver} from './log/host-observer.js';
import type {EventLog} from './log/logger.js';
import {isReady} from './operators/operator-dependencies.js';
import type {PeerStatus} from './operators/operator-dependencies.js';
import {startOperatorServer} from './operators/operator-server.js';
import {MetricsPage, createRegistry} from './operators/prometheus.js';
import {loadPeerSecurity} from './peers/index.js';
import {startPeers} from './peers/start-peers.js';
import type {PeerHandlers, PeerSecurity} from './peers/index.js';
import type {PeerConnections, PeerEndpoint} from './peers/start-peers.js';
import {
  createPlatformClient,
  createFailoverSource,
} from './platform/platform-client.js';
import {StartError} from './start-error.js';

/** A running daemon. */
export interface Daemon {
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
  };
  /** Resolves when the host accepts requests. */
  readonly ready: Promise<void>;
  /** Stops accepting new requests. */
  startDraining(): void;
  /** Drains for at most the time in the settings, then closes the daemon. */
  close(): Promise<void>;
}

/**
 * Starts a daemon and resolves when it listens. Rejects with a `StartError` if
 * the settings can't be used on this machine, and closes all it had opened.
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
      peers.removeFormerMembers();
    });
    const operators = closables.add(await startOperators(core, host));
    const callers = closables.add(await startCallers(core, host));
    return createDaemon(core, host, closables, {peers, operators, callers});
  } catch (error) {
    await closables.close();
    throw error;
  }
}

async function startHost(
  core: DaemonCore,
  security: PeerSecurity,
): Promise<{host: Host; peers: PeerEndpoint}> {
  let host: Host | undefined;
  try {
    // The host needs the transport, and the server needs the handlers of the
    // host. `createHandlers` creates the host before the server listens.
    const peers = await startPeers({
      ...core,
      security,
      configuration: () => host?.configuration ?? emptyConfiguration,
      onConfigurationVersion: (version, from) =>
        host?.distributor.pullIfNewer(version, from),
      createHandlers: connections => {
        host = createHost(core, connections);
        return peerHandlersOf(host);
      },
    });
    return {host: host!, peers};
  } catch (error) {
    await host?.close();
    throw error;
  }
}

function peerHandlersOf(host: Host): PeerHandlers {
  return {
    configuration: host.configurationHandler,
    limit: host.limiter,
    claim: host.claims,
    fleet: host.fleet,
    lease: host.leaseWitness,
    ownership: host.ownership,
  };
}

function createHost(core: DaemonCore, connections: PeerConnections): Host {
  const {settings, log} = core;
  const {addresses, watchTimeoutMilliseconds} = settings.platform;
  return new Host({
    ...core,
    ...connections,
    failureDomain: failureDomainId(settings.failureDomain),
    platform: createFailoverSource(addresses.map(createPlatformClient)),
    seeds: settings.seeds.map(hostId),
    timing: {platformWaitMilliseconds: watchTimeoutMilliseconds},
    silenceMilliseconds: settings.upstreamSilenceMilliseconds,
    queuedRequests: settings.limits.queuedRequests,
    retryStartMilliseconds: settings.limits.retryStartMilliseconds,
    makeAttemptId: () => createUuid(),
    observer: createHostObserver(log),
  });
}

function startOperators(core: DaemonCore, host: Host): Promise<RunningServer> {
  const {settings, self, gate, metrics, requestMemory} = core;
  const configuration = () => host.configuration;
  const registry = createRegistry(metrics, () => ({
    inFlight: gate.inFlight,
    requestBytesHeld: requestMemory.heldBytes,
    configurationVersion: configuration().version,
    isReady: isReady({host, gate}),
    isDraining: gate.isDraining,
  }));
  core.reads.registerAt(registry);
  const metricsPage = new MetricsPage(registry);
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
    membership?.spec.members.map(member => [member.host, member.failureDomain]),
  );
  return host.fleet.hosts().map(({host: id, incarnation, status}) => ({
    host: id,
    failureDomain: domains.get(id) ?? '',
    state: status,
    incarnation,
  }));
}

function startCallers(core: DaemonCore, host: Host): Promise<RunningServer> {
  const {settings, metrics} = core;
  return startCallerServer(
    {
      ...core,
      host,
      configuration: () => host.configuration,
      observer: metrics,
      requestMilliseconds: settings.limits.requestMilliseconds,
    },
    settings,
  );
}

function createDaemon(
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
      closing ??= drainAndClose(core, closables);
      return closing;
    },
  };
}

async function drainAndClose(
  core: DaemonCore,
  closables: Closables,
): Promise<void> {
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
