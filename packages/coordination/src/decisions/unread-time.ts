/**
 * Estimates how long input of callers lay unread when it is read. A process learns only
 * that input is there, not since when.
 *
 * Load pattern: a process with less processor time than its work needs, or that stands
 * still. What callers send meanwhile waits in the system, and looks new when it is read.
 *
 * The event loop reads all that has arrived once in a turn. What is read now and was not
 * read in the turn before arrived since. The time in which the loop waited for input does
 * not count: input that arrives then ends the wait. A timer that is overdue shows that
 * the process did not run, also within such a wait.
 */

/** A reading of the clock with the time that the event loop has waited for input. */
export interface LoopTime {
  /** Clock time in milliseconds. */
  readonly now: number;
  /** Time since the start of the process in which the loop waited, in milliseconds. */
  readonly idle: number;
}

/** Timers fire this much late on a machine with other work. */
const timerSlackMilliseconds = 20;

export class UnreadTime {
  private polled: LoopTime;
  private overdueSince = Infinity;

  constructor(start: LoopTime) {
    this.polled = start;
  }

  /** Clock time of the last poll that `recordPoll` was told of. */
  get polledAt(): number {
    return this.polled.now;
  }

  /** Records that all input has been read that had arrived at `poll`. */
  recordPoll(poll: LoopTime): void {
    this.polled = poll;
  }

  /** Records the clock time at which a timer is due. */
  expectTimer(dueAt: number): void {
    this.overdueSince = dueAt + timerSlackMilliseconds;
  }

  /** Returns the earliest clock time at which input that is read now can have arrived. */
  earliestArrival({now, idle}: LoopTime): number {
    const busy = now - this.polled.now - (idle - this.polled.idle);
    return now - Math.max(0, busy, now - this.overdueSince);
  }
}
