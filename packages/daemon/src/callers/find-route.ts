/** Finds the route of a model or a path for a client account. */

import type {
  AccountId,
  Configuration,
  RequestFailure,
  Route,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {mayUseRoute, routeRefusal} from './authenticate.js';

/** The route of `account` that serves `model`. */
export function findModelRoute(
  configuration: Configuration,
  model: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const routes = configuration.routes.filter(route =>
    servesModel(route, model),
  );
  const usable = routes.find(route =>
    mayUseRoute(configuration, route, account),
  );
  if (usable !== undefined) return Result.ok(usable);
  if (account === undefined) return Result.err(routeRefusal(account));
  // A model that only other accounts may use is reported like a missing one,
  // so that no account learns what the others have.
  return Result.err({
    code: 'model-not-found',
    message: 'no route of the client account serves this model',
    ran: 'not-run',
  });
}

/** The route of `account` with the longest prefix of the path of `url`. */
export function findServiceRoute(
  configuration: Configuration,
  url: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const path = pathOf(url);
  if (isAmbiguousPath(path))
    return Result.err({
      code: 'invalid-request',
      message: 'the path has empty, relative or encoded segments',
      ran: 'not-run',
    });
  const candidates = configuration.routes
    .filter(route => servesPath(route, path))
    .sort((left, right) => prefixLength(right) - prefixLength(left));
  const route = candidates[0];
  if (route === undefined || !mayUseRoute(configuration, route, account)) {
    if (account === undefined) return Result.err(routeRefusal(account));
    return Result.err({
      code: 'route-not-found',
      message: 'no route of the client account has this path',
      ran: 'not-run',
    });
  }
  return Result.ok(route);
}

const ambiguousSegment = /\/\/|\\|%2f|%5c|%00|\/\.\.?(\/|$)/i;
/** Encoded letters, digits, and `-._~`, which never need encoding. */
const encodedUnreserved = /%(2[de]|3\d|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])/i;
const brokenEncoding = /%(?![0-9a-f]{2})/i;

/** True for paths that a service could read as another path than we do. */
function isAmbiguousPath(path: string): boolean {
  return (
    ambiguousSegment.test(path) ||
    encodedUnreserved.test(path) ||
    brokenEncoding.test(path)
  );
}

/** The path of `url`, without its query. */
export function pathOf(url: string): string {
  return url.split('?')[0]!;
}

/** True when `route` leads to engines that serve `model`. */
export function servesModel({spec}: Route, model: string): boolean {
  return spec.target.kind === 'model' && spec.target.models.includes(model);
}

/** True when the path prefix of `route` covers `path`. */
export function servesPath(route: Route, path: string): boolean {
  const {target} = route.spec;
  if (target.kind !== 'service') return false;
  const prefix = target.pathPrefix.replace(/\/$/, '');
  return path === prefix || path.startsWith(`${prefix}/`);
}

function prefixLength(route: Route): number {
  const {target} = route.spec;
  return target.kind === 'service' ? target.pathPrefix.length : 0;
}
