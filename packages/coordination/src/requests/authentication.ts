/**
 * Authenticates client account keys and finds the routes that an account can
 * use.
 */

import {createHash} from 'node:crypto';
import {Result} from 'true-myth';
import type {
  Configuration,
  KeyHash,
  Route,
} from '../configuration/configuration.js';
import type {AccountId} from '../ids.js';
import {matchesSelector} from '../labels.js';
import type {RequestFailure} from './failure.js';

/** The hash under which a key is published. */
export function hashKey(key: string): KeyHash {
  return createHash('sha256').update(key).digest('hex') as KeyHash;
}

/** The client account of the key with this hash. */
export function findAccountOfKey(
  configuration: Configuration,
  hash: KeyHash,
): Result<AccountId, RequestFailure> {
  const account = configuration.accountOfKey.get(hash);
  if (account !== undefined) return Result.ok(account);
  return Result.err({
    code: 'unknown-key',
    message: 'the key is unknown or was withdrawn',
    ran: 'not-run',
  });
}

/** True when `account` is allowed to use `route`. */
export function canUseRoute(
  configuration: Configuration,
  route: Route,
  account: AccountId | undefined,
): boolean {
  if (route.spec.open === true) return true;
  if (account === undefined) return false;
  const labels = configuration.accounts.get(account)?.labels ?? {};
  return matchesSelector(route.spec.accounts ?? {}, labels);
}

/** Finds the route through which `account` can use `model`. */
export function findModelRoute(
  configuration: Configuration,
  model: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const route = configuration.routes.find(
    candidate =>
      servesModel(candidate, model) &&
      canUseRoute(configuration, candidate, account),
  );
  if (route !== undefined) return Result.ok(route);
  // A model that only other accounts can use is reported as missing, to hide
  // the models of other accounts.
  return Result.err(
    account === undefined
      ? missingKeyFailure
      : {
          code: 'model-not-found',
          message: 'no route of the client account serves this model',
          ran: 'not-run',
        },
  );
}

/**
 * Finds the route with the longest path prefix that matches `url`. Fails if
 * `account` cannot use it, even if it can use a route with a shorter prefix.
 */
export function findServiceRoute(
  configuration: Configuration,
  url: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const path = pathWithoutQuery(url);
  if (isAmbiguousPath(path))
    return Result.err({
      code: 'invalid-request',
      message:
        'the path has an empty or relative segment, a backslash, or an invalid or unnecessary percent-encoding',
      ran: 'not-run',
    });
  const [route] = configuration.routes
    .filter(candidate => servesPath(candidate, path))
    .sort((left, right) => prefixLength(right) - prefixLength(left));
  if (route !== undefined && canUseRoute(configuration, route, account))
    return Result.ok(route);
  return Result.err(
    account === undefined
      ? missingKeyFailure
      : {
          code: 'route-not-found',
          message: 'no route of the client account matches this path',
          ran: 'not-run',
        },
  );
}

/** Failure of a call without a key that no open route serves. */
export const missingKeyFailure: RequestFailure = {
  code: 'missing-key',
  message: 'the request has no client account key; send it as a bearer token',
  ran: 'not-run',
};

const ambiguousSegment = /\/\/|\\|%2f|%5c|%00|\/\.\.?(\/|$)/i;
/** Percent-encoded unreserved characters: letters, digits and `-._~`. */
const encodedUnreserved = /%(2[de]|3\d|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])/i;
const invalidEncoding = /%(?![0-9a-f]{2})/i;

/** True for paths that a service could interpret as a different path. */
function isAmbiguousPath(path: string): boolean {
  return (
    ambiguousSegment.test(path) ||
    encodedUnreserved.test(path) ||
    invalidEncoding.test(path)
  );
}

export function pathWithoutQuery(url: string): string {
  return url.split('?')[0]!;
}

/** True when the target of `route` includes `model`. */
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
