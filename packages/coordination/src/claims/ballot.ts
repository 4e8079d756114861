/** Counts the votes of the witnesses on one attempt. */

import type {
  ClaimOutcome,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {isSameAttempt} from './claim-table.js';
import type {WitnessSets} from './witness-placement.js';
import {majoritySize} from './witness-placement.js';

/** Answer of one witness to a take. */
export type Vote =
  | {readonly kind: 'granted'}
  | {readonly kind: 'held'; readonly owners: readonly ClaimOwner[]}
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'fingerprint-differs'}
  | {readonly kind: 'abstained'}
  | {readonly kind: 'full'}
  | {readonly kind: 'none'};

/** What the votes so far decide. */
export type BallotResult =
  | {readonly kind: 'open'}
  | {readonly kind: 'won'}
  | {readonly kind: 'lost'}
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'fingerprint-differs'};

export class Ballot {
  private readonly votes = new Map<HostId, Vote>();

  constructor(private readonly sets: WitnessSets) {}

  add(host: HostId, vote: Vote): void {
    this.votes.set(host, vote);
  }

  result(): BallotResult {
    for (const vote of this.votes.values())
      if (vote.kind === 'settled' || vote.kind === 'fingerprint-differs')
        return vote;
    if (this.sets.every(set => this.hasMajority(set, this.granted)))
      return {kind: 'won'};
    const isOpen = this.sets.every(set =>
      this.hasMajority(
        set,
        host => this.granted(host) || !this.votes.has(host),
      ),
    );
    return {kind: isOpen ? 'open' : 'lost'};
  }

  /** Other attempts that may have a majority, as far as the votes tell. */
  contenders(): ClaimOwner[] {
    const owners: ClaimOwner[] = [];
    for (const vote of this.votes.values())
      if (vote.kind === 'held')
        for (const owner of vote.owners)
          if (!owners.some(known => isSameAttempt(known, owner)))
            owners.push(owner);
    return owners.filter(owner =>
      this.sets.some(set =>
        this.hasMajority(set, host => this.mayHold(host, owner)),
      ),
    );
  }

  /** True when some witness holds the claim for another attempt. */
  isContested(): boolean {
    return [...this.votes.values()].some(vote => vote.kind === 'held');
  }

  /** True when a witness refused for want of memory. */
  isOverloaded(): boolean {
    return [...this.votes.values()].some(vote => vote.kind === 'full');
  }

  private readonly granted = (host: HostId): boolean =>
    this.votes.get(host)?.kind === 'granted';

  private mayHold(host: HostId, owner: ClaimOwner): boolean {
    const vote = this.votes.get(host) ?? {kind: 'none'};
    switch (vote.kind) {
      case 'held':
        return vote.owners.some(known => isSameAttempt(known, owner));
      case 'granted':
      case 'full':
        return false;
      case 'settled':
      case 'fingerprint-differs':
      case 'abstained':
      case 'none':
        return true;
    }
  }

  private hasMajority(
    set: readonly HostId[],
    isCounted: (host: HostId) => boolean,
  ): boolean {
    return set.filter(isCounted).length >= majoritySize(set.length);
  }
}
