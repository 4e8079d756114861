/**
 * Limits the retries to each pool, across all hosts. `RetryAllowance` decides how
 * many this host may send.
 */

import type {Clock} from '../clock.js';
import {poolKeyOf} from './retry-loans.js';
import type {RetryLoans} from './retry-loans.js';
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
  /** Borrows what is missing from other hosts; absent where there are none. */
  readonly loans?: Pick<RetryLoans, 'canBorrow' | 'borrow'>;
  /** Called for each call that is recorded. */
  readonly onCall?: (pool: string) => void;
  /** Called when retries were given up for another host. */
  readonly onLent?: (pool: string, amount: number) => void;
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

  /** What this host can give up for others, by pool. */
  *spares(): Generator<readonly [pool: string, amount: number]> {
    for (const pool of this.allowances.keys())
      yield [pool, this.availableOf(pool)];
  }

  /**
   * Gives up to `amount` retries of the pool with this key up for another host.
   * Returns how many.
   */
  lend(poolKey: number, amount: number): number {
    const pools = [...this.allowances.keys()];
    const pool = pools.find(name => poolKeyOf(name) === poolKey);
    if (pool === undefined) return 0;
    const lent = Math.min(amount, this.availableOf(pool));
    if (lent <= 0) return 0;
    this.hold(pool, lent).use();
    this.parts.onLent?.(pool, lent);
    return lent;
  }

  /** Returns whether `count` more retries can be had now. */
  canAcquire(pool: string, count = 1): boolean {
    const missing = count - this.availableOf(pool);
    return (
      missing <= 0 || (this.parts.loans?.canBorrow(pool, missing) ?? false)
    );
  }

  /** Sets `count` retries of this host aside; undefined if it has fewer. */
  tryAcquire(pool: string, count = 1): readonly HeldRetry[] | undefined {
    if (this.availableOf(pool) < count) return undefined;
    return Array.from({length: count}, () => this.hold(pool, 1));
  }

  /**
   * Sets `count` retries aside, some of them borrowed; resolves with undefined if
   * there are fewer. What was borrowed is then kept for the next time.
   */
  async acquire(
    pool: string,
    count: number,
  ): Promise<readonly HeldRetry[] | undefined> {
    const own = this.tryAcquire(pool, count);
    const {loans} = this.parts;
    const missing = count - this.availableOf(pool);
    if (own !== undefined || !loans?.canBorrow(pool, missing)) return own;
    const borrowed = await loans.borrow(pool, missing);
    if (this.availableOf(pool) + borrowed >= count)
      return this.holdWithLoan(pool, count, borrowed);
    const {clock, share} = this.parts;
    this.allowanceOf(pool).deposit(borrowed, this.parts, share(), clock.now());
    return undefined;
  }

  private holdWithLoan(
    pool: string,
    count: number,
    borrowed: number,
  ): readonly HeldRetry[] {
    let left = borrowed;
    return Array.from({length: count}, () => {
      const part = Math.min(1, left);
      left -= part;
      return this.hold(pool, 1 - part);
    });
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
