/** Records a trace's run for the checker and for the comparison. */

import type {Clock} from '../clock.js';
import type {RunEvent} from '../invariants/run-event.js';
import type {FailureCode, ExecutionState} from '../requests/failure.js';

/** An event without its time. */
export type UntimedEvent<Event = RunEvent> = Event extends RunEvent
  ? Omit<Event, 'at'>
  : never;

/** How a request of a trace ended. */
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
  /** Tokens that a whole answer of each completion has. */
  readonly expectedTokens = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records `event` at `at`, or now. */
  record(event: UntimedEvent, at = this.clock.now()): void {
    this.events.push({...event, at} as RunEvent);
  }
}
