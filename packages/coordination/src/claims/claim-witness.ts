/**
 * Witness of claims: grants each key to the first attempt that requests it, and
 * keeps the claim until its outcome has been stored for the retention time.
 */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimList,
  ClaimOwner,
  ClaimPage,
  ClaimRefused_Code,
  ClaimReply,
  ClaimRequest,
  ClaimTake,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimRefused_Code as RefusedCode} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import type {PeerHandler, PeerIdentity} from '../peers/transport.js';
import type {Claim} from './claim-table.js';
import {ClaimTable, isSameAttempt} from './claim-table.js';
import type {WitnessLimits} from './claim-timing.js';
import {defaultClaimRetentionMilliseconds} from './claim-timing.js';
import {defaultWitnessLimits} from './claim-timing.js';
import type {MembershipViewCache} from './witness-placement.js';
import {chooseWitnesses, witnessHosts} from './witness-placement.js';
import type {WitnessParticipation} from './witness-participation.js';

const maximumPageClaims = 256;
const maximumPageBodyBytes = 256 * 1024;

export interface ClaimWitnessParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly membershipViews: MembershipViewCache;
  readonly participation: WitnessParticipation;
  readonly limits?: WitnessLimits;
}

export class ClaimWitness implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly table: ClaimTable;

  constructor(private readonly parts: ClaimWitnessParts) {
    const {clock, membershipViews, limits = defaultWitnessLimits} = parts;
    this.table = new ClaimTable(
      clock,
      limits,
      () =>
        membershipViews.current()?.retentionMilliseconds ??
        defaultClaimRetentionMilliseconds,
    );
  }

  /** Number of stored claims, for metrics. */
  get claimCount(): number {
    return this.table.size;
  }

  handle(request: ClaimRequest, from: PeerIdentity): ClaimReply {
    const {action, key, owner} = request;
    if (action?.$case === 'list')
      return this.handleList(action.value, from.host);
    if (action === undefined || key === undefined || owner === undefined)
      return refusedReply(RefusedCode.CODE_INVALID);
    if (owner.host !== from.host || owner.incarnation !== from.incarnation)
      return refusedReply(RefusedCode.CODE_INVALID);
    switch (action.$case) {
      case 'take':
        return this.handleTake(key, owner, action.value);
      case 'abandon':
        this.table.abandon(key, owner);
        return acceptedReply;
      case 'record': {
        const {outcome} = action.value;
        if (outcome === undefined)
          return refusedReply(RefusedCode.CODE_INVALID);
        if (this.table.isFull && this.table.find(key) === undefined)
          return refusedReply(RefusedCode.CODE_FULL);
        this.table.record(key, owner, outcome);
        return acceptedReply;
      }
      case 'ownerQuery':
        return refusedReply(RefusedCode.CODE_INVALID);
    }
  }

  /** Merges the state of a claim reported by a co-witness. */
  mergeClaim(key: ClaimKey, claim: Omit<Claim, 'key' | 'sequence'>): void {
    const [first] = claim.owners;
    if (first === undefined) return;
    if (claim.outcome !== undefined) {
      this.table.record(key, first, claim.outcome);
      return;
    }
    if (this.table.find(key)?.outcome !== undefined) return;
    for (const owner of claim.owners)
      if (!this.table.isAbandoned(owner)) this.table.addOwner(key, owner);
  }

  private handleTake(
    key: ClaimKey,
    owner: ClaimOwner,
    take: ClaimTake,
  ): ClaimReply {
    const {membershipViews, participation, self} = this.parts;
    const claim = this.table.find(key);
    if (claim?.outcome !== undefined) return heldReply(claim, key);
    if (this.table.isAbandoned(owner))
      return refusedReply(RefusedCode.CODE_ABANDONED);
    const view = membershipViews.current();
    if (view === undefined || view.digest !== take.listsDigest)
      return refusedReply(RefusedCode.CODE_LISTS_DIFFER);
    const sets = chooseWitnesses(view, key);
    if (!witnessHosts(sets).includes(self.host))
      return refusedReply(RefusedCode.CODE_LISTS_DIFFER);
    if (!participation.canVote(sets))
      return abstainedReply(participation.remainingRetentionMilliseconds);
    return this.vote(claim, key, owner);
  }

  private vote(
    claim: Claim | undefined,
    key: ClaimKey,
    owner: ClaimOwner,
  ): ClaimReply {
    if (claim === undefined) {
      if (this.table.isFull) return refusedReply(RefusedCode.CODE_FULL);
      this.table.addOwner(key, owner);
      return grantedReply;
    }
    const isOnlyOwner = claim.owners.every(existing =>
      isSameAttempt(existing, owner),
    );
    return isOnlyOwner ? grantedReply : heldReply(claim, key);
  }

  private handleList(list: ClaimList, reader: HostId): ClaimReply {
    const {participation} = this.parts;
    if (participation.hasCountableOldGrants)
      return abstainedReply(participation.remainingRetentionMilliseconds);
    const page: ClaimPage = {
      claims: [],
      nextSequence: 0n,
      complete: participation.isComplete,
      readMembers: participation.readMembers,
    };
    let lastSequence = 0n;
    let bodyBytes = 0;
    for (const claim of this.table.claimsAfter(list.afterSequence)) {
      if (
        page.claims.length >= maximumPageClaims ||
        bodyBytes > maximumPageBodyBytes
      ) {
        page.nextSequence = lastSequence;
        break;
      }
      lastSequence = claim.sequence;
      if (!this.isRelevantTo(claim.key, reader, list.listsDigest)) continue;
      bodyBytes += claim.outcome?.body.length ?? 0;
      const {key, owners, outcome} = claim;
      page.claims.push({key, owners: [...owners], outcome});
    }
    return {result: {$case: 'page', value: page}};
  }

  /**
   * True when `reader` witnesses `key`. True for every key when the reader uses
   * other member lists.
   */
  private isRelevantTo(
    key: ClaimKey,
    reader: HostId,
    readerDigest: bigint,
  ): boolean {
    const view = this.parts.membershipViews.current();
    if (view === undefined || view.digest !== readerDigest) return true;
    return witnessHosts(chooseWitnesses(view, key)).includes(reader);
  }
}

const grantedReply: ClaimReply = {result: {$case: 'granted', value: {}}};
const acceptedReply: ClaimReply = {result: {$case: 'accepted', value: {}}};

function refusedReply(code: ClaimRefused_Code): ClaimReply {
  return {result: {$case: 'refused', value: {code}}};
}

function abstainedReply(milliseconds: number): ClaimReply {
  const retryAfterMilliseconds = Math.ceil(milliseconds);
  return {result: {$case: 'abstained', value: {retryAfterMilliseconds}}};
}

/**
 * Reports the owners of a claim. Includes the outcome only if the fingerprint of
 * the request matches.
 */
function heldReply(claim: Claim, key: ClaimKey): ClaimReply {
  const fingerprintDiffers = claim.key.fingerprint !== key.fingerprint;
  const value = {
    owners: [...claim.owners],
    outcome: fingerprintDiffers ? undefined : claim.outcome,
    fingerprintDiffers,
  };
  return {result: {$case: 'held', value}};
}
