/** Finds the client account of a key and the routes that it may use. */

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

/** The client account of a key; undefined when no key came. */
export function accountOfKey(
  configuration: Configuration,
  key: string | undefined,
): Result<AccountId | undefined, RequestFailure> {
  if (key === undefined) return Result.ok(undefined);
  const account = configuration.accountOfKey.get(hashKey(key));
  if (account !== undefined) return Result.ok(account);
  return Result.err({
    code: 'unknown-key',
    message: 'the key is not known or was withdrawn',
    ran: 'not-run',
  });
}

/** True when `account` may use `route`. */
export function mayUseRoute(
  configuration: Configuration,
  route: Route,
  account: AccountId | undefined,
): boolean {
  if (route.spec.open === true) return true;
  if (account === undefined) return false;
  const labels = configuration.accounts.get(account)?.labels ?? {};
  return matchesSelector(route.spec.accounts ?? {}, labels);
}

/** The route on which `account` may use `model`. */
export function findModelRoute(
  configuration: Configuration,
  model: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const route = configuration.routes.find(
    candidate =>
      candidate.spec.target.kind === 'model' &&
      candidate.spec.target.models.includes(model) &&
      mayUseRoute(configuration, candidate, account),
  );
  if (route !== undefined) return Result.ok(route);
  // A model that only other accounts may use is reported like a missing one,
  // so that no account learns what the others have.
  return Result.err(
    account === undefined
      ? missingKey
      : {
          code: 'model-not-found',
          message: 'no route of the client account serves this model',
          ran: 'not-run',
        },
  );
}

/** The route of `account` with the longest prefix of the path of `url`. */
export function findServiceRoute(
  configuration: Configuration,
  url: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const path = url.split('?')[0]!;
  if (isAmbiguousPath(path))
    return Result.err({
      code: 'invalid-request',
      message: 'the path has empty, relative or encoded segments',
      ran: 'not-run',
    });
  const [route] = configuration.routes
    .filter(candidate => prefixLength(candidate, path) > 0)
    .sort(
      (left, right) => prefixLength(right, path) - prefixLength(left, path),
    );
  if (route !== undefined && mayUseRoute(configuration, route, account))
    return Result.ok(route);
  return Result.err(
    account === undefined
      ? missingKey
      : {
          code: 'route-not-found',
          message: 'no route of the client account has this path',
          ran: 'not-run',
        },
  );
}

/** The refusal of a call that came without a key to a route that needs one. */
export const missingKey: RequestFailure = {
  code: 'missing-key',
  message: 'send the client account key as a bearer token',
  ran: 'not-run',
};

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

/** Length of the route's prefix when `path` lies under it, else zero. */
function prefixLength(route: Route, path: string): number {
  const {target} = route.spec;
  if (target.kind !== 'service') return 0;
  const prefix = target.pathPrefix.replace(/\/$/, '');
  const isUnder = path === prefix || path.startsWith(`${prefix}/`);
  return isUnder ? prefix.length + 1 : 0;
}
