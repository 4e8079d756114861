/** The grants of other hosts that one account has at this host. */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';

/** One grant, as its borrower sees it. */
export interface BorrowedGrant {
  readonly holder: HostId;
  readonly id: string;
  /** On the borrower's clock, counted from before it asked. */
  readonly expiresAt: number;
  /**
   * The same on the wall clock. A host that was suspended may find its other
   * clock stopped meanwhile, and the grant then looks younger than it is.
   */
  readonly wallExpiresAt: number;
  tokens: number;
  returnCount: number;
}

/** One reading of both clocks of a host. */
export interface Instant {
  readonly now: number;
  readonly wallNow: number;
}

/** Reads both clocks. */
export function readInstant(clock: Clock): Instant {
  return {now: clock.now(), wallNow: clock.wallNow()};
}

/** A part of a grant that a request was charged. */
export interface BorrowedPart {
  readonly grant: BorrowedGrant;
  readonly tokens: number;
}

/** Grants that are not used up, oldest first. */
export class BorrowedTokens {
  private grants: BorrowedGrant[] = [];

  get isEmpty(): boolean {
    return this.grants.length === 0;
  }

  add(grant: BorrowedGrant): void {
    this.grants.push(grant);
  }

  /** Tokens that may be used now. */
  available(at: Instant): number {
    let sum = 0;
    for (const grant of this.grants)
      if (isUsable(grant, at)) sum += grant.tokens;
    return sum;
  }

  /** Takes at most `tokens`, those that expire first. */
  take(tokens: number, at: Instant): BorrowedPart[] {
    const parts: BorrowedPart[] = [];
    let missing = tokens;
    while (missing > 0 && this.grants.length > 0) {
      const grant = this.grants[0]!;
      const usable = isUsable(grant, at);
      const taken = usable ? Math.min(grant.tokens, missing) : 0;
      grant.tokens -= taken;
      missing -= taken;
      if (taken > 0) parts.push({grant, tokens: taken});
      if (!usable || grant.tokens <= 0) this.grants.shift();
    }
    return parts;
  }

  /** Removes and gives the grants that expire before `time`. */
  removeExpiring(time: number): BorrowedGrant[] {
    if (this.grants.length === 0) return [];
    const removed = this.grants.filter(grant => grant.expiresAt <= time);
    this.grants = this.grants.filter(grant => grant.expiresAt > time);
    return removed;
  }
}

function isUsable(grant: BorrowedGrant, at: Instant): boolean {
  return grant.expiresAt > at.now && grant.wallExpiresAt > at.wallNow;
}
