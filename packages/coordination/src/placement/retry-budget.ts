/** Keeps retries a bounded share of requests, so that faults do not multiply load. */

/** Retries that each request adds to the budget. */
const retriesPerRequest = 0.2;
/** Most retries that may be saved up. */
const maximumRetries = 20;

export class RetryBudget {
  private retries = maximumRetries;

  /** Counts a first attempt. */
  deposit(): void {
    this.retries = Math.min(maximumRetries, this.retries + retriesPerRequest);
  }

  /** Takes one retry; false when the budget is spent. */
  withdraw(): boolean {
    if (this.retries < 1) return false;
    this.retries -= 1;
    return true;
  }
}
