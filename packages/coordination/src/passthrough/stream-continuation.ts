/**
 * Decides what may continue a stream that a caller takes up. Load pattern: after
 * an engine or a host fails, all its callers come back at once, each to any host.
 */

import type {PoolDocument} from '../generated/documents.js';
import type {PassthroughRoute} from './route-table.js';
import type {OriginSource, StreamOrigin} from './stream-origins.js';

/** Why a stream can't be continued. */
export type ContinuationRefusal =
  /** No host knows what began it. */
  | 'unknown-origin'
  /** The route no longer leads to the pool that began it. */
  | 'pool-gone'
  /** No upstream of the pool has the version that began it. */
  | 'version-gone'
  /** Neither an engine nor the list tells which version would answer. */
  | 'version-unverified'
  /** The call states no token counts, without which no engine is chosen. */
  | 'no-generation';

/** The only version of a pool that can have begun a stream. */
export interface SoleOrigin {
  readonly origin: StreamOrigin;
  readonly source: OriginSource | 'sole-version';
}

export type ContinuationDecision =
  | {
      readonly kind: 'continue';
      readonly pool: PoolDocument;
      readonly softwareVersion: string;
      readonly source: SoleOrigin['source'];
    }
  | {readonly kind: 'refuse'; readonly reason: ContinuationRefusal};

/**
 * `versionsOf` returns the versions of the decode engines of a pool that take new
 * calls; an empty one stands for an upstream that publishes none.
 */
export function decideContinuation(
  route: PassthroughRoute,
  known: SoleOrigin | undefined,
  versionsOf: (pool: PoolDocument) => ReadonlySet<string>,
): ContinuationDecision {
  if (known === undefined) return {kind: 'refuse', reason: 'unknown-origin'};
  const {origin, source} = known;
  const pool = route.pools.find(each => each.pool.name === origin.pool)?.pool;
  if (pool === undefined) return {kind: 'refuse', reason: 'pool-gone'};
  const {softwareVersion} = origin;
  return isServed(softwareVersion, versionsOf(pool))
    ? {kind: 'continue', pool, softwareVersion, source}
    : {kind: 'refuse', reason: 'version-gone'};
}

/** Returns whether upstreams with `versions` can continue a stream. */
export function isServed(
  softwareVersion: string,
  versions: ReadonlySet<string>,
): boolean {
  if (!versions.has(softwareVersion)) return false;
  // Without a version, two upstreams are the same only if none has one.
  return softwareVersion !== '' || versions.size === 1;
}
