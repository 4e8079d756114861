/**
 * Decides whether a witness can vote on a key after a restart. A restart erases
 * the grants held in memory, so the witness first reads them from co-witnesses.
 */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import {witnessAbstentionMilliseconds} from './claim-timing.js';
import type {MembershipView, WitnessSets} from './witness-placement.js';
import {majoritySize} from './witness-placement.js';

/** State of a co-witness at the time when its claims were read. */
export interface CoWitnessState {
  /** True when it voted on every key. */
  readonly isComplete: boolean;
  /** Complete witnesses whose claims it had read since its own start. */
  readonly readMembers: ReadonlySet<HostId>;
}

export class WitnessParticipation {
  private readonly startedAt: number;
  private readonly readWitnesses = new Map<HostId, CoWitnessState>();

  constructor(
    private readonly clock: Clock,
    private readonly host: HostId,
    private readonly view: () => MembershipView | undefined,
  ) {
    this.startedAt = clock.now();
  }

  /** True while grants of the previous incarnation can still be counted. */
  get isAbstaining(): boolean {
    return this.uptimeMilliseconds < witnessAbstentionMilliseconds;
  }

  /** True when the witness votes on every key. */
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
          this.readWitnesses.get(member.host as HostId)?.isComplete === true,
      )
    );
  }

  /** Complete witnesses whose claims were read since the start. */
  get readMembers(): HostId[] {
    return [...this.readWitnesses]
      .filter(([, coWitness]) => coWitness.isComplete)
      .map(([host]) => host);
  }

  /** Time until the witness votes on every key without reading other witnesses. */
  get remainingRetentionMilliseconds(): number {
    const retention = this.view()?.retentionMilliseconds ?? 0;
    return Math.max(0, retention - this.uptimeMilliseconds);
  }

  /** Records that all claims shared with `host` were read. */
  recordRead(host: HostId, coWitness: CoWitnessState): void {
    this.readWitnesses.set(host, coWitness);
  }

  /**
   * True when the witness can vote on a key with these witness sets. In each set
   * that contains it, it must have read enough others that every majority that
   * counted one of its earlier grants includes at least one of them.
   */
  canVote(sets: WitnessSets): boolean {
    if (this.isAbstaining) return false;
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
    const coWitness = this.readWitnesses.get(host);
    if (coWitness === undefined) return false;
    if (coWitness.isComplete) return true;
    const hostPeers = set.filter(other => other !== host);
    const peersRead = hostPeers.filter(other =>
      coWitness.readMembers.has(other),
    );
    return peersRead.length >= requiredReads(set);
  }

  private get uptimeMilliseconds(): number {
    return this.clock.now() - this.startedAt;
  }
}

/**
 * Number of other witnesses to read. Of the 2f others in a set, f belong to any
 * majority that counted this witness, so f + 1 of them include one of these f.
 */
function requiredReads(set: readonly HostId[]): number {
  return majoritySize(set.length);
}
