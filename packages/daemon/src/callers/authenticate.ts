/** Reads the key of a call and finds its client account. */

import {findAccountOfKey, hashKey} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  KeyHash,
  RequestFailure,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

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
  return findAccountOfKey(configuration, hash).map(account => ({
    account,
    key: hash,
  }));
}
