/** Dependencies of the controllers that serve callers. */

import type {
  Clock,
  Configuration,
  Host,
  RequestMemory,
} from '@persimmonwick/coordination';
import type {DrainGate} from './callers/drain-gate.js';
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
}

/** Token under which Nest injects the dependencies. */
export const controllerDependenciesToken = Symbol('ControllerDependencies');
