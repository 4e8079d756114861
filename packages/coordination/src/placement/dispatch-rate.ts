/** Measures the rate at which a queue is served while it is not empty. */

const halfLifeMilliseconds = 2_000;
/** Busy time needed before the rate is used. */
const minimumBusyMilliseconds = 250;

export class DispatchRate {
  private busySince: number | undefined;
  private busyMilliseconds = 0;
  private dispatchedTokens = 0;

  get isIdle(): boolean {
    return this.busySince === undefined;
  }

  /** Starts the measurement when the queue becomes non-empty. */
  start(now: number): void {
    this.busySince ??= now;
  }

  /** Stops the measurement when the queue becomes empty. */
  stop(now: number): void {
    this.decayUntil(now);
    this.busySince = undefined;
  }

  record(now: number, tokens: number): void {
    this.decayUntil(now);
    this.dispatchedTokens += tokens;
  }

  /** Estimated time until `tokens` are served; 0 while the rate is unknown. */
  estimateWaitMilliseconds(tokens: number): number {
    if (this.busyMilliseconds < minimumBusyMilliseconds) return 0;
    if (this.dispatchedTokens <= 0) return 0;
    return (tokens * this.busyMilliseconds) / this.dispatchedTokens;
  }

  private decayUntil(now: number): void {
    if (this.busySince === undefined) return;
    const elapsed = now - this.busySince;
    this.busySince = now;
    const decay = 0.5 ** (elapsed / halfLifeMilliseconds);
    this.busyMilliseconds = this.busyMilliseconds * decay + elapsed;
    this.dispatchedTokens *= decay;
  }
}
