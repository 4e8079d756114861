/** Records the events and answers of a trace run. */

import type {Clock} from '../clock.js';
import type {RunEvent} from '../invariants/run-event.js';
import type {FailureCode, ExecutionState} from '../requests/failure.js';

/** An event without its timestamp. */
export type UntimedEvent<Event = RunEvent> = Event extends RunEvent
  ? Omit<Event, 'at'>
  : never;

/** The answer to a request of a trace, or `none` if there was no answer. */
export type TraceAnswer =
  | {readonly kind: 'whole'}
  | {
      readonly kind: 'failed';
      readonly code: FailureCode;
      readonly ran: ExecutionState;
    }
  | {readonly kind: 'none'};

export class TraceRecorder {
  readonly events: RunEvent[] = [];
  readonly answers = new Map<string, TraceAnswer>();
  /** Number of tokens in a complete answer, by completion request. */
  readonly expectedTokens = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records `event` with the timestamp `at`. */
  record(event: UntimedEvent, at = this.clock.now()): void {
    this.events.push({...event, at} as RunEvent);
  }
}
