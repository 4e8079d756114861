/**
 * Levels of buckets that are not in memory. A bucket occupies memory only while
 * it is in use; the level of an unused one follows from the memberships that
 * have been active since the start of the process.
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
  readonly startsAt: number;
}

/**
 * The latest memberships and the times at which they become active, oldest
 * first. Determines the level of a bucket that is not in memory.
 */
export class ShareEpochs {
  private readonly epochs: ShareEpoch[] = [];

  constructor(
    private readonly self: HostId,
    private readonly holdersPerDomain: number,
  ) {}

  /** Starts an epoch. Dropping the oldest epoch can only lower levels. */
  add(membership: MembershipDocument | undefined, startsAt: number): void {
    this.epochs.push({membership, startsAt});
    if (this.epochs.length > maximumEpochs) this.epochs.shift();
  }

  /** This host's current share of an account. */
  currentShare(account: ClientAccountDocument): BucketShare {
    return this.shareDuring(this.epochs[this.epochs.length - 1], account);
  }

  /** State of a bucket that was empty at the start and never used since. */
  unusedBucketState(
    account: ClientAccountDocument,
    now: number,
  ): InitialBucketState {
    let level = 0;
    this.epochs.forEach((epoch, index) => {
      const share = this.shareDuring(epoch, account);
      const end = this.epochs[index + 1]?.startsAt ?? now;
      const elapsed = Math.max(0, end - epoch.startsAt);
      level = Math.min(
        share.capacityTokens,
        level + (elapsed * share.tokensPerSecond) / 1_000,
      );
    });
    const lastEpochStartsAt =
      this.epochs[this.epochs.length - 1]?.startsAt ?? now;
    return {
      levelTokens: level,
      refillStartsAt: Math.max(now, lastEpochStartsAt),
    };
  }

  private shareDuring(
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
