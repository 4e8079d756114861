/** Finds the client account and the route of a call. */

import {createHash} from 'node:crypto';
import {matchesSelector} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  KeyHash,
  RequestFailure,
  Route,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/** The hash under which a key is published. */
export function hashKey(key: string): KeyHash {
  return createHash('sha256').update(key).digest('hex') as KeyHash;
}

/** Whose key came with a call. */
export interface CallerIdentity {
  readonly account: AccountId;
  readonly key: KeyHash;
}

/** The identity that a call's key proves; undefined without a key. */
export function authenticate(
  configuration: Configuration,
  authorization: readonly string[],
): Result<CallerIdentity | undefined, RequestFailure> {
  if (authorization.length === 0) return Result.ok(undefined);
  const [scheme, key, ...rest] = authorization[0]!.split(' ');
  const isBearer = scheme?.toLowerCase() === 'bearer';
  if (authorization.length > 1 || !isBearer || !key || rest.length > 0)
    return Result.err({
      code: 'invalid-request',
      message: 'send one Authorization header with a bearer key',
      ran: 'not-run',
    });
  const hash = hashKey(key);
  const account = configuration.accountOfKey.get(hash);
  if (account === undefined)
    return Result.err({
      code: 'unknown-key',
      message: 'the key is not known or was withdrawn',
      ran: 'not-run',
    });
  return Result.ok({account, key: hash});
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

/** The refusal of a call whose account may not use the route. */
export function routeRefusal(account: AccountId | undefined): RequestFailure {
  return account === undefined
    ? {
        code: 'missing-key',
        message: 'send the client account key as a bearer token',
        ran: 'not-run',
      }
    : {
        code: 'route-forbidden',
        message: 'the client account may not use this route',
        ran: 'not-run',
      };
}
