/** Selects upstreams for calls to plain services. */

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
 * Live upstreams of a service route in order of preference: the host's own
 * failure domain first. Each group is rotated by a random offset.
 */
export function orderServiceUpstreams(
  configuration: Configuration,
  route: Route,
  failureDomain: FailureDomainId,
  random: RandomSource,
): Upstream[] {
  const {target} = route.spec;
  if (target.kind !== 'service') return [];
  const liveServices = configuration.pools
    .filter(
      pool =>
        pool.spec.role === 'service' &&
        matchesSelector(target.services, pool.labels ?? {}),
    )
    .flatMap(pool => liveUpstreams(configuration, pool));
  const isInFailureDomain = (upstream: Upstream) =>
    upstream.spec.failureDomain === failureDomain;
  const local = liveServices.filter(isInFailureDomain);
  const remote = liveServices.filter(upstream => !isInFailureDomain(upstream));
  return [...rotate(local, random), ...rotate(remote, random)];
}

function rotate(upstreams: Upstream[], random: RandomSource): Upstream[] {
  const offset = randomBelow(random, upstreams.length);
  return [...upstreams.slice(offset), ...upstreams.slice(0, offset)];
}
