/**
 * One holder's share of a client account's rate and burst. The level and the
 * grants that have not expired never add up to more than the capacity.
 */

import {grantMemoryMilliseconds, holdingMilliseconds} from './constants.js';
import {PeakHistory} from './peak-history.js';

/** Rate and capacity of a bucket. */
export interface BucketShare {
  readonly tokensPerSecond: number;
  readonly capacityTokens: number;
}

/** What a bucket gave out. */
export interface BucketGrant {
  readonly tokens: number;
  /** Counted by the borrower from before it asked. */
  readonly lifetimeMilliseconds: number;
}

/** What a borrower asks for. */
export interface BucketGrantRequest {
  /** Tells the grants of this bucket's holder apart. */
  readonly id: string;
  readonly tokens: number;
  readonly lifetimeMilliseconds: number;
  /** Asked for besides; only granted while the bucket stays half full. */
  readonly spareTokens: number;
  readonly spareLifetimeMilliseconds: number;
}

/** Where a bucket starts. */
export interface InitialBucketState {
  readonly levelTokens: number;
  /** Nothing is refilled before this time. */
  readonly refillStartsAt: number;
}

interface GrantRecord {
  unreturnedTokens: number;
  readonly expiresAt: number;
  readonly forgottenAt: number;
  /** Moment of the expiry in the history; absent before. */
  expiredMark: number | undefined;
  /** Absent until the first return. */
  returnNumbers: number[] | undefined;
}

/** A token bucket that lends. All times are those of the holder's own clock. */
export class TokenBucket {
  private level: number;
  private outstanding = 0;
  private advancedAt: number;
  private tokensPerMillisecond: number;
  private capacity: number;
  private readonly history = new PeakHistory();
  /** Grants that have not expired, by expiry. */
  private readonly unexpired: GrantRecord[] = [];
  /** Absent until the first grant. */
  private records: Map<string, GrantRecord> | undefined;

  constructor(share: BucketShare, start: InitialBucketState) {
    this.tokensPerMillisecond = share.tokensPerSecond / 1_000;
    this.capacity = share.capacityTokens;
    this.level = Math.min(start.levelTokens, share.capacityTokens);
    this.advancedAt = start.refillStartsAt;
    this.history.record(this.level);
  }

  /** Tokens at hand. */
  available(now: number): number {
    this.advance(now);
    return this.level;
  }

  /** True when the bucket is full and nothing is lent. */
  isFull(now: number): boolean {
    this.advance(now);
    return this.outstanding === 0 && this.level >= this.capacity;
  }

  /** Takes at most `tokens` for use at once. */
  charge(
    tokens: number,
    now: number,
  ): {readonly tokens: number; readonly mark: number} {
    this.advance(now);
    const taken = Math.min(this.level, tokens);
    const mark = this.history.mark();
    this.level -= taken;
    this.history.record(this.total());
    return {tokens: taken, mark};
  }

  /** Credits what a charge did not use; gives the tokens credited. */
  refund(mark: number, tokens: number, now: number): number {
    this.advance(now);
    const room = this.capacity - this.history.peakSince(mark);
    const credited = Math.max(0, Math.min(tokens, room));
    if (credited === 0) return 0;
    this.history.raiseSince(mark, credited);
    this.level += credited;
    this.history.record(this.total());
    return credited;
  }

  /** Lends at most what is wished for. */
  grant(wish: BucketGrantRequest, now: number): BucketGrant {
    this.advance(now);
    const wanted = Math.min(this.level, wish.tokens);
    const plenty = Math.max(0, this.level - wanted - this.capacity / 2);
    const spare = Math.min(plenty, wish.spareTokens);
    const lifetimeMilliseconds =
      spare > 0 ? wish.spareLifetimeMilliseconds : wish.lifetimeMilliseconds;
    const given = wanted + spare;
    if (given > 0) this.lend(wish.id, given, lifetimeMilliseconds, now);
    return {tokens: given, lifetimeMilliseconds};
  }

  /** Takes back a part of a grant; gives the tokens credited. */
  takeBack(
    id: string,
    returnNumber: number,
    tokens: number,
    now: number,
  ): number {
    this.advance(now);
    const record = this.records?.get(id);
    if (record === undefined || record.returnNumbers?.includes(returnNumber))
      return 0;
    (record.returnNumbers ??= []).push(returnNumber);
    const returned = Math.min(tokens, record.unreturnedTokens);
    record.unreturnedTokens -= returned;
    if (record.expiredMark !== undefined)
      return this.refund(record.expiredMark, returned, now);
    this.outstanding = this.withoutRounding(this.outstanding - returned);
    const room = Math.max(0, this.capacity - this.total());
    const credited = Math.min(returned, room);
    this.level += credited;
    return credited;
  }

  /** Takes on another share, without adding a token. */
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
    const room = Math.max(0, this.capacity - this.outstanding);
    this.level = Math.min(this.level, room);
    // Totals under the former capacity say nothing about room under this one.
    this.history.forget();
    this.history.record(this.total());
  }

  private lend(
    id: string,
    given: number,
    lifetimeMilliseconds: number,
    now: number,
  ): void {
    const record: GrantRecord = {
      unreturnedTokens: given,
      expiresAt: now + holdingMilliseconds(lifetimeMilliseconds),
      forgottenAt: now + grantMemoryMilliseconds,
      expiredMark: undefined,
      returnNumbers: undefined,
    };
    this.level -= given;
    this.outstanding += given;
    (this.records ??= new Map<string, GrantRecord>()).set(id, record);
    this.insertUnexpired(record);
  }

  private advance(now: number): void {
    while (this.unexpired.length > 0 && this.unexpired[0]!.expiresAt <= now) {
      const record = this.unexpired.shift()!;
      this.refillUntil(record.expiresAt);
      record.expiredMark = this.history.mark();
      this.outstanding = this.withoutRounding(
        this.outstanding - record.unreturnedTokens,
      );
      this.history.record(this.total());
    }
    this.refillUntil(now);
    this.forgetOldGrants(now);
  }

  private refillUntil(time: number): void {
    const elapsed = time - this.advancedAt;
    if (elapsed <= 0) return;
    this.advancedAt = time;
    const room = this.capacity - this.total();
    if (room <= 0) return;
    this.level += Math.min(room, elapsed * this.tokensPerMillisecond);
    this.history.record(this.total());
  }

  private forgetOldGrants(now: number): void {
    if (this.records === undefined) return;
    for (const [id, record] of this.records) {
      if (record.forgottenAt > now) return;
      this.records.delete(id);
    }
    this.records = undefined;
  }

  private insertUnexpired(record: GrantRecord): void {
    let index = this.unexpired.length;
    while (index > 0 && this.unexpired[index - 1]!.expiresAt > record.expiresAt)
      index -= 1;
    this.unexpired.splice(index, 0, record);
  }

  private total(): number {
    return this.level + this.outstanding;
  }

  private withoutRounding(outstanding: number): number {
    return this.unexpired.length === 0 ? 0 : Math.max(0, outstanding);
  }
}
