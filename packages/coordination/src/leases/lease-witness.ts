/** One witness of leases; keeps them in memory only. */

import {chooseWitnesses, witnessHosts} from '../claims/witness-placement.js';
import type {WitnessDirectory} from '../claims/witness-placement.js';
import type {Clock} from '../clock.js';
import type {
  LeaseReply,
  LeaseRequest,
} from '../generated/messages/persimmonwick/leases.js';
import type {PeerHandler, PeerIdentity} from '../peers/transport.js';
import {
  leaseAbstentionMilliseconds,
  leaseDurationMilliseconds,
} from './lease-timing.js';

const maximumResources = 20_000;
const otherListsRetryMilliseconds = 1000;

interface WitnessedLease {
  readonly holder: PeerIdentity;
  readonly expiresAt: number;
  readonly fencingNumber: bigint;
}

export interface LeaseWitnessParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly directory: WitnessDirectory;
}

export class LeaseWitness implements PeerHandler<LeaseRequest, LeaseReply> {
  private readonly leases = new Map<string, WitnessedLease>();
  private readonly startedAt: number;

  constructor(private readonly parts: LeaseWitnessParts) {
    this.startedAt = parts.clock.now();
  }

  handle(request: LeaseRequest, from: PeerIdentity): LeaseReply {
    const now = this.parts.clock.now();
    const known = this.leases.get(request.resource);
    const highest = known?.fencingNumber ?? 0n;
    const isOwn =
      request.holderHost === from.host &&
      request.holderIncarnation === from.incarnation;
    if (!isOwn || !this.isWitnessOf(request))
      return refusal(highest, otherListsRetryMilliseconds);
    if (request.release) return this.release(request, from, known);
    const abstainsUntil = this.startedAt + leaseAbstentionMilliseconds;
    if (now < abstainsUntil) return refusal(highest, abstainsUntil - now);
    const isHolder = known !== undefined && isSameStart(known.holder, from);
    if (known !== undefined && !isHolder && now < known.expiresAt)
      return refusal(highest, known.expiresAt - now);
    const proposed = request.proposedFencingNumber;
    const isRenewal = isHolder && proposed === highest;
    if (proposed <= highest && !isRenewal) return refusal(highest, 0);
    if (known === undefined && this.leases.size >= maximumResources)
      return refusal(highest, otherListsRetryMilliseconds);
    const expiresAt = now + leaseDurationMilliseconds;
    this.leases.set(request.resource, {
      holder: from,
      expiresAt,
      fencingNumber: proposed,
    });
    return {
      granted: true,
      highestFencingNumber: proposed,
      retryAfterMilliseconds: 0,
    };
  }

  /** Ends the lease of `from` and keeps its number. */
  private release(
    request: LeaseRequest,
    from: PeerIdentity,
    known: WitnessedLease | undefined,
  ): LeaseReply {
    const isHolder = known !== undefined && isSameStart(known.holder, from);
    if (isHolder && known.fencingNumber === request.proposedFencingNumber)
      this.leases.set(request.resource, {...known, expiresAt: -Infinity});
    return refusal(known?.fencingNumber ?? 0n, 0);
  }

  private isWitnessOf(request: LeaseRequest): boolean {
    const view = this.parts.directory.current();
    if (view === undefined || view.digest !== request.listsDigest) return false;
    if (request.durationMilliseconds !== leaseDurationMilliseconds)
      return false;
    const sets = chooseWitnesses(view, leaseName(request.resource));
    return witnessHosts(sets).includes(this.parts.self.host);
  }
}

/** Name by which the witnesses of a resource are chosen. */
export function leaseName(resource: string) {
  return {account: '', route: 'lease', idempotencyKey: resource};
}

function isSameStart(left: PeerIdentity, right: PeerIdentity): boolean {
  return left.host === right.host && left.incarnation === right.incarnation;
}

function refusal(
  highestFencingNumber: bigint,
  milliseconds: number,
): LeaseReply {
  const retryAfterMilliseconds = Math.ceil(milliseconds);
  return {granted: false, highestFencingNumber, retryAfterMilliseconds};
}
