/** Spreads questions over sweeps, so that their number stays bounded. */

import type {RequestOwner} from '../upstreams/engine.js';
import {nameOf} from './owner-silence.js';
import {questionsForEachSweep} from './ownership-timing.js';

export class QuestionPlan {
  /** Sweep in which each owner was asked last. */
  private lastAsked = new Map<string, number>();
  private sweep = 0;

  /** Owners to ask now: urgent ones, and those that waited longest. */
  choose(
    owners: readonly RequestOwner[],
    isUrgent: (owner: RequestOwner) => boolean,
  ): RequestOwner[] {
    this.sweep += 1;
    const askedIn = (owner: RequestOwner) =>
      this.lastAsked.get(nameOf(owner)) ?? 0;
    const urgent = owners.filter(isUrgent);
    const quiet = owners
      .filter(owner => !isUrgent(owner))
      .sort((left, right) => askedIn(left) - askedIn(right))
      .slice(0, questionsForEachSweep);
    const chosen = [...urgent, ...quiet];
    const names = new Set(chosen.map(nameOf));
    this.lastAsked = new Map(
      owners.map(owner => [
        nameOf(owner),
        names.has(nameOf(owner)) ? this.sweep : askedIn(owner),
      ]),
    );
    return chosen;
  }
}
