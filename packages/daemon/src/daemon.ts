/** One daemon: its parts, in the order in which they start. */

import {randomInt} from 'node:crypto';
import {
  CompletionRunner,
  hostId,
  incarnation,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {v4 as makeUuid, v7 as makeOrderedUuid} from 'uuid';
import {startCallerServer} from './callers/caller-server.js';
import {RequestGate} from './callers/request-gate.js';
import {ServiceForwarder} from './callers/service-forwarder.js';
import {Closables} from './closables.js';
import type {EventLog} from './log/logger.js';
import {isReady} from './operators/operator-parts.js';
import {startOperatorServer} from './operators/operator-server.js';
import {MetricsPage, createRegistry} from './operators/prometheus.js';
import {RequestMetrics} from './operators/request-metrics.js';
import {loadPeerSecurity} from './peers/index.js';
import {startPeers} from './peers/start-peers.js';
import {ConfigurationWatcher} from './platform/configuration-watcher.js';
import {createPlatformClient} from './platform/platform-client.js';
import {StartError} from './start-error.js';
import {HttpEngineDirectory} from './upstreams/http-engine.js';

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
  const closables = new Closables();
  try {
    return await startParts(settings, log, closables);
  } catch (error) {
    await closables.close();
    throw error;
  }
}

async function startParts(
  settings: CompleteSettings,
  log: EventLog,
  closables: Closables,
): Promise<Daemon> {
  const security = loadPeerSecurity(settings);
  if (security.isErr) throw new StartError(security.error);
  const clock = systemClock;
  const random = seededRandom(randomInt(2 ** 31));
  const self = {
    host: hostId(settings.host),
    incarnation: incarnation(makeOrderedUuid()),
  };
  const {requestMilliseconds} = settings.limits;
  const engines = closables.add(
    new HttpEngineDirectory(settings.upstreamSilenceMilliseconds),
  );
  const services = closables.add(
    new ServiceForwarder(random, requestMilliseconds),
  );
  const watcher = closables.add(
    new ConfigurationWatcher(
      createPlatformClient(settings.platform.addresses[0]),
      clock,
      log,
      settings.platform.watchTimeoutMilliseconds,
    ),
  );
  watcher.start();
  const configuration = () => watcher.current;
  const gate = new RequestGate(clock);
  const metrics = new RequestMetrics(clock);
  const peers = closables.add(
    await startPeers({
      settings,
      security: security.value,
      self,
      configuration,
      log,
      handlers: {},
    }),
  );
  const runner = new CompletionRunner({
    clock,
    random,
    owner: self,
    engines,
    configuration,
    makeAttemptId: () => makeUuid(),
  });
  const startDraining = () => {
    if (gate.isDraining) return;
    gate.startDraining();
    log.write('daemonStopping', {inFlight: gate.inFlight});
  };
  const metricsPage = new MetricsPage(
    createRegistry(metrics, () => ({
      inFlight: gate.inFlight,
      configurationVersion: configuration().version,
      isReady: isReady({configuration, gate}),
      isDraining: gate.isDraining,
    })),
  );
  const operators = closables.add(
    await startOperatorServer(
      {
        self,
        failureDomain: settings.failureDomain,
        configuration,
        gate,
        metrics,
        metricsPage,
        startDraining,
      },
      settings.listen.operators,
    ),
  );
  const callers = closables.add(
    await startCallerServer(
      {
        clock,
        log,
        configuration,
        runner,
        services,
        gate,
        observer: metrics,
        requestMilliseconds,
      },
      settings,
    ),
  );
  const addresses = {
    callers: callers.address,
    operators: operators.address,
    peers: peers.address,
  };
  log.write('daemonStarted', {...self, ...addresses});
  return {
    addresses,
    ready: watcher.ready,
    startDraining,
    async close() {
      startDraining();
      const cutRequests = await gate.drain(settings.limits.drainMilliseconds);
      await closables.close();
      log.write('daemonStopped', {cutRequests});
    },
  };
}
