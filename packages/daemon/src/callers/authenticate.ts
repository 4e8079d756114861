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
  readonly keyHash: KeyHash;
}

/**
 * Returns the identity that the Authorization header proves. Returns undefined
 * if the header is absent, and a failure if it is malformed, repeated, or
 * contains an unknown key.
 */
export function authenticate(
  configuration: Configuration,
  authorization: readonly string[],
): Result<CallerIdentity | undefined, RequestFailure> {
  if (authorization.length === 0) return Result.ok(undefined);
  const [scheme, apiKey, ...rest] = authorization[0]!.split(' ');
  const isBearer = scheme?.toLowerCase() === 'bearer';
  if (authorization.length > 1 || !isBearer || !apiKey || rest.length > 0)
    return Result.err({
      code: 'invalid-request',
      message:
        'expected exactly one Authorization header of the form "Bearer <key>"',
      ran: 'not-run',
    });
  const keyHash = hashKey(apiKey);
  return findAccountOfKey(configuration, keyHash).map(account => ({
    account,
    keyHash,
  }));
}
