/** Claims and tombstones of one witness, in bounded memory. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOutcome,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import type {WitnessLimits} from './claim-timing.js';
import {maximumOutcomeBodyBytes} from './claim-timing.js';
import type {ClaimId} from './witness-placement.js';
import {serializeClaimId} from './witness-placement.js';

/** State of one key at a witness. */
export interface Claim {
  readonly key: ClaimKey;
  /** Increases with every new claim; used for paging. */
  readonly sequence: bigint;
  /**
   * Attempts that may hold the claim; more than one only after a recovery. With an
   * outcome, the attempt that recorded it.
   */
  readonly owners: readonly ClaimOwner[];
  readonly outcome: ClaimOutcome | undefined;
}

/** True when both identify the same attempt. */
export function isSameAttempt(left: ClaimOwner, right: ClaimOwner): boolean {
  return (
    left.attempt === right.attempt &&
    left.host === right.host &&
    left.incarnation === right.incarnation
  );
}

export class ClaimTable {
  private readonly claims = new Map<string, Claim>();
  /** Expiry time of each claim with an outcome, by serialized id. */
  private readonly outcomeExpiries = new Map<string, number>();
  /** Expiry time of each abandoned attempt; later takes of it are refused. */
  private readonly tombstones = new Map<string, number>();
  private lastSequence = 0n;
  private bodyBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: WitnessLimits,
    private readonly retentionMilliseconds: () => number,
  ) {}

  get size(): number {
    return this.claims.size;
  }

  get isFull(): boolean {
    return this.claims.size >= this.limits.maximumClaims;
  }

  find(id: ClaimId): Claim | undefined {
    this.removeExpired();
    return this.claims.get(serializeClaimId(id));
  }

  isAbandoned(owner: ClaimOwner): boolean {
    return this.tombstones.has(tombstoneKey(owner));
  }

  /** Claims after `sequence`, oldest first. */
  *claimsAfter(sequence: bigint): Iterable<Claim> {
    this.removeExpired();
    for (const claim of this.claims.values())
      if (claim.sequence > sequence) yield claim;
  }

  /** Adds `owner` to the attempts that may hold the claim. */
  addOwner(key: ClaimKey, owner: ClaimOwner): void {
    const claim = this.find(key);
    if (claim === undefined)
      this.store({
        key,
        sequence: (this.lastSequence += 1n),
        owners: [owner],
        outcome: undefined,
      });
    else if (!claim.owners.some(existing => isSameAttempt(existing, owner)))
      this.store({...claim, owners: [...claim.owners, owner]});
  }

  /** Releases the claim of `owner` and refuses its later takes. */
  abandon(id: ClaimId, owner: ClaimOwner): void {
    this.tombstones.set(
      tombstoneKey(owner),
      this.clock.now() + this.retentionMilliseconds(),
    );
    dropOldest(this.tombstones, this.limits.maximumTombstones);
    const claim = this.find(id);
    if (claim === undefined || claim.outcome !== undefined) return;
    const owners = claim.owners.filter(
      existing => !isSameAttempt(existing, owner),
    );
    if (owners.length > 0) this.store({...claim, owners});
    else this.claims.delete(serializeClaimId(id));
  }

  /** Stores the outcome of `owner`, which settles the claim. */
  record(key: ClaimKey, owner: ClaimOwner, outcome: ClaimOutcome): void {
    const existing = this.find(key);
    if (existing?.outcome !== undefined) return;
    const stored = this.limitBody(outcome);
    this.bodyBytes += stored.body.length;
    const sequence = existing?.sequence ?? (this.lastSequence += 1n);
    this.store({key, sequence, owners: [owner], outcome: stored});
    this.outcomeExpiries.set(
      serializeClaimId(key),
      this.clock.now() + this.retentionMilliseconds(),
    );
  }

  /** Omits the body when it exceeds a size limit. */
  private limitBody(outcome: ClaimOutcome): ClaimOutcome {
    const size = outcome.body.length;
    const fits =
      size <= maximumOutcomeBodyBytes &&
      this.bodyBytes + size <= this.limits.maximumBodyBytes;
    if (fits) return outcome;
    return {...outcome, body: new Uint8Array(), bodyOmitted: true};
  }

  private store(claim: Claim): void {
    this.claims.set(serializeClaimId(claim.key), claim);
  }

  private removeExpired(): void {
    const now = this.clock.now();
    for (const [id, expiresAt] of this.outcomeExpiries) {
      if (expiresAt > now) break;
      this.bodyBytes -= this.claims.get(id)?.outcome?.body.length ?? 0;
      this.claims.delete(id);
      this.outcomeExpiries.delete(id);
    }
    for (const [id, expiresAt] of this.tombstones) {
      if (expiresAt > now) break;
      this.tombstones.delete(id);
    }
  }
}

function tombstoneKey(owner: ClaimOwner): string {
  return JSON.stringify([owner.host, owner.incarnation, owner.attempt]);
}

function dropOldest(entries: Map<string, number>, maximumSize: number): void {
  for (const id of entries.keys()) {
    if (entries.size <= maximumSize) return;
    entries.delete(id);
  }
}
