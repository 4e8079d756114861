/**
 * Reports when the process did not run for a noticeable time, which otherwise
 * looks like silence of every upstream at once.
 */

/** Interval of the checks. */
const checkIntervalMilliseconds = 250;

/** Shortest delay that is reported. */
const reportedDelayMilliseconds = 150;

export class EventLoopMonitor {
  private readonly timer: NodeJS.Timeout;
  private lastCheckAt = performance.now();

  /** `onStall` gets the milliseconds for which the process did not run. */
  constructor(private readonly onStall: (milliseconds: number) => void) {
    this.timer = setInterval(() => this.check(), checkIntervalMilliseconds);
    this.timer.unref();
  }

  close(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const now = performance.now();
    const delay = now - this.lastCheckAt - checkIntervalMilliseconds;
    this.lastCheckAt = now;
    if (delay >= reportedDelayMilliseconds) this.onStall(delay);
  }
}
