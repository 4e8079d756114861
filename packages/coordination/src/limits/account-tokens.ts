/** Tokens of one account at this host, from its own share and from grants. */

import type {Clock} from '../clock.js';
import type {AccountState} from './account-state.js';
import type {Admission} from './admission.js';
import {readClocks} from './borrowed-tokens.js';
import type {LocalBuckets} from './local-buckets.js';
import {ChargedAdmission} from './charged-admission.js';
import type {GrantCollector} from './grant-collector.js';
import type {TokenBucket} from './token-bucket.js';

/**
 * Without this tolerance for rounding errors of shares, a request of the whole
 * burst could be refused.
 */
const roundingFactor = 1 - 1e-12;

/** Charges the tokens of one account. */
export class AccountTokens {
  constructor(
    private readonly state: AccountState,
    private readonly clock: Clock,
    private readonly localBuckets: LocalBuckets,
    private readonly collector: GrantCollector,
  ) {}

  /** Charges `tokens` in full or not at all, borrowed tokens first. */
  charge(tokens: number): Admission | undefined {
    // With a single clock reading, no grant expires between check and charge.
    const reading = readClocks(this.clock);
    const {borrowed} = this.state;
    const bucket = this.ownBucket();
    const borrowedTokens = borrowed.available(reading);
    const ownTokens = bucket?.available(reading.now) ?? 0;
    if (borrowedTokens + ownTokens < tokens * roundingFactor) return undefined;
    const borrowedCharges = borrowed.take(tokens, reading);
    const missingTokens = Math.max(0, tokens - borrowedTokens);
    const charge = bucket?.charge(missingTokens, reading.now);
    return new ChargedAdmission(tokens, borrowedCharges, {
      ownTokens: charge?.tokens ?? 0,
      refundOwn: unusedTokens =>
        bucket!.refund(charge!.mark, unusedTokens, this.clock.now()),
      returnBorrowedTokens: ({grant}, unusedTokens) =>
        this.collector.returnTokens(this.state, grant, unusedTokens),
    });
  }

  available(): number {
    const reading = readClocks(this.clock);
    const ownTokens = this.ownBucket()?.available(reading.now) ?? 0;
    return ownTokens + this.state.borrowed.available(reading);
  }

  /**
   * Sends the unused tokens of grants that expire by `time` back to their
   * holders.
   */
  returnExpiringGrants(time: number): void {
    for (const grant of this.state.borrowed.removeExpiring(time))
      this.collector.returnTokens(this.state, grant, grant.tokens);
  }

  private ownBucket(): TokenBucket | undefined {
    if (!this.state.isHolder) return undefined;
    return this.localBuckets.getOrCreateBucket(this.state.account);
  }
}
