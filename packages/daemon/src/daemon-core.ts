/** What the host and the servers of a daemon share, created before they listen. */

import {randomInt} from 'node:crypto';
import {
  ProcessorTime,
  RequestMemory,
  hostId,
  incarnation,
  seededRandom,
  systemClock,
} from '@persimmonwick/coordination';
import type {
  Clock,
  CompleteSettings,
  PeerIdentity,
  RandomSource,
} from '@persimmonwick/coordination';
import {v7 as createTimeOrderedUuid} from 'uuid';
import {DrainGate} from './callers/drain-gate.js';
import type {Closables} from './closables.js';
import {CallReadMetrics} from './connections/call-read-metrics.js';
import {EventLoopMonitor} from './connections/event-loop-monitor.js';
import type {EventLog} from './log/logger.js';
import {RequestMetrics} from './operators/request-metrics.js';
import {
  logProcessorTime,
  logRequestMemory,
} from './passthrough/passthrough-log.js';
import {HttpEngineDirectory} from './upstreams/http-engine.js';
import {HttpServiceSender} from './upstreams/http-service-sender.js';

export interface DaemonCore {
  readonly settings: CompleteSettings;
  readonly log: EventLog;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly engines: HttpEngineDirectory;
  readonly sender: HttpServiceSender;
  readonly gate: DrainGate;
  readonly metrics: RequestMetrics;
  readonly requestMemory: RequestMemory;
  readonly monitor: EventLoopMonitor;
  readonly processorTime: ProcessorTime;
  readonly reads: CallReadMetrics;
}

/**
 * Part of the memory of the process that bodies of requests may hold. A completion holds
 * its body in several forms.
 */
const requestMemoryFraction = 1 / 16;

export function createCore(
  settings: CompleteSettings,
  log: EventLog,
  closables: Closables,
): DaemonCore {
  const clock = systemClock;
  const random = seededRandom(randomInt(2 ** 31));
  const {limits} = settings;
  const gate = new DrainGate(clock);
  const engines = closables.add(
    new HttpEngineDirectory(limits.requestMilliseconds),
  );
  const sender = closables.add(
    new HttpServiceSender(limits.requestMilliseconds),
  );
  const processorTime = new ProcessorTime(change =>
    logProcessorTime(log, change),
  );
  const monitor = new EventLoopMonitor({
    onStall: milliseconds =>
      log.write('processStalled', {milliseconds: Math.round(milliseconds)}),
    onTick: () => processorTime.check(clock.now()),
  });
  closables.add({close: async () => monitor.close()});
  return {
    settings,
    log,
    clock,
    random,
    self: {
      host: hostId(settings.host),
      incarnation: incarnation(createTimeOrderedUuid()),
    },
    engines,
    sender,
    gate,
    metrics: new RequestMetrics(clock),
    requestMemory: new RequestMemory({
      clock,
      budgetBytes: limits.memoryBytes * requestMemoryFraction,
      onEvent: (event, total) => logRequestMemory(log, event, total),
    }),
    monitor,
    processorTime,
    reads: new CallReadMetrics(),
  };
}
