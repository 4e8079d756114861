/** Records owners that did not answer queries, and for how long. */

import type {Clock} from '../clock.js';
import type {RequestOwner} from '../upstreams/engine.js';
import {
  minimumFailedQueries,
  ownerSilenceTimeoutMilliseconds,
} from './ownership-timing.js';

interface QueryFailures {
  readonly firstQueriedAt: number;
  count: number;
}

export class OwnerSilenceTracker {
  private readonly failuresByOwner = new Map<string, QueryFailures>();

  constructor(private readonly clock: Clock) {}

  /** Records a reply from `owner`. */
  recordReply(owner: RequestOwner): void {
    this.failuresByOwner.delete(ownerKey(owner));
  }

  /** Records a failed query that was sent at `queriedAt`. */
  recordFailedQuery(owner: RequestOwner, queriedAt: number): void {
    const failures = this.failuresByOwner.get(ownerKey(owner));
    if (failures === undefined)
      this.failuresByOwner.set(ownerKey(owner), {
        firstQueriedAt: queriedAt,
        count: 1,
      });
    else failures.count += 1;
  }

  /** True when the last query to `owner` failed. */
  lastQueryFailed(owner: RequestOwner): boolean {
    return this.failuresByOwner.has(ownerKey(owner));
  }

  /** True when the silence timeout and the minimum of failed queries are reached. */
  isSilent(owner: RequestOwner): boolean {
    const failures = this.failuresByOwner.get(ownerKey(owner));
    return (
      failures !== undefined &&
      failures.count >= minimumFailedQueries &&
      this.clock.now() - failures.firstQueriedAt >=
        ownerSilenceTimeoutMilliseconds
    );
  }

  /** Discards all records, after a pause of this host. */
  reset(): void {
    this.failuresByOwner.clear();
  }

  /** Removes the records of all other owners. */
  retainOnly(owners: readonly RequestOwner[]): void {
    const keys = new Set(owners.map(ownerKey));
    for (const key of this.failuresByOwner.keys())
      if (!keys.has(key)) this.failuresByOwner.delete(key);
  }
}

/** Returns the map key of an owner. */
export function ownerKey(owner: RequestOwner): string {
  return `${owner.host} ${owner.incarnation}`;
}
