/**
 * What an untouched bucket holds. Buckets only occupy memory while they are in
 * use; the level of another one follows from the memberships that were in force
 * since the start of the process.
 */

import type {
  ClientAccountDocument,
  MembershipDocument,
} from '../generated/documents.js';
import type {AccountId, HostId} from '../ids.js';
import {accountId} from '../ids.js';
import {holderShares} from './shares.js';
import type {BucketShare, InitialBucketState} from './token-bucket.js';

const maximumEpochs = 4;

interface ShareEpoch {
  readonly membership: MembershipDocument | undefined;
  readonly since: number;
}

/** The memberships in force since the start, oldest first. */
export class ShareEpochs {
  private readonly epochs: ShareEpoch[] = [];

  constructor(
    private readonly self: HostId,
    private readonly holdersPerDomain: number,
  ) {}

  /** Starts an epoch. Dropping an old one only lowers levels. */
  add(membership: MembershipDocument | undefined, since: number): void {
    this.epochs.push({membership, since});
    if (this.epochs.length > maximumEpochs) this.epochs.shift();
  }

  /** This host's present share of an account. */
  currentShare(account: ClientAccountDocument): BucketShare {
    return this.shareIn(this.epochs[this.epochs.length - 1], account);
  }

  /** Level of a bucket that was empty at the start and never used since. */
  untouchedStart(
    account: ClientAccountDocument,
    now: number,
  ): InitialBucketState {
    let level = 0;
    this.epochs.forEach((epoch, index) => {
      const share = this.shareIn(epoch, account);
      const end = this.epochs[index + 1]?.since ?? now;
      const elapsed = Math.max(0, end - epoch.since);
      level = Math.min(
        share.capacityTokens,
        level + (elapsed * share.tokensPerSecond) / 1_000,
      );
    });
    const lastSince = this.epochs[this.epochs.length - 1]?.since ?? now;
    return {levelTokens: level, refillStartsAt: Math.max(now, lastSince)};
  }

  private shareIn(
    epoch: ShareEpoch | undefined,
    account: ClientAccountDocument,
  ): BucketShare {
    const fraction = this.fractionOf(epoch, accountId(account.name));
    return {
      tokensPerSecond: account.spec.rateTokensPerSecond * fraction,
      capacityTokens: account.spec.burstTokens * fraction,
    };
  }

  private fractionOf(epoch: ShareEpoch | undefined, account: AccountId) {
    const shares = holderShares(
      epoch?.membership,
      account,
      this.holdersPerDomain,
    );
    return shares.find(share => share.host === this.self)?.fraction ?? 0;
  }
}
