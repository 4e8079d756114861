/** Witness of leases, which keeps them in memory only. */

import {chooseWitnesses, witnessHosts} from '../claims/witness-placement.js';
import type {MembershipViewCache} from '../claims/witness-placement.js';
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
const refusalRetryMilliseconds = 1000;

interface WitnessedLease {
  readonly holder: PeerIdentity;
  readonly expiresAt: number;
  readonly fencingToken: bigint;
}

export interface LeaseWitnessParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly membershipViews: MembershipViewCache;
}

export class LeaseWitness implements PeerHandler<LeaseRequest, LeaseReply> {
  private readonly leases = new Map<string, WitnessedLease>();
  private readonly startedAt: number;

  constructor(private readonly parts: LeaseWitnessParts) {
    this.startedAt = parts.clock.now();
  }

  handle(request: LeaseRequest, from: PeerIdentity): LeaseReply {
    const now = this.parts.clock.now();
    const recordedLease = this.leases.get(request.resource);
    const highestToken = recordedLease?.fencingToken ?? 0n;
    const isSenderNamedHolder =
      request.holderHost === from.host &&
      request.holderIncarnation === from.incarnation;
    if (!isSenderNamedHolder || !this.isAcceptableRequest(request))
      return notGranted(highestToken, refusalRetryMilliseconds);
    if (request.release) return this.release(request, from, recordedLease);
    const abstainsUntil = this.startedAt + leaseAbstentionMilliseconds;
    if (now < abstainsUntil)
      return notGranted(highestToken, abstainsUntil - now);
    const isHolder =
      recordedLease !== undefined &&
      isSameIncarnation(recordedLease.holder, from);
    if (
      recordedLease !== undefined &&
      !isHolder &&
      now < recordedLease.expiresAt
    )
      return notGranted(highestToken, recordedLease.expiresAt - now);
    const proposedToken = request.proposedFencingNumber;
    const isRenewal = isHolder && proposedToken === highestToken;
    // A retry with a higher token may succeed at once.
    if (proposedToken <= highestToken && !isRenewal)
      return notGranted(highestToken, 0);
    if (recordedLease === undefined && this.leases.size >= maximumResources)
      return notGranted(highestToken, refusalRetryMilliseconds);
    const expiresAt = now + leaseDurationMilliseconds;
    this.leases.set(request.resource, {
      holder: from,
      expiresAt,
      fencingToken: proposedToken,
    });
    return {
      granted: true,
      highestFencingNumber: proposedToken,
      retryAfterMilliseconds: 0,
    };
  }

  /** Expires the sender's lease and keeps its fencing token. */
  private release(
    request: LeaseRequest,
    from: PeerIdentity,
    recordedLease: WitnessedLease | undefined,
  ): LeaseReply {
    const isHolder =
      recordedLease !== undefined &&
      isSameIncarnation(recordedLease.holder, from);
    if (
      isHolder &&
      recordedLease.fencingToken === request.proposedFencingNumber
    )
      this.leases.set(request.resource, {
        ...recordedLease,
        expiresAt: -Infinity,
      });
    return notGranted(recordedLease?.fencingToken ?? 0n, 0);
  }

  private isAcceptableRequest(request: LeaseRequest): boolean {
    const view = this.parts.membershipViews.current();
    if (view === undefined || view.digest !== request.listsDigest) return false;
    if (request.durationMilliseconds !== leaseDurationMilliseconds)
      return false;
    const sets = chooseWitnesses(view, leaseWitnessKey(request.resource));
    return witnessHosts(sets).includes(this.parts.self.host);
  }
}

/**
 * Key that selects the witnesses of a resource. Leases use the placement of
 * claims.
 */
export function leaseWitnessKey(resource: string) {
  return {account: '', route: 'lease', idempotencyKey: resource};
}

function isSameIncarnation(left: PeerIdentity, right: PeerIdentity): boolean {
  return left.host === right.host && left.incarnation === right.incarnation;
}

function notGranted(
  highestFencingNumber: bigint,
  retryMilliseconds: number,
): LeaseReply {
  const retryAfterMilliseconds = Math.ceil(retryMilliseconds);
  return {granted: false, highestFencingNumber, retryAfterMilliseconds};
}
