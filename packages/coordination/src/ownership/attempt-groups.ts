/** Groups the attempts listed by engines by owner. */

import type {
  Engine,
  RequestOwner,
  RunningAttempt,
} from '../upstreams/engine.js';
import {ownerKey} from './owner-silence.js';

/** The engine methods that a sweep uses. */
export type SweptEngine = Pick<Engine, 'id' | 'running' | 'cancel'>;

/** An attempt and the engine that lists it. */
export interface ListedAttempt {
  readonly engine: SweptEngine;
  readonly attempt: RunningAttempt;
}

/** All listed attempts of one owner. */
export interface AttemptGroup {
  readonly owner: RequestOwner;
  readonly listed: ListedAttempt[];
}

/** Groups attempts by the process that owns them. */
export function groupByOwner(listed: readonly ListedAttempt[]): AttemptGroup[] {
  const groups = new Map<string, AttemptGroup>();
  for (const attempt of listed) {
    const {owner} = attempt.attempt;
    const group = groups.get(ownerKey(owner)) ?? {owner, listed: []};
    group.listed.push(attempt);
    groups.set(ownerKey(owner), group);
  }
  return [...groups.values()];
}
