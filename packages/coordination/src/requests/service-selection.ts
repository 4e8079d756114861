/** Chooses upstreams for calls of plain services. */

import type {
  Configuration,
  Route,
  Upstream,
} from '../configuration/configuration.js';
import {liveUpstreams} from '../configuration/live-upstreams.js';
import type {FailureDomainId} from '../ids.js';
import {matchesSelector} from '../labels.js';
import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';

/**
 * Live upstreams of a service route in the order in which to try them: those of
 * the own failure domain first, and inside each group from a random one on.
 */
export function orderServiceUpstreams(
  configuration: Configuration,
  route: Route,
  failureDomain: FailureDomainId,
  random: RandomSource,
): Upstream[] {
  const {target} = route.spec;
  if (target.kind !== 'service') return [];
  const live = configuration.pools
    .filter(
      pool =>
        pool.spec.role === 'service' &&
        matchesSelector(target.services, pool.labels ?? {}),
    )
    .flatMap(pool => liveUpstreams(configuration, pool));
  const isNear = (upstream: Upstream) =>
    upstream.spec.failureDomain === failureDomain;
  const near = live.filter(isNear);
  const far = live.filter(upstream => !isNear(upstream));
  return [...rotate(near, random), ...rotate(far, random)];
}

function rotate(upstreams: Upstream[], random: RandomSource): Upstream[] {
  const first = randomBelow(random, upstreams.length);
  return [...upstreams.slice(first), ...upstreams.slice(0, first)];
}
