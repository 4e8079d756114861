/** Counts the votes of the witnesses for one attempt. */

import type {
  ClaimOutcome,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {isSameAttempt} from './claim-table.js';
import type {WitnessSets} from './witness-placement.js';
import {majoritySize} from './witness-placement.js';

/** Result of a `take` message to one witness. */
export type Vote =
  | {readonly kind: 'granted'}
  | {readonly kind: 'held'; readonly owners: readonly ClaimOwner[]}
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'fingerprint-differs'}
  | {readonly kind: 'abstained'}
  | {readonly kind: 'full'}
  /** No reply, or a refusal that reveals nothing about the claim. */
  | {readonly kind: 'no-vote'};

/** Result of the votes received so far. */
export type TallyResult =
  | {readonly kind: 'undecided'}
  | {readonly kind: 'won'}
  | {readonly kind: 'lost'}
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'fingerprint-differs'};

export class VoteTally {
  private readonly votes = new Map<HostId, Vote>();

  constructor(private readonly sets: WitnessSets) {}

  add(host: HostId, vote: Vote): void {
    this.votes.set(host, vote);
  }

  result(): TallyResult {
    for (const vote of this.votes.values())
      if (vote.kind === 'settled' || vote.kind === 'fingerprint-differs')
        return vote;
    if (this.sets.every(set => this.hasMajority(set, this.hasGranted)))
      return {kind: 'won'};
    const isUndecided = this.sets.every(set =>
      this.hasMajority(
        set,
        host => this.hasGranted(host) || !this.votes.has(host),
      ),
    );
    return {kind: isUndecided ? 'undecided' : 'lost'};
  }

  /** Other attempts that may have a majority according to the votes received. */
  possibleOwners(): ClaimOwner[] {
    const owners: ClaimOwner[] = [];
    for (const vote of this.votes.values())
      if (vote.kind === 'held')
        for (const owner of vote.owners)
          if (!owners.some(existing => isSameAttempt(existing, owner)))
            owners.push(owner);
    return owners.filter(owner =>
      this.sets.some(set =>
        this.hasMajority(set, host => this.couldHaveGranted(host, owner)),
      ),
    );
  }

  /** True when at least one witness holds the claim for another attempt. */
  isContested(): boolean {
    return [...this.votes.values()].some(vote => vote.kind === 'held');
  }

  /** True when at least one witness refused because its claim table is full. */
  hasFullWitness(): boolean {
    return [...this.votes.values()].some(vote => vote.kind === 'full');
  }

  private readonly hasGranted = (host: HostId): boolean =>
    this.votes.get(host)?.kind === 'granted';

  /** True when the vote of `host` does not exclude a grant to `owner`. */
  private couldHaveGranted(host: HostId, owner: ClaimOwner): boolean {
    const vote = this.votes.get(host) ?? {kind: 'no-vote'};
    switch (vote.kind) {
      case 'held':
        return vote.owners.some(existing => isSameAttempt(existing, owner));
      case 'granted':
      case 'full':
        return false;
      case 'settled':
      case 'fingerprint-differs':
      case 'abstained':
      case 'no-vote':
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
