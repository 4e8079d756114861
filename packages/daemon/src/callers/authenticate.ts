/** Reads the key of a call and finds its client account. */

import {accountOfKey, hashKey} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  KeyHash,
  RequestFailure,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/** The client account whose key came with a call; undefined without a key. */
export function authenticate(
  configuration: Configuration,
  authorization: readonly string[],
): Result<AccountId | undefined, RequestFailure> {
  if (authorization.length === 0) return Result.ok(undefined);
  const key = bearerOf(authorization);
  if (key !== undefined) return accountOfKey(configuration, key);
  return Result.err({
    code: 'invalid-request',
    message: 'send one Authorization header with a bearer key',
    ran: 'not-run',
  });
}

/** The hash of the key in the one well-formed header. */
export function keyHashOf(
  authorization: readonly string[],
): KeyHash | undefined {
  const key = bearerOf(authorization);
  return key === undefined ? undefined : hashKey(key);
}

function bearerOf(authorization: readonly string[]): string | undefined {
  const [scheme, key, ...rest] = authorization[0]?.split(' ') ?? [];
  const isBearer = scheme?.toLowerCase() === 'bearer';
  const isUsable = authorization.length === 1 && isBearer && rest.length === 0;
  return isUsable && key ? key : undefined;
}
