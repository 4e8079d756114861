/** Selection of the upstreams that accept new work. */

import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import type {Configuration} from './configuration.js';
import {upstreamsOfPool} from './configuration.js';

/** Returns the upstreams of a pool that are not marked as leaving. */
export function liveUpstreams(
  configuration: Configuration,
  pool: PoolDocument,
): UpstreamDocument[] {
  return upstreamsOfPool(configuration, pool).filter(
    upstream => upstream.spec.state !== 'leaving',
  );
}
