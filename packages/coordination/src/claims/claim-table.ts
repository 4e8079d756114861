/** The claims and tombstones that one witness remembers, in bounded memory. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOutcome,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import type {WitnessBounds} from './claim-timing.js';
import {maximumOutcomeBytes} from './claim-timing.js';
import type {ClaimName} from './witness-placement.js';
import {claimNameText} from './witness-placement.js';

/** What a witness knows of one key. */
export interface Claim {
  readonly key: ClaimKey;
  /** Grows with every new claim, so that a reader can page through them. */
  readonly sequence: bigint;
  readonly owners: readonly ClaimOwner[];
  readonly outcome: ClaimOutcome | undefined;
}

/** True when both name the same attempt. */
export function isSameAttempt(left: ClaimOwner, right: ClaimOwner): boolean {
  return (
    left.attempt === right.attempt &&
    left.host === right.host &&
    left.incarnation === right.incarnation
  );
}

export class ClaimTable {
  private readonly claims = new Map<string, Claim>();
  /** Names of claims with an outcome, by the time at which they expire. */
  private readonly expiries = new Map<string, number>();
  private readonly tombstones = new Map<string, number>();
  private sequence = 0n;
  private bodyBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: WitnessBounds,
    private readonly retentionMilliseconds: () => number,
  ) {}

  get size(): number {
    return this.claims.size;
  }

  get isFull(): boolean {
    return this.claims.size >= this.bounds.maximumClaims;
  }

  find(name: ClaimName): Claim | undefined {
    this.expire();
    return this.claims.get(claimNameText(name));
  }

  isAbandoned(owner: ClaimOwner): boolean {
    return this.tombstones.has(tombstoneName(owner));
  }

  /** Claims after `sequence`, oldest first. */
  *after(sequence: bigint): Iterable<Claim> {
    this.expire();
    for (const claim of this.claims.values())
      if (claim.sequence > sequence) yield claim;
  }

  /** Adds `owner` to those that may hold the claim. */
  addOwner(key: ClaimKey, owner: ClaimOwner): void {
    const claim = this.find(key);
    if (claim === undefined)
      this.put({
        key,
        sequence: (this.sequence += 1n),
        owners: [owner],
        outcome: undefined,
      });
    else if (!claim.owners.some(known => isSameAttempt(known, owner)))
      this.put({...claim, owners: [...claim.owners, owner]});
  }

  /** Frees the claim of `owner` and refuses its later takes. */
  abandon(name: ClaimName, owner: ClaimOwner): void {
    this.tombstones.set(
      tombstoneName(owner),
      this.clock.now() + this.retentionMilliseconds(),
    );
    dropOldest(this.tombstones, this.bounds.maximumTombstones);
    const claim = this.find(name);
    if (claim === undefined || claim.outcome !== undefined) return;
    const owners = claim.owners.filter(known => !isSameAttempt(known, owner));
    if (owners.length > 0) this.put({...claim, owners});
    else this.claims.delete(claimNameText(name));
  }

  /** Keeps the outcome of `owner`, which settles the claim. */
  record(key: ClaimKey, owner: ClaimOwner, outcome: ClaimOutcome): void {
    const known = this.find(key);
    if (known?.outcome !== undefined) return;
    const kept = this.withinBounds(outcome);
    this.bodyBytes += kept.body.length;
    const sequence = known?.sequence ?? (this.sequence += 1n);
    this.put({key, sequence, owners: [owner], outcome: kept});
    this.expiries.set(
      claimNameText(key),
      this.clock.now() + this.retentionMilliseconds(),
    );
  }

  private withinBounds(outcome: ClaimOutcome): ClaimOutcome {
    const size = outcome.body.length;
    const fits =
      size <= maximumOutcomeBytes &&
      this.bodyBytes + size <= this.bounds.maximumBodyBytes;
    if (fits) return outcome;
    return {...outcome, body: new Uint8Array(), bodyOmitted: true};
  }

  private put(claim: Claim): void {
    this.claims.set(claimNameText(claim.key), claim);
  }

  private expire(): void {
    const now = this.clock.now();
    for (const [name, expiresAt] of this.expiries) {
      if (expiresAt > now) break;
      this.bodyBytes -= this.claims.get(name)?.outcome?.body.length ?? 0;
      this.claims.delete(name);
      this.expiries.delete(name);
    }
    for (const [name, expiresAt] of this.tombstones) {
      if (expiresAt > now) break;
      this.tombstones.delete(name);
    }
  }
}

function tombstoneName(owner: ClaimOwner): string {
  return JSON.stringify([owner.host, owner.incarnation, owner.attempt]);
}

function dropOldest(entries: Map<string, number>, bound: number): void {
  for (const name of entries.keys()) {
    if (entries.size <= bound) return;
    entries.delete(name);
  }
}
