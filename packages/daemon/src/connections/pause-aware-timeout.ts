/**
 * Timeouts that do not mistake a pause of this process for silence of the other
 * side. After a pause expired timers may run before what arrived meanwhile is read.
 */

/** A timer that fires later than this shows that the process stood still. */
const lateTimerMilliseconds = 10;

/** Time to read what arrived during a pause. */
const graceMilliseconds = 50;

export class PauseAwareTimeout {
  private timer: NodeJS.Timeout | undefined;
  /** Set once the time has passed; what has arrived until then is read before. */
  private lastTurn: NodeJS.Immediate | undefined;
  private expiresAt = 0;
  /** Whether the timer runs for the grace, which can't be refreshed. */
  private isInGrace = false;

  constructor(
    private readonly milliseconds: number,
    private readonly onTimeout: () => void,
  ) {
    this.restart();
  }

  /** Starts the time anew. */
  restart(): void {
    clearImmediate(this.lastTurn);
    if (this.timer === undefined || this.isInGrace) {
      this.startTimer(this.milliseconds, false);
      return;
    }
    this.expiresAt = performance.now() + this.milliseconds;
    this.timer.refresh();
  }

  clear(): void {
    clearImmediate(this.lastTurn);
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private startTimer(milliseconds: number, isInGrace: boolean): void {
    this.isInGrace = isInGrace;
    this.expiresAt = performance.now() + milliseconds;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.expire(), milliseconds);
  }

  private expire(): void {
    const isLate = performance.now() - this.expiresAt > lateTimerMilliseconds;
    // One grace is enough: a process that is always late must time out too.
    if (isLate && !this.isInGrace) this.startTimer(graceMilliseconds, true);
    else this.lastTurn = setImmediate(() => this.onTimeout());
  }
}
