/**
 * Limits what is sent beyond the first sending of each call, for each pool. The
 * bound holds over all hosts: each host takes a share of its own calls, and of
 * the fixed part what falls to one of the hosts that are known.
 */

import type {Clock} from '../clock.js';
import {SlidingCount} from './sliding-count.js';

export interface PoolRetryBudgetParts {
  readonly clock: Clock;
  /** Further sendings allowed for each call. */
  readonly ratio: number;
  /** Further sendings allowed besides in each window, over all hosts. */
  readonly extra: number;
  readonly windowMilliseconds: number;
  /** Hosts that may send, this one included. */
  readonly hostCount: () => number;
}

/** Hosts assumed at least, so that a host that knows nobody takes little. */
const minimumHosts = 4;

/** Part of the bound that is used: a count of calls may lag behind. */
const usedPart = 0.8;

interface PoolCounts {
  readonly calls: SlidingCount;
  readonly repeats: SlidingCount;
}

export class PoolRetryBudget {
  private readonly counts = new Map<string, PoolCounts>();

  constructor(private readonly parts: PoolRetryBudgetParts) {}

  /** Counts a call that came in for `pool`. */
  countCall(pool: string): void {
    this.countsOf(pool).calls.add(this.parts.clock.now());
  }

  /** Takes one further sending; false when none is left. */
  tryTake(pool: string): boolean {
    const {clock, ratio, extra, hostCount} = this.parts;
    const {calls, repeats} = this.countsOf(pool);
    const now = clock.now();
    const share = extra / Math.max(minimumHosts, hostCount());
    const allowed = usedPart * (ratio * calls.total(now) + share);
    if (repeats.total(now) + 1 > allowed) return false;
    repeats.add(now);
    return true;
  }

  private countsOf(pool: string): PoolCounts {
    const known = this.counts.get(pool);
    if (known !== undefined) return known;
    const {windowMilliseconds} = this.parts;
    const made = {
      calls: new SlidingCount(windowMilliseconds),
      repeats: new SlidingCount(windowMilliseconds),
    };
    this.counts.set(pool, made);
    return made;
  }
}
