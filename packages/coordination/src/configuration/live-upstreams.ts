/** Upstreams that may be given new work. */

import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import type {Configuration} from './configuration.js';
import {upstreamsOfPool} from './configuration.js';

/** Upstreams of a pool that are not published as leaving. */
export function liveUpstreams(
  configuration: Configuration,
  pool: PoolDocument,
): UpstreamDocument[] {
  return upstreamsOfPool(configuration, pool).filter(
    upstream => upstream.spec.state !== 'leaving',
  );
}
