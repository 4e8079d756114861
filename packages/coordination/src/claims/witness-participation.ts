/**
 * Decides whether a witness can vote on a key after a restart. A restart erases
 * the grants held in memory, so the witness first reads them from co-witnesses.
 */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import {oldGrantLifetimeMilliseconds} from './claim-timing.js';
import type {MembershipView, WitnessSets} from './witness-placement.js';
import {majoritySize} from './witness-placement.js';

/** State of a co-witness at the time when its claims were read. */
export interface CoWitnessState {
  /** True when it could vote on every key. */
  readonly isComplete: boolean;
  /** Complete witnesses whose claims it had read since its own start. */
  readonly readMembers: ReadonlySet<HostId>;
}

export class WitnessParticipation {
  private readonly startedAt: number;
  private readonly coWitnessStates = new Map<HostId, CoWitnessState>();

  constructor(
    private readonly clock: Clock,
    private readonly host: HostId,
    private readonly view: () => MembershipView | undefined,
  ) {
    this.startedAt = clock.now();
  }

  /** True while grants of the previous incarnation can still be counted. */
  get hasCountableOldGrants(): boolean {
    return this.uptimeMilliseconds < oldGrantLifetimeMilliseconds;
  }

  /** True when the witness can vote on every key. */
  get isComplete(): boolean {
    const view = this.view();
    if (view === undefined) return false;
    if (this.uptimeMilliseconds >= view.retentionMilliseconds) return true;
    const others = view.lists
      .flat()
      .filter(member => member.host !== this.host);
    return (
      others.length > 0 &&
      others.every(
        member =>
          this.coWitnessStates.get(member.host as HostId)?.isComplete === true,
      )
    );
  }

  /** Complete witnesses whose claims were read since the start. */
  get readMembers(): HostId[] {
    return [...this.coWitnessStates]
      .filter(([, coWitness]) => coWitness.isComplete)
      .map(([host]) => host);
  }

  /** Time until the witness can vote on every key without reading co-witnesses. */
  get remainingRetentionMilliseconds(): number {
    const retention = this.view()?.retentionMilliseconds ?? 0;
    return Math.max(0, retention - this.uptimeMilliseconds);
  }

  /** Records that all claims shared with `host` were read. */
  recordRead(host: HostId, coWitness: CoWitnessState): void {
    this.coWitnessStates.set(host, coWitness);
  }

  /**
   * True when the witness can vote on a key with these witness sets. In each set
   * that contains it, it must have read enough others that every majority that
   * counted one of its earlier grants includes at least one of them.
   */
  canVote(sets: WitnessSets): boolean {
    if (this.hasCountableOldGrants) return false;
    if (this.isComplete) return true;
    return sets
      .filter(set => set.includes(this.host))
      .every(set => this.hasReadEnough(set));
  }

  private hasReadEnough(set: readonly HostId[]): boolean {
    const others = set.filter(host => host !== this.host);
    return (
      others.filter(host => this.couldVoteWhenRead(host, set)).length >=
      requiredReads(set)
    );
  }

  /** True when `host` could vote on the keys of `set` when it was read. */
  private couldVoteWhenRead(host: HostId, set: readonly HostId[]): boolean {
    const coWitness = this.coWitnessStates.get(host);
    if (coWitness === undefined) return false;
    if (coWitness.isComplete) return true;
    const coWitnessesOfHost = set.filter(other => other !== host);
    const coWitnessesRead = coWitnessesOfHost.filter(other =>
      coWitness.readMembers.has(other),
    );
    return coWitnessesRead.length >= requiredReads(set);
  }

  private get uptimeMilliseconds(): number {
    return this.clock.now() - this.startedAt;
  }
}

/**
 * Number of other witnesses to read. In a set of 2f + 1 witnesses, each majority
 * that counted this witness includes at least f of the 2f others, so any f + 1 of
 * the others include at least one member of that majority.
 */
function requiredReads(set: readonly HostId[]): number {
  return majoritySize(set.length);
}
