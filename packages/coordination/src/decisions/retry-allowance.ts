/**
 * Decides how many retries a host may send to a pool, as its part of what all hosts
 * may send in any window: a fraction of the calls, and a fixed number. Load
 * pattern: upstreams that fail while hosts start, crash one after the other, join
 * or are cut off, so that none knows what the others, or its own earlier processes,
 * have spent. See docs/design/retry-budget.md.
 */

import {SlidingWindowCounter} from '../sliding-window-counter.js';

/** What all hosts together may spend in any window. */
export interface RetryBounds {
  /** Retries for each call. */
  readonly ratio: number;
  /** Retries in addition. */
  readonly extra: number;
  readonly windowMilliseconds: number;
}

/** What a host knows of the others that may spend. */
export type FleetShare =
  /** All hosts that may use the fixed part are counted. */
  | {readonly kind: 'counted'; readonly hosts: number}
  /** An earlier process of this host, or an unknown host, may just have used it. */
  | {readonly kind: 'starting'; readonly hosts: number}
  /** Out of contact, so that other hosts may count on the same part. */
  | {readonly kind: 'detached'; readonly hosts: number};

/** Retries that were taken, by where they came from. */
export interface TakenRetries {
  readonly earned: number;
  readonly fixed: number;
}

/** Part of the fixed number in use. The rest covers transit, like that of the ratio. */
const usedFixedFraction = 0.95;

/**
 * Parts of the fixed number by which hosts may save what calls earn. In between,
 * each host saves one whole retry: less than that could not be spent.
 */
const leastSavedFraction = 0.25;
const mostSavedFraction = 0.5;

/** Part of the ratio in use. The rest covers the transit of calls and retries. */
const usedRatioFraction = 0.95;

/** Part of a window after which a detached host loses what calls have earned. */
const detachedWindowFraction = 0.25;

export class RetryAllowance {
  /** Earned by calls and not spent. */
  private earned = 0;
  private readonly recentEarnings: SlidingWindowCounter;
  private readonly fixedSpent: SlidingWindowCounter;
  /** Fixed part of retries that are set aside. */
  private fixedHeld = 0;

  constructor(windowMilliseconds: number) {
    this.fixedSpent = new SlidingWindowCounter(windowMilliseconds);
    this.recentEarnings = new SlidingWindowCounter(
      windowMilliseconds * detachedWindowFraction,
    );
  }

  /** Records a call, which earns a part of a retry. */
  recordCall(bounds: RetryBounds, share: FleetShare, now: number): void {
    const earnings = bounds.ratio * usedRatioFraction;
    this.recentEarnings.add(now, earnings);
    this.deposit(earnings, bounds, share, now);
  }

  /** Adds retries that another host has given up. */
  deposit(
    amount: number,
    bounds: RetryBounds,
    share: FleetShare,
    now: number,
  ): void {
    this.earned = this.savedOf(bounds, share, now) + amount;
    this.earned = this.savedOf(bounds, share, now);
  }

  /** Retries that may be taken now, which need not be a whole number. */
  available(bounds: RetryBounds, share: FleetShare, now: number): number {
    return this.savedOf(bounds, share, now) + this.fixedOf(bounds, share, now);
  }

  /** Retries of the fixed number that are set aside or were spent in a window. */
  spentFixed(now: number): number {
    return this.fixedSpent.total(now) + this.fixedHeld;
  }

  /** Takes `amount`; undefined if less is available. */
  take(
    amount: number,
    bounds: RetryBounds,
    share: FleetShare,
    now: number,
  ): TakenRetries | undefined {
    if (this.available(bounds, share, now) < amount) return undefined;
    const saved = this.savedOf(bounds, share, now);
    const earned = Math.min(saved, amount);
    const fixed = amount - earned;
    this.earned = saved - earned;
    this.fixedHeld += fixed;
    return {earned, fixed};
  }

  /** Records that taken retries were sent, or may have been. */
  spend({fixed}: TakenRetries, now: number): void {
    this.fixedHeld -= fixed;
    this.fixedSpent.add(now, fixed);
  }

  /** Returns taken retries that were not sent. */
  giveBack(
    {earned, fixed}: TakenRetries,
    bounds: RetryBounds,
    share: FleetShare,
    now: number,
  ): void {
    this.fixedHeld -= fixed;
    this.deposit(earned, bounds, share, now);
  }

  private savedOf(
    {extra}: RetryBounds,
    {kind, hosts}: FleetShare,
    now: number,
  ): number {
    const limit = savedTotal(extra, hosts) / hosts;
    switch (kind) {
      case 'counted':
      case 'starting':
        return Math.min(this.earned, limit);
      case 'detached':
        return Math.min(this.earned, limit, this.recentEarnings.total(now));
    }
  }

  private fixedOf(
    {extra}: RetryBounds,
    {kind, hosts}: FleetShare,
    now: number,
  ): number {
    switch (kind) {
      case 'counted': {
        const divided = usedFixedFraction * extra - savedTotal(extra, hosts);
        return Math.max(0, divided / hosts - this.spentFixed(now));
      }
      case 'starting':
      case 'detached':
        return 0;
    }
  }
}

/** What all hosts together may save. The rest of the fixed number is divided. */
function savedTotal(extra: number, hosts: number): number {
  return Math.min(
    mostSavedFraction * extra,
    Math.max(leastSavedFraction * extra, hosts),
  );
}
