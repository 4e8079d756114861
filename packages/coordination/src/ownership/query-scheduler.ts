/** Distributes owner queries over sweeps to limit the number in each sweep. */

import type {RequestOwner} from '../upstreams/engine.js';
import {ownerKey} from './owner-silence.js';
import {routineQueriesPerSweep} from './ownership-timing.js';

export class QueryScheduler {
  /** Number of the sweep in which each owner was last queried. */
  private lastAsked = new Map<string, number>();
  private sweepNumber = 0;

  /** Chooses all urgent owners and the others that were queried least recently. */
  choose(
    owners: readonly RequestOwner[],
    isUrgent: (owner: RequestOwner) => boolean,
  ): RequestOwner[] {
    this.sweepNumber += 1;
    const askedIn = (owner: RequestOwner) =>
      this.lastAsked.get(ownerKey(owner)) ?? 0;
    const urgent = owners.filter(isUrgent);
    const routine = owners
      .filter(owner => !isUrgent(owner))
      .sort((left, right) => askedIn(left) - askedIn(right))
      .slice(0, routineQueriesPerSweep);
    const chosen = [...urgent, ...routine];
    const chosenKeys = new Set(chosen.map(ownerKey));
    this.lastAsked = new Map(
      owners.map(owner => [
        ownerKey(owner),
        chosenKeys.has(ownerKey(owner)) ? this.sweepNumber : askedIn(owner),
      ]),
    );
    return chosen;
  }
}
