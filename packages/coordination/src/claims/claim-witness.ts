/**
 * One witness of claims: grants each key to the first attempt that asks, and
 * remembers it until the key's outcome has been kept for the retention time.
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
import type {WitnessBounds} from './claim-timing.js';
import {defaultClaimRetentionMilliseconds} from './claim-timing.js';
import {defaultWitnessBounds} from './claim-timing.js';
import type {WitnessDirectory} from './witness-placement.js';
import {chooseWitnesses, witnessHosts} from './witness-placement.js';
import type {WitnessParticipation} from './witness-participation.js';

const pageClaims = 256;
const pageBodyBytes = 256 * 1024;

export interface ClaimWitnessParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly directory: WitnessDirectory;
  readonly participation: WitnessParticipation;
  readonly bounds?: WitnessBounds;
}

export class ClaimWitness implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly table: ClaimTable;

  constructor(private readonly parts: ClaimWitnessParts) {
    const {clock, directory, bounds = defaultWitnessBounds} = parts;
    this.table = new ClaimTable(
      clock,
      bounds,
      () =>
        directory.current()?.retentionMilliseconds ??
        defaultClaimRetentionMilliseconds,
    );
  }

  /** Claims that are remembered, for metrics. */
  get size(): number {
    return this.table.size;
  }

  handle(request: ClaimRequest, from: PeerIdentity): ClaimReply {
    const {action, key, owner} = request;
    if (action?.$case === 'list') return this.list(action.value, from.host);
    if (action === undefined || key === undefined || owner === undefined)
      return refused(RefusedCode.CODE_INVALID);
    if (owner.host !== from.host || owner.incarnation !== from.incarnation)
      return refused(RefusedCode.CODE_INVALID);
    switch (action.$case) {
      case 'take':
        return this.take(key, owner, action.value);
      case 'abandon':
        this.table.abandon(key, owner);
        return accepted;
      case 'record': {
        const {outcome} = action.value;
        if (outcome === undefined) return refused(RefusedCode.CODE_INVALID);
        if (this.table.isFull && this.table.find(key) === undefined)
          return refused(RefusedCode.CODE_FULL);
        this.table.record(key, owner, outcome);
        return accepted;
      }
      case 'ownerQuery':
        return refused(RefusedCode.CODE_INVALID);
    }
  }

  /** Adds what a co-witness remembers of a claim. */
  adopt(key: ClaimKey, claim: Omit<Claim, 'key' | 'sequence'>): void {
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

  private take(key: ClaimKey, owner: ClaimOwner, take: ClaimTake): ClaimReply {
    const {directory, participation, self} = this.parts;
    const claim = this.table.find(key);
    if (claim?.outcome !== undefined) return held(claim, key);
    if (this.table.isAbandoned(owner))
      return refused(RefusedCode.CODE_ABANDONED);
    const view = directory.current();
    if (view === undefined || view.digest !== take.listsDigest)
      return refused(RefusedCode.CODE_LISTS_DIFFER);
    const sets = chooseWitnesses(view, key);
    if (!witnessHosts(sets).includes(self.host))
      return refused(RefusedCode.CODE_LISTS_DIFFER);
    if (!participation.mayVote(sets))
      return abstained(participation.remainingMilliseconds);
    return this.vote(claim, key, owner);
  }

  private vote(
    claim: Claim | undefined,
    key: ClaimKey,
    owner: ClaimOwner,
  ): ClaimReply {
    if (claim === undefined) {
      if (this.table.isFull) return refused(RefusedCode.CODE_FULL);
      this.table.addOwner(key, owner);
      return granted;
    }
    const isOnlyOwner = claim.owners.every(known =>
      isSameAttempt(known, owner),
    );
    return isOnlyOwner ? granted : held(claim, key);
  }

  private list(list: ClaimList, reader: HostId): ClaimReply {
    const {participation} = this.parts;
    if (participation.isAbstaining)
      return abstained(participation.remainingMilliseconds);
    const page: ClaimPage = {
      claims: [],
      nextSequence: 0n,
      complete: participation.isComplete,
      readMembers: participation.readMembers,
    };
    let last = 0n;
    let bodyBytes = 0;
    for (const claim of this.table.after(list.afterSequence)) {
      if (page.claims.length >= pageClaims || bodyBytes > pageBodyBytes) {
        page.nextSequence = last;
        break;
      }
      last = claim.sequence;
      if (!this.isShared(claim.key, reader, list.listsDigest)) continue;
      bodyBytes += claim.outcome?.body.length ?? 0;
      const {key, owners, outcome} = claim;
      page.claims.push({key, owners: [...owners], outcome});
    }
    return {result: {$case: 'page', value: page}};
  }

  private isShared(
    key: ClaimKey,
    reader: HostId,
    readerDigest: bigint,
  ): boolean {
    const view = this.parts.directory.current();
    if (view === undefined || view.digest !== readerDigest) return true;
    return witnessHosts(chooseWitnesses(view, key)).includes(reader);
  }
}

const granted: ClaimReply = {result: {$case: 'granted', value: {}}};
const accepted: ClaimReply = {result: {$case: 'accepted', value: {}}};

function refused(code: ClaimRefused_Code): ClaimReply {
  return {result: {$case: 'refused', value: {code}}};
}

function abstained(milliseconds: number): ClaimReply {
  const retryAfterMilliseconds = Math.ceil(milliseconds);
  return {result: {$case: 'abstained', value: {retryAfterMilliseconds}}};
}

/** Tells who holds a claim; an outcome goes only to the same request. */
function held(claim: Claim, key: ClaimKey): ClaimReply {
  const fingerprintDiffers = claim.key.fingerprint !== key.fingerprint;
  const value = {
    owners: [...claim.owners],
    outcome: fingerprintDiffers ? undefined : claim.outcome,
    fingerprintDiffers,
  };
  return {result: {$case: 'held', value}};
}
