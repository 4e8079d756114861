/**
 * Counts what upstreams may have received of one call: its runs, and the requests
 * that only have its prompt read. The first prefill that an engine accepts does
 * not count. What goes beyond the first one has to be covered by retries of the
 * budget before it is sent.
 */

import type {HeldRetry} from './pool-retry-budget.js';

export type SendPurpose = 'run' | 'prefill';

/** What became of a send. */
export type SendOutcome =
  /** Nothing reached an upstream. */
  | 'not-sent'
  /** An engine has read the prompt. */
  | 'prefilled'
  /** An upstream may have received it. */
  | 'arrived';

/** A send beyond the first of its call. */
export interface Repeat {
  readonly pool: string;
  readonly purpose: SendPurpose;
  /** How the send before it ended. */
  readonly reason: string;
}

export interface CallSend {
  /** Ends the send. `detail` tells how, for logs. */
  end(outcome: SendOutcome, detail: string): void;
}

/** The retry budget, as far as the sends of a call need it. */
export interface RetrySource {
  recordCall(pool: string): void;
  canAcquire(pool: string, count: number): boolean;
  acquire(
    pool: string,
    count: number,
  ): Promise<readonly HeldRetry[] | undefined>;
}

export class CallSends {
  /** Sends that count, with those that have not ended. */
  private counted = 0;
  private hasPrefill = false;
  private lastDetail = '';
  private held: HeldRetry[] = [];
  private usedRetries = 0;

  /**
   * A call that another host has handed over `earns` no retry here, because it
   * has earned one there.
   */
  constructor(
    private readonly retries: RetrySource,
    private readonly onRepeat: (repeat: Repeat) => void,
    private earns = true,
  ) {}

  /** Records that the call is for `pool`. Later calls have no effect. */
  recordCall(pool: string): void {
    if (this.earns) this.retries.recordCall(pool);
    this.earns = false;
  }

  /** Whether an upstream may have received the call, beyond a first prefill. */
  get hasArrived(): boolean {
    return this.counted > 0;
  }

  /** Whether an upstream may have received anything of the call. */
  get wasSent(): boolean {
    return this.hasArrived || this.hasPrefill;
  }

  /** Whether a prefill needs no retry, neither for itself nor for the run after it. */
  get isPrefillFree(): boolean {
    return !this.wasSent;
  }

  /** Returns whether the budget can cover `sends` further sends. */
  canCover(pool: string, sends: number): boolean {
    const missing = this.missingRetries(sends);
    return missing === 0 || this.retries.canAcquire(pool, missing);
  }

  /**
   * Covers `sends` further sends; resolves with the number of retries that were
   * acquired for them, or undefined if there are too few.
   */
  async cover(pool: string, sends: number): Promise<number | undefined> {
    const missing = this.missingRetries(sends);
    if (missing === 0) return 0;
    const acquired = await this.retries.acquire(pool, missing);
    this.held.push(...(acquired ?? []));
    return acquired?.length;
  }

  /** Records that a request is about to be sent. */
  begin(pool: string, purpose: SendPurpose): CallSend {
    this.counted += 1;
    const repeat = {pool, purpose, reason: this.lastDetail};
    const isRepeat = this.counted > 1;
    return {
      end: (outcome, detail) => {
        const isFirstPrefill = outcome === 'prefilled' && !this.hasPrefill;
        this.hasPrefill ||= outcome === 'prefilled';
        this.lastDetail = detail;
        if (outcome === 'not-sent' || isFirstPrefill) this.counted -= 1;
        else if (isRepeat) this.onRepeat(repeat);
      },
    };
  }

  /** Returns the retries that were acquired and not needed. */
  settle(): void {
    const needed = Math.max(0, this.counted - 1 - this.usedRetries);
    const used = this.held.slice(0, needed);
    for (const retry of used) retry.use();
    for (const retry of this.held.slice(needed)) retry.release();
    this.usedRetries += used.length;
    this.held = [];
  }

  private missingRetries(sends: number): number {
    const covered = this.held.length + this.usedRetries;
    return Math.max(0, this.counted + sends - 1 - covered);
  }
}
