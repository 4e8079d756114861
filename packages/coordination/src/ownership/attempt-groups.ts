/** What engines hold, by owner. */

import type {
  Engine,
  RequestOwner,
  RunningAttempt,
} from '../upstreams/engine.js';
import {nameOf} from './owner-silence.js';

/** What the sweep needs of an engine. */
export type SweptEngine = Pick<Engine, 'id' | 'running' | 'cancel'>;

/** An attempt and the engine that lists it. */
export interface FoundAttempt {
  readonly engine: SweptEngine;
  readonly attempt: RunningAttempt;
}

/** All that one owner holds. */
export interface Holding {
  readonly owner: RequestOwner;
  readonly found: FoundAttempt[];
}

/** Groups what was found by the process that owns it. */
export function groupByOwner(found: readonly FoundAttempt[]): Holding[] {
  const holdings = new Map<string, Holding>();
  for (const each of found) {
    const {owner} = each.attempt;
    const holding = holdings.get(nameOf(owner)) ?? {owner, found: []};
    holding.found.push(each);
    holdings.set(nameOf(owner), holding);
  }
  return [...holdings.values()];
}
