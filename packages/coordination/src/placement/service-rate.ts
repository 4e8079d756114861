/** The rate at which a queue is served while something waits in it. */

const halfLifeMilliseconds = 2_000;
/** Busy time from which the rate is trusted. */
const leastBusyMilliseconds = 250;

export class ServiceRate {
  private busySince: number | undefined;
  private busyMilliseconds = 0;
  private servedTokens = 0;

  get isIdle(): boolean {
    return this.busySince === undefined;
  }

  /** Notes that something waits. */
  start(now: number): void {
    this.busySince ??= now;
  }

  /** Notes that nothing waits any more. */
  stop(now: number): void {
    this.settle(now);
    this.busySince = undefined;
  }

  record(now: number, tokens: number): void {
    this.settle(now);
    this.servedTokens += tokens;
  }

  /** Milliseconds until `tokens` are served; 0 while the rate is unknown. */
  waitFor(tokens: number): number {
    if (this.busyMilliseconds < leastBusyMilliseconds) return 0;
    if (this.servedTokens <= 0) return 0;
    return (tokens * this.busyMilliseconds) / this.servedTokens;
  }

  private settle(now: number): void {
    if (this.busySince === undefined) return;
    const elapsed = now - this.busySince;
    this.busySince = now;
    const kept = 0.5 ** (elapsed / halfLifeMilliseconds);
    this.busyMilliseconds = this.busyMilliseconds * kept + elapsed;
    this.servedTokens *= kept;
  }
}
