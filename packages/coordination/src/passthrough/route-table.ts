/** Passed-through routes of a configuration, indexed by host name and path. */

import type {Configuration} from '../configuration/configuration.js';
import type {PoolDocument, RouteDocument} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import {matchesSelector} from '../labels.js';
import {canUseRoute} from '../requests/authentication.js';
import type {CallExpectation} from './shutdown-schedule.js';

type PassthroughTarget = Extract<
  RouteDocument['spec']['target'],
  {kind: 'passthrough'}
>;

/** Urgency of routes that do not set one. */
const defaultUrgency = 5;

/** A route with the pools that its selectors match. */
export interface PassthroughRoute {
  readonly name: string;
  readonly document: RouteDocument;
  readonly target: PassthroughTarget;
  readonly pools: readonly WeightedPool[];
  readonly urgency: number;
  /** Regions in which calls may be served; undefined if all are allowed. */
  readonly allowedRegions: readonly string[] | undefined;
  /**
   * Target for the time to the first token; undefined if the route has none.
   */
  readonly firstTokenTargetMilliseconds: number | undefined;
  /**
   * Urgencies of the routes that lead to each engine pool, by its name, for the
   * pools that routes of several urgencies share; absent if there are none.
   */
  readonly contendedPools?: ReadonlyMap<string, readonly number[]>;
}

export interface WeightedPool {
  readonly pool: PoolDocument;
  readonly weight: number;
}

export class RouteTable {
  /** Routes of each host name, longest prefix first. */
  private readonly routesByHostName = new Map<string, PassthroughRoute[]>();
  private readonly routes = new Set<PassthroughRoute>();
  private readonly expectations = new Map<string, CallExpectation>();

  constructor(readonly configuration: Configuration) {
    const contendedPools = new Map<string, readonly number[]>();
    const urgencies = new Map<string, readonly number[]>();
    for (const document of configuration.routes) {
      const route = resolveRoute(configuration, document, contendedPools);
      if (route === undefined) continue;
      for (const {pool} of route.pools) {
        if (pool.spec.engine === undefined) continue;
        const known = new Set(urgencies.get(pool.name)).add(route.urgency);
        urgencies.set(pool.name, [...known]);
        if (known.size > 1) contendedPools.set(pool.name, [...known]);
      }
      const host = route.target.host;
      const routes = this.routesByHostName.get(host) ?? [];
      routes.push(route);
      this.routes.add(route);
      this.expectations.set(route.name, expectationOf(route));
      this.routesByHostName.set(host, routes);
    }
    for (const routes of this.routesByHostName.values())
      routes.sort(
        (left, right) =>
          right.target.pathPrefix.length - left.target.pathPrefix.length,
      );
  }

  /** Returns whether `route` is one of this table, and not of another one. */
  contains(route: PassthroughRoute): boolean {
    return this.routes.has(route);
  }

  /**
   * Returns the route of the host name `host` with the longest prefix of
   * `path`.
   */
  find(host: string, path: string): PassthroughRoute | undefined {
    return this.routesByHostName
      .get(host)
      ?.find(route => path.startsWith(route.target.pathPrefix));
  }

  /** What is known of the calls on the route `name` before one has ended. */
  expectationOf(name: string): CallExpectation | undefined {
    return this.expectations.get(name);
  }

  /**
   * What decides which upstreams a call reaches; equal texts lead each call to the
   * same pools.
   */
  describeRouting(): string {
    const routes = [...this.routesByHostName.values()].flat();
    return JSON.stringify(
      routes
        .map(({name, target, pools}) => [
          name,
          target.host,
          target.pathPrefix,
          pools.map(({pool}) => [pool.name, pool.spec.upstreams]),
        ])
        .sort(([left], [right]) => (String(left) < String(right) ? -1 : 1)),
    );
  }

  /** Returns whether `account` may use `route`. */
  canUse(route: PassthroughRoute, account: AccountId | undefined): boolean {
    return canUseRoute(this.configuration, route.document, account);
  }
}

function resolveRoute(
  configuration: Configuration,
  document: RouteDocument,
  contendedPools: ReadonlyMap<string, readonly number[]>,
): PassthroughRoute | undefined {
  const {target, service} = document.spec;
  if (target.kind !== 'passthrough') return undefined;
  return {
    name: document.name,
    document,
    target,
    pools: target.pools.flatMap(({labels, weight}) =>
      configuration.pools
        .filter(pool => matchesSelector(labels, pool.labels ?? {}))
        .map(pool => ({pool, weight})),
    ),
    urgency: target.urgency ?? defaultUrgency,
    allowedRegions: target.allowedRegions,
    firstTokenTargetMilliseconds:
      service?.kind === 'targeted' ? service.firstTokenMilliseconds : undefined,
    contendedPools,
  };
}

function expectationOf({
  pools,
  target: {stream},
  firstTokenTargetMilliseconds,
}: PassthroughRoute): CallExpectation {
  const poolNames = pools.map(({pool}) => pool.name).sort();
  return {
    group: JSON.stringify([stream, poolNames]),
    targetMilliseconds: stream ? undefined : firstTokenTargetMilliseconds,
  };
}
