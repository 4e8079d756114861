/**
 * Limits the retries of calls for each pool, across all hosts. In each window a
 * host may retry `ratio` of its own calls, plus its equal share of `extra`.
 */

import type {Clock} from '../clock.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';

export interface PoolRetryBudgetParts {
  readonly clock: Clock;
  /** Retries allowed per call. */
  readonly ratio: number;
  /** Extra retries allowed in each window, across all hosts. */
  readonly extra: number;
  readonly windowMilliseconds: number;
  /** Number of hosts that may send retries, including this one. */
  readonly hostCount: () => number;
  /** Called for each call that is recorded. */
  readonly onCall?: (pool: string) => void;
}

/**
 * Minimum number of hosts assumed, which keeps the share of a host without
 * known peers small.
 */
const minimumAssumedHosts = 4;

/**
 * Fraction of the limit that is used. The rest is a margin for a count of calls
 * that lags behind.
 */
const usableFraction = 0.8;

/** A retry that is set aside for one call, until either method is called. */
export interface HeldRetry {
  /** Spends the retry. */
  use(): void;
  /** Returns the retry to the budget. */
  release(): void;
}

/** What a decision of the budget was based on. */
export interface RetryBudgetState {
  /** Retries and calls of this host in the last window. */
  readonly spent: number;
  readonly calls: number;
  /** Extra retries that this host takes for its part. */
  readonly share: number;
  /** Hosts by which the extra retries were divided. */
  readonly hosts: number;
}

interface PoolCounts {
  readonly calls: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
  /** Retries that are set aside. */
  held: number;
}

export class PoolRetryBudget {
  private readonly counts = new Map<string, PoolCounts>();

  constructor(private readonly parts: PoolRetryBudgetParts) {}

  /** Records a call that arrived for `pool`. */
  recordCall(pool: string): void {
    this.countsOf(pool).calls.add(this.parts.clock.now());
    this.parts.onCall?.(pool);
  }

  stateOf(pool: string): RetryBudgetState {
    const {clock, extra, hostCount} = this.parts;
    const {calls, retries, held} = this.countsOf(pool);
    const now = clock.now();
    const hosts = Math.max(minimumAssumedHosts, hostCount());
    return {
      spent: retries.total(now) + held,
      calls: calls.total(now),
      share: extra / hosts,
      hosts,
    };
  }

  /** Returns whether the budget allows `count` more retries now. */
  canAcquire(pool: string, count = 1): boolean {
    const {spent, calls, share} = this.stateOf(pool);
    const allowed = usableFraction * (this.parts.ratio * calls + share);
    return spent + count <= allowed;
  }

  /** Sets `count` retries aside; undefined if the budget has fewer. */
  tryAcquire(pool: string, count = 1): readonly HeldRetry[] | undefined {
    if (!this.canAcquire(pool, count)) return undefined;
    return Array.from({length: count}, () => this.hold(pool));
  }

  /** Like `tryAcquire`. */
  acquire(
    pool: string,
    count: number,
  ): Promise<readonly HeldRetry[] | undefined> {
    return Promise.resolve(this.tryAcquire(pool, count));
  }

  private hold(pool: string): HeldRetry {
    const counts = this.countsOf(pool);
    counts.held += 1;
    let isHeld = true;
    const end = () => {
      if (isHeld) counts.held -= 1;
      const wasHeld = isHeld;
      isHeld = false;
      return wasHeld;
    };
    return {
      use: () => {
        if (end()) counts.retries.add(this.parts.clock.now());
      },
      release: () => void end(),
    };
  }

  private countsOf(pool: string): PoolCounts {
    const known = this.counts.get(pool);
    if (known !== undefined) return known;
    const {windowMilliseconds} = this.parts;
    const made = {
      calls: new SlidingWindowCounter(windowMilliseconds),
      retries: new SlidingWindowCounter(windowMilliseconds),
      held: 0,
    };
    this.counts.set(pool, made);
    return made;
  }
}
