/** The parts of a daemon that need no open port. */

import {randomInt} from 'node:crypto';
import {
  hostId,
  incarnation,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {
  Clock,
  CompleteSettings,
  Configuration,
  PeerIdentity,
  RandomSource,
} from '@persimmonwick/coordination';
import {v7 as makeOrderedUuid} from 'uuid';
import {RequestGate} from './callers/request-gate.js';
import {ServiceForwarder} from './callers/service-forwarder.js';
import type {Closables} from './closables.js';
import type {EventLog} from './log/logger.js';
import {RequestMetrics} from './operators/request-metrics.js';
import {ConfigurationWatcher} from './platform/configuration-watcher.js';
import {createPlatformClient} from './platform/platform-client.js';
import {HttpEngineDirectory} from './upstreams/http-engine.js';

export interface DaemonCore {
  readonly settings: CompleteSettings;
  readonly log: EventLog;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly engines: HttpEngineDirectory;
  readonly services: ServiceForwarder;
  readonly watcher: ConfigurationWatcher;
  readonly configuration: () => Configuration;
  readonly gate: RequestGate;
  readonly metrics: RequestMetrics;
}

/** Makes the core and starts to watch the platform. */
export function createCore(
  settings: CompleteSettings,
  log: EventLog,
  closables: Closables,
): DaemonCore {
  const clock = systemClock;
  const random = seededRandom(randomInt(2 ** 31));
  const {limits, platform, upstreamSilenceMilliseconds} = settings;
  const gate = new RequestGate(clock);
  const engines = closables.add(
    new HttpEngineDirectory(upstreamSilenceMilliseconds),
  );
  const services = closables.add(
    new ServiceForwarder(random, limits.requestMilliseconds),
  );
  const watcher = closables.add(
    new ConfigurationWatcher(
      createPlatformClient(platform.addresses[0]),
      clock,
      log,
      platform.watchTimeoutMilliseconds,
      configuration => gate.checkKeys(configuration),
    ),
  );
  watcher.start();
  return {
    settings,
    log,
    clock,
    random,
    self: {
      host: hostId(settings.host),
      incarnation: incarnation(makeOrderedUuid()),
    },
    engines,
    services,
    watcher,
    configuration: () => watcher.current,
    gate,
    metrics: new RequestMetrics(clock),
  };
}
