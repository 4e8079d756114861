/** Finds limits of a configuration that contradict each other. */

import type {PoolDocument, RouteDocument} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import type {Configuration} from './configuration.js';
import {documentKey} from './documents.js';
import type {DocumentFault} from './documents.js';

export function findContradictoryLimits(
  configuration: Configuration,
): DocumentFault[] {
  const upstreamCounts = countUpstreams(configuration);
  return [
    ...findUnusableBursts(configuration),
    ...configuration.routes.flatMap(findShortTimeouts),
    ...configuration.routes.flatMap(route =>
      findUnusableAttempts(route, configuration.pools, upstreamCounts),
    ),
    ...configuration.pools.flatMap(findUnusableCacheHolds),
  ];
}

/** A burst below the cost of one call admits none. */
function findUnusableBursts({accounts}: Configuration): DocumentFault[] {
  return [...accounts.values()]
    .filter(({spec}) => {
      const {unlimited, costsTokens, defaultCostTokens = 1} = spec;
      const cost = costsTokens === false ? 1 : defaultCostTokens;
      return unlimited !== true && spec.burstTokens < cost;
    })
    .map(account => ({
      document: documentKey(account),
      field: '/spec/burstTokens',
      reason: 'a burst of at least the cost of one call',
    }));
}

function findShortTimeouts(route: RouteDocument): DocumentFault[] {
  const {target, service} = route.spec;
  if (target.kind !== 'passthrough' || service?.kind !== 'targeted') return [];
  return target.timeoutMilliseconds > service.firstTokenMilliseconds
    ? []
    : [
        {
          document: documentKey(route),
          field: '/spec/target/timeoutMilliseconds',
          reason: `a timeout above the target of ${service.firstTokenMilliseconds} ms`,
        },
      ];
}

/** Each attempt goes to an upstream that has not been tried yet. */
function findUnusableAttempts(
  route: RouteDocument,
  pools: readonly PoolDocument[],
  upstreamCounts: ReadonlyMap<string, number>,
): DocumentFault[] {
  const {target} = route.spec;
  if (target.kind !== 'passthrough' || target.maximumTries === 1) return [];
  const createFault = (reason: string): DocumentFault[] => [
    {
      document: documentKey(route),
      field: '/spec/target/maximumTries',
      reason,
    },
  ];
  if (!target.repeatable)
    return createFault('1, because calls of the route may not be repeated');
  const counts = target.pools.flatMap(({labels}) =>
    pools
      .filter(pool => matchesSelector(labels, pool.labels ?? {}))
      .map(({name}) => upstreamCounts.get(name) ?? 0),
  );
  // Without a list of upstreams, nothing is known about their number.
  const largest = Math.max(0, ...counts);
  return largest === 0 || target.maximumTries <= largest
    ? []
    : createFault(`at most ${largest}, the number of upstreams`);
}

function findUnusableCacheHolds(pool: PoolDocument): DocumentFault[] {
  const {engine} = pool.spec;
  if (engine?.cacheHoldMilliseconds !== 0) return [];
  return [
    {
      document: documentKey(pool),
      field: '/spec/engine/cacheHoldMilliseconds',
      reason: 'a time above 0, because a KV cache is fetched after it is ready',
    },
  ];
}

/** Upstreams of each pool; empty if no pool lists one. */
function countUpstreams({
  pools,
  upstreams,
}: Configuration): ReadonlyMap<string, number> {
  const documents = [...upstreams.values()];
  return new Map(
    pools.map(({name, spec}) => [
      name,
      documents.filter(each =>
        matchesSelector(spec.upstreams, each.labels ?? {}),
      ).length,
    ]),
  );
}
