/**
 * Limits the retries to each pool, across all hosts. `RetryAllowance` decides how
 * many this host may send.
 */

import type {Clock} from '../clock.js';
import {RetryAllowance} from '../decisions/retry-allowance.js';
import type {
  FleetShare,
  RetryBounds,
  TakenRetries,
} from '../decisions/retry-allowance.js';

export interface PoolRetryBudgetParts extends RetryBounds {
  readonly clock: Clock;
  /** What this host knows of the others that may send retries. */
  readonly share: () => FleetShare;
  /** Called for each call that is recorded. */
  readonly onCall?: (pool: string) => void;
}

/** What a decision of the budget was based on. */
export interface RetryBudgetState {
  /** Retries that this host may send now. */
  readonly available: number;
  /** Retries of the fixed part that this host has spent in the last window. */
  readonly spent: number;
  readonly standing: FleetShare['kind'];
  /** Hosts by which the fixed part is divided. */
  readonly hosts: number;
}

/** A retry that is set aside for one call, until either method is called. */
export interface HeldRetry {
  /** Spends the retry. */
  use(): void;
  /** Returns the retry to the budget. */
  release(): void;
}

export class PoolRetryBudget {
  private readonly allowances = new Map<string, RetryAllowance>();

  constructor(private readonly parts: PoolRetryBudgetParts) {}

  /** Records a call for `pool` that came from a caller. */
  recordCall(pool: string): void {
    const {clock, share, onCall} = this.parts;
    this.allowanceOf(pool).recordCall(this.parts, share(), clock.now());
    onCall?.(pool);
  }

  stateOf(pool: string): RetryBudgetState {
    const allowance = this.allowanceOf(pool);
    const now = this.parts.clock.now();
    const share = this.parts.share();
    return {
      available: allowance.available(this.parts, share, now),
      spent: allowance.spentFixed(now),
      standing: share.kind,
      hosts: share.hosts,
    };
  }

  /** Returns whether the budget allows `count` more retries now. */
  canAcquire(pool: string, count = 1): boolean {
    return this.availableOf(pool) >= count;
  }

  /** Sets `count` retries aside; undefined if the budget has fewer. */
  tryAcquire(pool: string, count = 1): readonly HeldRetry[] | undefined {
    if (!this.canAcquire(pool, count)) return undefined;
    return Array.from({length: count}, () => this.hold(pool, 1));
  }

  /** Like `tryAcquire`. */
  acquire(
    pool: string,
    count: number,
  ): Promise<readonly HeldRetry[] | undefined> {
    return Promise.resolve(this.tryAcquire(pool, count));
  }

  private availableOf(pool: string): number {
    const {clock, share} = this.parts;
    return this.allowanceOf(pool).available(this.parts, share(), clock.now());
  }

  /** Sets aside `amount` retries, which must be available. */
  private hold(pool: string, amount: number): HeldRetry {
    const {clock, share} = this.parts;
    const allowance = this.allowanceOf(pool);
    let taken: TakenRetries | undefined = allowance.take(
      amount,
      this.parts,
      share(),
      clock.now(),
    );
    const end = (settle: (retries: TakenRetries) => void) => {
      const held = taken;
      taken = undefined;
      if (held !== undefined) settle(held);
    };
    return {
      use: () => end(held => allowance.spend(held, clock.now())),
      release: () =>
        end(held => allowance.giveBack(held, this.parts, share(), clock.now())),
    };
  }

  private allowanceOf(pool: string): RetryAllowance {
    const known = this.allowances.get(pool);
    if (known !== undefined) return known;
    const created = new RetryAllowance(this.parts.windowMilliseconds);
    this.allowances.set(pool, created);
    return created;
  }
}
