/** One daemon: its parts, in the order in which they start. */

import {CompletionRunner} from '@persimmonwick/coordination';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {v4 as makeUuid} from 'uuid';
import {startCallerServer} from './callers/caller-server.js';
import {Closables} from './closables.js';
import {createCore} from './daemon-core.js';
import type {DaemonCore} from './daemon-core.js';
import type {RunningServer} from './listen.js';
import type {EventLog} from './log/logger.js';
import {isReady} from './operators/operator-parts.js';
import {startOperatorServer} from './operators/operator-server.js';
import {MetricsPage, createRegistry} from './operators/prometheus.js';
import {loadPeerSecurity} from './peers/index.js';
import type {PeerSecurity} from './peers/index.js';
import {startPeers} from './peers/start-peers.js';
import type {Peers} from './peers/start-peers.js';
import {StartError} from './start-error.js';

/** A daemon that runs. */
export interface Daemon {
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
  };
  /** Resolves when a first configuration is in force. */
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
    const peers = closables.add(await listenForPeers(core, security.value));
    const operators = closables.add(await listenForOperators(core));
    const callers = closables.add(await listenForCallers(core));
    return announce(core, closables, {peers, operators, callers});
  } catch (error) {
    await closables.close();
    throw error;
  }
}

function listenForPeers(
  {settings, self, configuration, log, clock}: DaemonCore,
  security: PeerSecurity,
): Promise<Peers> {
  return startPeers({
    settings,
    security,
    self,
    configuration,
    log,
    clock,
    handlers: {},
  });
}

function listenForOperators(core: DaemonCore): Promise<RunningServer> {
  const {settings, self, configuration, gate, metrics} = core;
  const metricsPage = new MetricsPage(
    createRegistry(metrics, () => ({
      inFlight: gate.inFlight,
      configurationVersion: configuration().version,
      isReady: isReady({configuration, gate}),
      isDraining: gate.isDraining,
    })),
  );
  return startOperatorServer(
    {
      self,
      failureDomain: settings.failureDomain,
      configuration,
      gate,
      metrics,
      metricsPage,
      startDraining: () => startDraining(core),
    },
    settings.listen.operators,
  );
}

function listenForCallers(core: DaemonCore): Promise<RunningServer> {
  const {clock, log, random, self, engines, services, configuration} = core;
  const runner = new CompletionRunner({
    clock,
    random,
    owner: self,
    engines,
    configuration,
    makeAttemptId: () => makeUuid(),
  });
  return startCallerServer(
    {
      clock,
      log,
      configuration,
      runner,
      services,
      gate: core.gate,
      observer: core.metrics,
      requestMilliseconds: core.settings.limits.requestMilliseconds,
    },
    core.settings,
  );
}

function announce(
  core: DaemonCore,
  closables: Closables,
  servers: Record<
    'peers' | 'operators' | 'callers',
    {readonly address: string}
  >,
): Daemon {
  const {log, self, watcher} = core;
  let closing: Promise<void> | undefined;
  const addresses = {
    callers: servers.callers.address,
    operators: servers.operators.address,
    peers: servers.peers.address,
  };
  log.write('daemonStarted', {...self, ...addresses});
  return {
    addresses,
    ready: watcher.ready,
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
