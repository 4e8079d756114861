/** What the handling of passed-through calls works with. */

import type {Clock} from '../clock.js';
import type {PoolDocument} from '../generated/documents.js';
import type {FailureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {CallObserver} from './call-events.js';
import type {PassthroughTransport} from './call.js';
import type {PoolRetryBudget} from './pool-retry-budget.js';
import type {PassthroughRoute} from './route-table.js';
import type {UpstreamTable} from './upstream-table.js';

export interface PassthroughParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: FailureDomainId;
  readonly transport: PassthroughTransport;
  readonly upstreams: UpstreamTable;
  readonly retryBudget: PoolRetryBudget;
  readonly observer: CallObserver;
  /** Called when memory of an engine was taken or freed. */
  readonly onLoadChanged?: () => void;
}

/** One pool of the route, drawn by weight; undefined when it has none. */
export function drawPool(
  route: PassthroughRoute,
  random: RandomSource,
): PoolDocument | undefined {
  const total = route.pools.reduce((sum, {weight}) => sum + weight, 0);
  let drawn = random.next() * total;
  for (const {pool, weight} of route.pools) {
    drawn -= weight;
    if (drawn < 0) return pool;
  }
  return route.pools.at(-1)?.pool;
}
