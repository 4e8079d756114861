/** Dependencies of the controllers that serve callers. */

import type {
  Clock,
  Configuration,
  Host,
  ProcessorTime,
  RandomSource,
  RequestMemory,
} from '@persimmonwick/coordination';
import type {DrainGate} from './callers/drain-gate.js';
import type {CallReadMetrics} from './connections/call-read-metrics.js';
import type {EventLoopMonitor} from './connections/event-loop-monitor.js';
import type {EventLog} from './log/logger.js';
import type {RequestObserver} from './operators/request-observer.js';

export interface ControllerDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly configuration: () => Configuration;
  readonly host: Host;
  readonly gate: DrainGate;
  readonly observer: RequestObserver;
  readonly requestMilliseconds: number;
  readonly requestMemory: RequestMemory;
  readonly random: RandomSource;
  readonly monitor: EventLoopMonitor;
  readonly processorTime: ProcessorTime;
  readonly reads: CallReadMetrics;
}

/** Token under which Nest injects the dependencies. */
export const controllerDependenciesToken = Symbol('ControllerDependencies');
