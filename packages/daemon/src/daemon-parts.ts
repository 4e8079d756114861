/** What the controllers of a daemon work with. */

import type {
  Clock,
  CompletionRunner,
  Configuration,
} from '@persimmonwick/coordination';
import type {ServiceForwarder} from './callers/service-forwarder.js';
import type {EventLog} from './log/logger.js';

export interface DaemonParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly configuration: () => Configuration;
  readonly runner: CompletionRunner;
  readonly services: ServiceForwarder;
  readonly requestMilliseconds: number;
}

/** Token under which Nest injects the parts. */
export const daemonPartsToken = Symbol('DaemonParts');
