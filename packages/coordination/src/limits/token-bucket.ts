/**
 * Token bucket for one holder's share of a client account's rate and burst.
 * Charges, grants and refunds never raise the level plus the unexpired grants
 * above the capacity. After a reduction of the capacity, earlier grants may
 * exceed it until they expire.
 */

import {
  grantRetentionMilliseconds,
  outstandingGrantMilliseconds,
} from './constants.js';
import {PeakHistory} from './peak-history.js';

/** Rate and capacity of a bucket. */
export interface BucketShare {
  readonly tokensPerSecond: number;
  readonly capacityTokens: number;
}

/** Tokens that a bucket lends. */
export interface BucketGrant {
  readonly tokens: number;
  /**
   * Measured from a clock reading that the borrower took before its request.
   */
  readonly lifetimeMilliseconds: number;
}

/** Request of a borrower for a grant. */
export interface BucketGrantRequest {
  /** Unique among the grants of this bucket's holder. */
  readonly id: string;
  readonly tokens: number;
  readonly lifetimeMilliseconds: number;
  /**
   * Requested in addition. Granted only as far as the bucket stays at least
   * half full.
   */
  readonly spareTokens: number;
  readonly spareLifetimeMilliseconds: number;
}

/** State in which a bucket starts. */
export interface InitialBucketState {
  readonly levelTokens: number;
  /** No tokens are refilled before this time. */
  readonly refillStartsAt: number;
}

interface GrantRecord {
  unreturnedTokens: number;
  /** Later than the borrower's expiry; see `outstandingGrantMilliseconds`. */
  readonly outstandingUntil: number;
  readonly retainedUntil: number;
  /** History mark at the expiry; undefined until then. */
  expiredMark: number | undefined;
  /** Undefined until the first return. */
  returnNumbers: number[] | undefined;
}

/** A token bucket that lends tokens. All times are on the holder's clock. */
export class TokenBucket {
  private level: number;
  private outstandingTokens = 0;
  private refilledUntil: number;
  private tokensPerMillisecond: number;
  private capacity: number;
  private readonly history = new PeakHistory();
  /** Unexpired grants, ordered by expiry. */
  private readonly unexpiredGrants: GrantRecord[] = [];
  /** Undefined until the first grant. */
  private grantRecords: Map<string, GrantRecord> | undefined;

  constructor(share: BucketShare, initialState: InitialBucketState) {
    this.tokensPerMillisecond = share.tokensPerSecond / 1_000;
    this.capacity = share.capacityTokens;
    this.level = Math.min(initialState.levelTokens, share.capacityTokens);
    this.refilledUntil = initialState.refillStartsAt;
    this.history.record(this.level);
  }

  /** Tokens available for charges and grants. */
  available(now: number): number {
    this.advance(now);
    return this.level;
  }

  /** True when the bucket is full and no tokens are lent. */
  isFull(now: number): boolean {
    this.advance(now);
    return this.outstandingTokens === 0 && this.level >= this.capacity;
  }

  /** Charges at most `tokens`. */
  charge(
    tokens: number,
    now: number,
  ): {readonly tokens: number; readonly mark: number} {
    this.advance(now);
    const chargedTokens = Math.min(this.level, tokens);
    const mark = this.history.mark();
    this.level -= chargedTokens;
    this.history.record(this.total());
    return {tokens: chargedTokens, mark};
  }

  /**
   * Credits unused tokens of a charge and returns the number credited. `mark`
   * is the one that the charge returned. Tokens that would have overflowed the
   * bucket at any time since then are not credited.
   */
  refund(mark: number, tokens: number, now: number): number {
    this.advance(now);
    const headroom = this.capacity - this.history.peakSince(mark);
    const creditedTokens = Math.max(0, Math.min(tokens, headroom));
    if (creditedTokens === 0) return 0;
    this.history.raiseSince(mark, creditedTokens);
    this.level += creditedTokens;
    this.history.record(this.total());
    return creditedTokens;
  }

  /** Lends at most the requested tokens. */
  grant(request: BucketGrantRequest, now: number): BucketGrant {
    this.advance(now);
    const regularTokens = Math.min(this.level, request.tokens);
    const surplusTokens = Math.max(
      0,
      this.level - regularTokens - this.capacity / 2,
    );
    const spareTokens = Math.min(surplusTokens, request.spareTokens);
    const lifetimeMilliseconds =
      spareTokens > 0
        ? request.spareLifetimeMilliseconds
        : request.lifetimeMilliseconds;
    const grantedTokens = regularTokens + spareTokens;
    if (grantedTokens > 0)
      this.lend(request.id, grantedTokens, lifetimeMilliseconds, now);
    return {tokens: grantedTokens, lifetimeMilliseconds};
  }

  /** Credits returned tokens of a grant; returns the number credited. */
  creditReturn(
    id: string,
    returnNumber: number,
    tokens: number,
    now: number,
  ): number {
    this.advance(now);
    const record = this.grantRecords?.get(id);
    if (record === undefined || record.returnNumbers?.includes(returnNumber))
      return 0;
    (record.returnNumbers ??= []).push(returnNumber);
    const returnedTokens = Math.min(tokens, record.unreturnedTokens);
    record.unreturnedTokens -= returnedTokens;
    if (record.expiredMark !== undefined)
      return this.refund(record.expiredMark, returnedTokens, now);
    this.outstandingTokens = this.outstandingAfterRounding(
      this.outstandingTokens - returnedTokens,
    );
    const headroom = Math.max(0, this.capacity - this.total());
    const creditedTokens = Math.min(returnedTokens, headroom);
    this.level += creditedTokens;
    return creditedTokens;
  }

  /** Changes the share without adding tokens. */
  reconfigure(share: BucketShare, now: number): void {
    const tokensPerMillisecond = share.tokensPerSecond / 1_000;
    if (
      tokensPerMillisecond === this.tokensPerMillisecond &&
      share.capacityTokens === this.capacity
    )
      return;
    this.advance(now);
    this.tokensPerMillisecond = tokensPerMillisecond;
    this.capacity = share.capacityTokens;
    const headroom = Math.max(0, this.capacity - this.outstandingTokens);
    this.level = Math.min(this.level, headroom);
    // Totals under the old capacity do not determine the new headroom.
    this.history.invalidate();
    this.history.record(this.total());
  }

  private lend(
    id: string,
    grantedTokens: number,
    lifetimeMilliseconds: number,
    now: number,
  ): void {
    const record: GrantRecord = {
      unreturnedTokens: grantedTokens,
      outstandingUntil:
        now + outstandingGrantMilliseconds(lifetimeMilliseconds),
      retainedUntil: now + grantRetentionMilliseconds,
      expiredMark: undefined,
      returnNumbers: undefined,
    };
    this.level -= grantedTokens;
    this.outstandingTokens += grantedTokens;
    (this.grantRecords ??= new Map<string, GrantRecord>()).set(id, record);
    this.insertUnexpired(record);
  }

  /** Expires grants and refills the bucket up to `now`. */
  private advance(now: number): void {
    while (
      this.unexpiredGrants.length > 0 &&
      this.unexpiredGrants[0]!.outstandingUntil <= now
    ) {
      const record = this.unexpiredGrants.shift()!;
      this.refillUntil(record.outstandingUntil);
      record.expiredMark = this.history.mark();
      this.outstandingTokens = this.outstandingAfterRounding(
        this.outstandingTokens - record.unreturnedTokens,
      );
      this.history.record(this.total());
    }
    this.refillUntil(now);
    this.removeOldRecords(now);
  }

  private refillUntil(time: number): void {
    const elapsed = time - this.refilledUntil;
    if (elapsed <= 0) return;
    this.refilledUntil = time;
    const headroom = this.capacity - this.total();
    if (headroom <= 0) return;
    this.level += Math.min(headroom, elapsed * this.tokensPerMillisecond);
    this.history.record(this.total());
  }

  private removeOldRecords(now: number): void {
    if (this.grantRecords === undefined) return;
    for (const [id, record] of this.grantRecords) {
      if (record.retainedUntil > now) return;
      this.grantRecords.delete(id);
    }
    this.grantRecords = undefined;
  }

  private insertUnexpired(record: GrantRecord): void {
    let index = this.unexpiredGrants.length;
    while (
      index > 0 &&
      this.unexpiredGrants[index - 1]!.outstandingUntil >
        record.outstandingUntil
    )
      index -= 1;
    this.unexpiredGrants.splice(index, 0, record);
  }

  private total(): number {
    return this.level + this.outstandingTokens;
  }

  /**
   * Returns zero when no grant is outstanding, so rounding errors do not add
   * up.
   */
  private outstandingAfterRounding(outstandingTokens: number): number {
    return this.unexpiredGrants.length === 0
      ? 0
      : Math.max(0, outstandingTokens);
  }
}
