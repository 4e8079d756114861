/**
 * Whether a witness may vote on a key after its start. A witness that has just
 * started may have forgotten what it granted before.
 */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import {witnessAbstentionMilliseconds} from './claim-timing.js';
import type {MembershipView, WitnessSets} from './witness-placement.js';
import {majoritySize} from './witness-placement.js';

/** What a co-witness knew when its claims were read. */
export interface CoWitness {
  /** It took part for every key. */
  readonly isComplete: boolean;
  /** Complete witnesses whose claims it had read. */
  readonly readMembers: ReadonlySet<HostId>;
}

export class WitnessParticipation {
  private readonly startedAt: number;
  private readonly read = new Map<HostId, CoWitness>();

  constructor(
    private readonly clock: Clock,
    private readonly host: HostId,
    private readonly view: () => MembershipView | undefined,
  ) {
    this.startedAt = clock.now();
  }

  /** True while grants of the previous start may still be counted. */
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
        member => this.read.get(member.host as HostId)?.isComplete === true,
      )
    );
  }

  /** Complete witnesses whose claims were read since the start. */
  get readMembers(): HostId[] {
    return [...this.read]
      .filter(([, coWitness]) => coWitness.isComplete)
      .map(([host]) => host);
  }

  /** Time until the witness votes on all keys without reading any. */
  get remainingMilliseconds(): number {
    const retention = this.view()?.retentionMilliseconds ?? 0;
    return Math.max(0, retention - this.uptimeMilliseconds);
  }

  /** Notes that all claims shared with `host` were read. */
  noteRead(host: HostId, coWitness: CoWitness): void {
    this.read.set(host, coWitness);
  }

  /**
   * True when the witness may vote on a key with these witnesses: in each set
   * that it belongs to, it has read so many others that every majority which
   * counted its earlier grant has one of them.
   */
  mayVote(sets: WitnessSets): boolean {
    if (this.isAbstaining) return false;
    if (this.isComplete) return true;
    return sets
      .filter(set => set.includes(this.host))
      .every(set => this.hasReadEnough(set));
  }

  private hasReadEnough(set: readonly HostId[]): boolean {
    const others = set.filter(host => host !== this.host);
    return (
      others.filter(host => this.isCounted(host, set)).length >= needed(set)
    );
  }

  /** True when `host` took part for the keys of `set` when it was read. */
  private isCounted(host: HostId, set: readonly HostId[]): boolean {
    const coWitness = this.read.get(host);
    if (coWitness === undefined) return false;
    if (coWitness.isComplete) return true;
    const itsOthers = set.filter(other => other !== host);
    const itsRead = itsOthers.filter(other => coWitness.readMembers.has(other));
    return itsRead.length >= needed(set);
  }

  private get uptimeMilliseconds(): number {
    return this.clock.now() - this.startedAt;
  }
}

/**
 * Others to be read: of the 2f others, f belong to any majority that counted
 * this witness, so f + 1 of them meet it.
 */
function needed(set: readonly HostId[]): number {
  return majoritySize(set.length);
}
