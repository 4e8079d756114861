/** What a host remembers of an account while the account is in use here. */

import type {Result} from 'true-myth';
import type {AccountId, FailureDomainId, HostId} from '../ids.js';
import type {Admission, RateRefusal} from './admission.js';
import {BorrowedTokens} from './borrowed-tokens.js';
import {KnownHolder} from './known-holder.js';
import type {AccountLimits} from './known-holder.js';
import type {HolderShare} from './shares.js';

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly tokens: number;
  /** Only the first answer counts. */
  readonly answer: (result: Result<Admission, RateRefusal>) => void;
  isAnswered: boolean;
}

/** The shares of one account and what it borrowed. */
export class AccountState {
  readonly borrowed = new BorrowedTokens();
  holders: readonly KnownHolder[] = [];
  isOwnHolder = false;
  totalFraction = 0;
  /** Grows when the shares or the account change. */
  generation = 0;
  usedAt = 0;
  private flowTokens = 0;
  private flowSince = 0;

  constructor(readonly account: AccountId) {}

  /** Takes on who holds the account. */
  setShares(
    shares: readonly HolderShare[],
    self: HostId,
    nearDomain: FailureDomainId,
    limits: AccountLimits,
  ): void {
    this.generation += 1;
    this.isOwnHolder = shares.some(share => share.host === self);
    this.totalFraction = shares.reduce((sum, share) => sum + share.fraction, 0);
    this.holders = shares
      .filter(share => share.host !== self)
      .map(
        share =>
          new KnownHolder(
            share.host,
            share.failureDomain === nearDomain,
            share.fraction,
            limits,
          ),
      );
  }

  /** The holder as known here; absent when it is none any more. */
  holderAt(host: HostId): KnownHolder | undefined {
    return this.holders.find(holder => holder.host === host);
  }

  /** Counts tokens that had to be borrowed. */
  countBorrowed(tokens: number, now: number): void {
    this.flowTokens = this.recentlyBorrowed(now) + tokens;
    this.flowSince = now;
  }

  /** Tokens borrowed lately, with older ones counted less. */
  recentlyBorrowed(now: number): number {
    const age = now - this.flowSince;
    return this.flowTokens * Math.exp(-age / flowMemoryMilliseconds);
  }
}

const flowMemoryMilliseconds = 500;
