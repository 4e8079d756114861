/** Authenticates a call by the key in its Authorization header. */

import {findAccountOfKey, hashKey} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  KeyHash,
  RequestFailure,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/** The client account that a call's key belongs to. */
export interface CallerIdentity {
  readonly account: AccountId;
  readonly key: KeyHash;
}

/** Resolves the key of a call to its account; undefined without a key. */
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
      message:
        'expected exactly one Authorization header of the form "Bearer <key>"',
      ran: 'not-run',
    });
  const hash = hashKey(key);
  return findAccountOfKey(configuration, hash).map(account => ({
    account,
    key: hash,
  }));
}
