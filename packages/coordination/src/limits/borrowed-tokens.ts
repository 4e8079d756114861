/** Grants that this host has received from other hosts for one account. */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';

/** A grant as seen by its borrower. */
export interface BorrowedGrant {
  readonly holderHost: HostId;
  readonly id: string;
  /**
   * On the monotonic clock, measured from a reading taken before the request.
   */
  readonly expiresAt: number;
  /**
   * The same expiry on the wall clock. The monotonic clock of a suspended host
   * may stop, which makes the grant appear younger than it is.
   */
  readonly wallExpiresAt: number;
  tokens: number;
  /**
   * Number of returns sent. Numbers each return so that a duplicate is ignored.
   */
  returnCount: number;
}

/** One reading of both clocks of a host. */
export interface ClockReading {
  readonly now: number;
  readonly wallNow: number;
}

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
  return {now: clock.now(), wallNow: clock.wallNow()};
}

/** Part of a grant that was charged for a request. */
export interface BorrowedCharge {
  readonly grant: BorrowedGrant;
  readonly tokens: number;
}

/** Grants with tokens left, oldest first. */
export class BorrowedTokens {
  private grants: BorrowedGrant[] = [];

  get isEmpty(): boolean {
    return this.grants.length === 0;
  }

  add(grant: BorrowedGrant): void {
    this.grants.push(grant);
  }

  /** Tokens of the grants that have not expired. */
  available(reading: ClockReading): number {
    let sum = 0;
    for (const grant of this.grants)
      if (isUsable(grant, reading)) sum += grant.tokens;
    return sum;
  }

  /**
   * Takes at most `tokens`, from the oldest grants first, and drops expired
   * grants.
   */
  take(tokens: number, reading: ClockReading): BorrowedCharge[] {
    const charges: BorrowedCharge[] = [];
    let missingTokens = tokens;
    while (missingTokens > 0 && this.grants.length > 0) {
      const grant = this.grants[0]!;
      const canUse = isUsable(grant, reading);
      const taken = canUse ? Math.min(grant.tokens, missingTokens) : 0;
      grant.tokens -= taken;
      missingTokens -= taken;
      if (taken > 0) charges.push({grant, tokens: taken});
      if (!canUse || grant.tokens <= 0) this.grants.shift();
    }
    return charges;
  }

  /** Removes and returns the grants that expire no later than `time`. */
  removeExpiring(time: number): BorrowedGrant[] {
    if (this.grants.length === 0) return [];
    const removed = this.grants.filter(grant => grant.expiresAt <= time);
    this.grants = this.grants.filter(grant => grant.expiresAt > time);
    return removed;
  }
}

function isUsable(grant: BorrowedGrant, reading: ClockReading): boolean {
  return grant.expiresAt > reading.now && grant.wallExpiresAt > reading.wallNow;
}
