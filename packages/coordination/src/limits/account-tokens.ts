/** The tokens of one account that are at this host: own and borrowed ones. */

import type {Clock} from '../clock.js';
import type {AccountState} from './account-state.js';
import type {Admission} from './admission.js';
import {readInstant} from './borrowed-tokens.js';
import type {BucketHolder} from './bucket-holder.js';
import {ChargedAdmission} from './charged-admission.js';
import type {GrantCollector} from './grant-collector.js';
import type {TokenBucket} from './token-bucket.js';

/** Makes a request of the whole burst fit shares that were rounded. */
const roundingFactor = 1 - 1e-12;

/** Charges the tokens of one account. */
export class AccountTokens {
  constructor(
    private readonly state: AccountState,
    private readonly clock: Clock,
    private readonly holder: BucketHolder,
    private readonly collector: GrantCollector,
  ) {}

  /** Charges own and borrowed tokens, the whole of `tokens` or nothing. */
  charge(tokens: number): Admission | undefined {
    // One reading for all, so that nothing expires between look and charge.
    const at = readInstant(this.clock);
    const {borrowed} = this.state;
    const bucket = this.ownBucket();
    const borrowedTokens = borrowed.available(at);
    const ownTokens = bucket?.available(at.now) ?? 0;
    if (borrowedTokens + ownTokens < tokens * roundingFactor) return undefined;
    const borrowedParts = borrowed.take(tokens, at);
    const missing = Math.max(0, tokens - borrowedTokens);
    const charge = bucket?.charge(missing, at.now);
    return new ChargedAdmission(tokens, borrowedParts, {
      ownTokens: charge?.tokens ?? 0,
      refundOwn: unused =>
        bucket!.refund(charge!.mark, unused, this.clock.now()),
      giveBack: ({grant}, unused) =>
        this.collector.giveBack(this.state, grant, unused),
    });
  }

  available(): number {
    const at = readInstant(this.clock);
    const ownTokens = this.ownBucket()?.available(at.now) ?? 0;
    return ownTokens + this.state.borrowed.available(at);
  }

  /** Gives back the grants that expire before `time`. */
  giveBackExpiring(time: number): void {
    for (const grant of this.state.borrowed.removeExpiring(time))
      this.collector.giveBack(this.state, grant, grant.tokens);
  }

  private ownBucket(): TokenBucket | undefined {
    if (!this.state.isOwnHolder) return undefined;
    return this.holder.bucketOf(this.state.account);
  }
}
