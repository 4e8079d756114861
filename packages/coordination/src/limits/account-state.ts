/** State that a host keeps for a client account while it is in use there. */

import type {Result} from 'true-myth';
import type {AccountId, FailureDomainId, HostId} from '../ids.js';
import type {Admission, RateRefusal} from './admission.js';
import {BorrowedTokens} from './borrowed-tokens.js';
import {HolderEstimate} from './holder-estimate.js';
import type {AccountLimits} from './holder-estimate.js';
import type {HolderShare} from './shares.js';

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly tokens: number;
  /** Resolves the request; only the first call takes effect. */
  readonly resolve: (result: Result<Admission, RateRefusal>) => void;
  isResolved: boolean;
}

/** The other holders of one account, and the tokens borrowed from them. */
export class AccountState {
  readonly borrowed = new BorrowedTokens();
  /** Holders other than this host. */
  otherHolders: readonly HolderEstimate[] = [];
  /** True if this host is a holder of the account. */
  isHolder = false;
  /**
   * Sum of all holders' fractions; may be below one during a membership change.
   */
  totalFraction = 0;
  /** Incremented when the shares or the account change. */
  generation = 0;
  lastUsedAt = 0;
  /** Decaying sum of missing tokens, as of `decayingSumAt`. */
  private decayingSum = 0;
  private decayingSumAt = 0;

  constructor(readonly account: AccountId) {}

  /** Replaces the shares of the account. */
  setShares(
    shares: readonly HolderShare[],
    self: HostId,
    ownDomain: FailureDomainId,
    limits: AccountLimits,
  ): void {
    this.generation += 1;
    this.isHolder = shares.some(share => share.host === self);
    this.totalFraction = shares.reduce((sum, share) => sum + share.fraction, 0);
    this.otherHolders = shares
      .filter(share => share.host !== self)
      .map(
        share =>
          new HolderEstimate(
            share.host,
            share.failureDomain === ownDomain,
            share.fraction,
            limits,
          ),
      );
  }

  /** Estimate of a holder; undefined if the host is no longer a holder. */
  holderAt(host: HostId): HolderEstimate | undefined {
    return this.otherHolders.find(holder => holder.host === host);
  }

  /** Records tokens that requests needed beyond those at this host. */
  recordMissingTokens(tokens: number, now: number): void {
    this.decayingSum = this.recentlyMissingTokens(now) + tokens;
    this.decayingSumAt = now;
  }

  /** Tokens that were missing recently, weighted by exponential decay. */
  recentlyMissingTokens(now: number): number {
    const age = now - this.decayingSumAt;
    return this.decayingSum * Math.exp(-age / borrowDecayMilliseconds);
  }
}

/** Time in which the weight of missing tokens falls by a factor of e. */
const borrowDecayMilliseconds = 500;
