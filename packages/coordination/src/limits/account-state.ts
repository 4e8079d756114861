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
  readonly answer: (result: Result<Admission, RateRefusal>) => void;
  isAnswered: boolean;
}

/** Holders of one account and the tokens borrowed from them. */
export class AccountState {
  readonly borrowed = new BorrowedTokens();
  holders: readonly HolderEstimate[] = [];
  isHolder = false;
  totalFraction = 0;
  /** Incremented when the shares or the account change. */
  generation = 0;
  lastUsedAt = 0;
  private decayedTokens = 0;
  private decayedAt = 0;

  constructor(readonly account: AccountId) {}

  /** Replaces the holders of the account. */
  setShares(
    shares: readonly HolderShare[],
    self: HostId,
    ownDomain: FailureDomainId,
    limits: AccountLimits,
  ): void {
    this.generation += 1;
    this.isHolder = shares.some(share => share.host === self);
    this.totalFraction = shares.reduce((sum, share) => sum + share.fraction, 0);
    this.holders = shares
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
    return this.holders.find(holder => holder.host === host);
  }

  /** Records tokens that had to be borrowed. */
  recordBorrowedTokens(tokens: number, now: number): void {
    this.decayedTokens = this.recentlyBorrowedTokens(now) + tokens;
    this.decayedAt = now;
  }

  /** Tokens borrowed recently, weighted by exponential decay. */
  recentlyBorrowedTokens(now: number): number {
    const age = now - this.decayedAt;
    return this.decayedTokens * Math.exp(-age / borrowDecayMilliseconds);
  }
}

/** Time in which the weight of borrowed tokens falls by a factor of e. */
const borrowDecayMilliseconds = 500;
