/**
 * Watches the turns of the event loop: since when input that is read may have waited, and
 * whether the process stood still, which otherwise looks like silence of every upstream
 * at once.
 */

import {UnreadTime} from '@persimmonwick/coordination';
import type {LoopTime} from '@persimmonwick/coordination';

/** Interval of the timer that shows whether the process runs. */
const tickMilliseconds = 50;

/** Shortest delay of the process that is reported. */
const reportedDelayMilliseconds = 150;

export interface EventLoopMonitorParts {
  /** Gets the milliseconds for which the process did not run. */
  readonly onStall?: (milliseconds: number) => void;
  /** Called at regular intervals. */
  readonly onTick?: () => void;
}

export class EventLoopMonitor {
  private readonly unread = new UnreadTime(readLoopTime());
  private readonly timer: NodeJS.Timeout;
  private tickDueAt = performance.now() + tickMilliseconds;
  private isPollPending = false;

  constructor(private readonly parts: EventLoopMonitorParts = {}) {
    this.timer = setInterval(() => this.tick(), tickMilliseconds);
    this.timer.unref();
    this.unread.expectTimer(this.tickDueAt);
  }

  /** Clock time up to which all that arrived has been read. */
  get polledAt(): number {
    return this.unread.polledAt;
  }

  /**
   * Records that input is read or a connection is accepted. What arrived before will have
   * been read at the end of this turn, and what is read later arrived since.
   */
  recordRead(): void {
    if (this.isPollPending) return;
    this.isPollPending = true;
    const poll = readLoopTime();
    // Runs behind all reads of the turn, and keeps no later turn from waiting.
    setImmediate(() => {
      this.isPollPending = false;
      this.unread.recordPoll(poll);
    });
  }

  /** Earliest clock time at which input that is read now can have arrived. */
  earliestArrival(): number {
    return this.unread.earliestArrival(readLoopTime());
  }

  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = performance.now();
    const delay = now - this.tickDueAt;
    // Timers run before the input of their turn is read.
    this.recordRead();
    this.tickDueAt = now + tickMilliseconds;
    // What this turn reads may have arrived while the process stood still.
    setImmediate(() => this.unread.expectTimer(this.tickDueAt));
    if (delay >= reportedDelayMilliseconds) this.parts.onStall?.(delay);
    this.parts.onTick?.();
  }
}

function readLoopTime(): LoopTime {
  return {
    now: performance.now(),
    idle: performance.nodeTiming.idleTime,
  };
}
