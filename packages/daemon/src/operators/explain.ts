/** Explains which routes and upstreams a request could use, and why not others. */

import {
  findModelRoute,
  findServiceRoute,
  matchesSelector,
  canUseRoute,
  pathWithoutQuery,
  servesModel,
  servesPath,
  upstreamsOfPool,
} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  PoolDocument,
  Route,
  Selector,
  Upstream,
} from '@persimmonwick/coordination';

/** The model or path of the explained request. */
export type ExplainedTarget =
  | {readonly kind: 'model'; readonly model: string}
  | {readonly kind: 'path'; readonly path: string};

/** Whether an upstream or a route is usable, and why not. */
export interface ExplainedChoice {
  readonly name: string;
  readonly isUsable: boolean;
  /** Empty if it is usable. */
  readonly reasons: readonly string[];
}

/** An upstream of a pool. */
export interface ExplainedUpstream extends ExplainedChoice {
  readonly pool: string;
  readonly role: string;
  readonly address: string;
}

/** The routes and upstreams for one account and target. */
export interface Explanation {
  readonly account: string;
  readonly version: string;
  readonly route: string | undefined;
  /** Failure code if there is no route. */
  readonly refusal: string | undefined;
  readonly routes: readonly ExplainedChoice[];
  /** Of a passthrough route, only the first weighted pool is explained. */
  readonly upstreams: readonly ExplainedUpstream[];
}

/**
 * Explains the routing of a request for `target` by `account`, which is
 * undefined for a request without key.
 */
export function explainRequest(
  configuration: Configuration,
  account: AccountId | undefined,
  target: ExplainedTarget,
): Explanation {
  const found =
    target.kind === 'model'
      ? findModelRoute(configuration, target.model, account)
      : findServiceRoute(configuration, target.path, account);
  const route = found.unwrapOr(undefined as Route | undefined);
  return {
    account: account ?? '',
    version: configuration.version.toString(),
    route: route?.name,
    refusal: found.isErr ? found.error.code : undefined,
    routes: configuration.routes.map(candidate =>
      explainRoute(configuration, candidate, account, target, route),
    ),
    upstreams:
      route === undefined ? [] : explainUpstreams(configuration, route, target),
  };
}

function explainRoute(
  configuration: Configuration,
  candidate: Route,
  account: AccountId | undefined,
  target: ExplainedTarget,
  chosen: Route | undefined,
): ExplainedChoice {
  const reasons: string[] = [];
  if (!servesTarget(candidate, target))
    reasons.push('does not serve the requested model or path');
  if (!canUseRoute(configuration, candidate, account))
    reasons.push('its selector does not match the labels of the account');
  if (reasons.length === 0 && candidate !== chosen)
    reasons.push('another route takes precedence');
  return {name: candidate.name, isUsable: reasons.length === 0, reasons};
}

function servesTarget(route: Route, target: ExplainedTarget): boolean {
  switch (target.kind) {
    case 'model':
      return servesModel(route, target.model);
    case 'path':
      return servesPath(route, pathWithoutQuery(target.path));
  }
}

function explainUpstreams(
  configuration: Configuration,
  route: Route,
  target: ExplainedTarget,
): ExplainedUpstream[] {
  return configuration.pools
    .filter(pool => pool.spec.role in selectorsOf(route))
    .flatMap(pool =>
      upstreamsOfPool(configuration, pool).map(upstream =>
        explainUpstream(route, pool, upstream, target),
      ),
    );
}

function explainUpstream(
  route: Route,
  pool: PoolDocument,
  upstream: Upstream,
  target: ExplainedTarget,
): ExplainedUpstream {
  const {role, model} = pool.spec;
  const reasons: string[] = [];
  if (!matchesSelector(selectorsOf(route)[role] ?? {}, pool.labels ?? {}))
    reasons.push(
      'the selector of the route does not match the labels of its pool',
    );
  if (target.kind === 'model' && model !== target.model)
    reasons.push(`its pool serves ${model ?? 'no model'}`);
  if (upstream.spec.state === 'leaving') reasons.push('it is leaving');
  return {
    name: upstream.name,
    pool: pool.name,
    role,
    address: upstream.spec.address,
    isUsable: reasons.length === 0,
    reasons,
  };
}

function selectorsOf(
  route: Route,
): Partial<Record<PoolDocument['spec']['role'], Selector>> {
  const {target} = route.spec;
  switch (target.kind) {
    case 'model':
      return {prefill: target.prefill, decode: target.decode};
    case 'service':
      return {service: target.services};
    case 'passthrough': {
      // Only the selector of the first weighted pool is explained.
      const selector = target.pools[0]?.labels ?? {};
      return {service: selector, engine: selector};
    }
  }
}
