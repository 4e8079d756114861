/** Attempts of one call of a plain service, of which two may run at a time. */

import type {AbortScope} from '../placement/abort-scope.js';
import type {PassthroughResponse, TransportResult} from './call.js';
import type {TrackedUpstream} from './upstream-table.js';

/** An attempt that was sent. */
export interface PlainAttempt {
  readonly upstream: TrackedUpstream;
  readonly scope: AbortScope;
  readonly head: TransportResult<PassthroughResponse>;
  /** Resolves with undefined if the attempt does not end the call. */
  readonly outcome: Promise<PassthroughResponse | undefined>;
}

/**
 * Waits until one of two attempts has a response, and cancels the other one.
 * Resolves with undefined if neither has one.
 */
export async function firstResponse(
  first: PlainAttempt,
  second: PlainAttempt,
): Promise<{attempt: PlainAttempt; response: PassthroughResponse} | undefined> {
  const ended = (attempt: PlainAttempt, other: PlainAttempt) =>
    attempt.outcome.then(response => ({attempt, other, response}));
  const earlier = await Promise.race([
    ended(first, second),
    ended(second, first),
  ]);
  const {attempt, other, response} = earlier;
  if (response !== undefined) {
    other.scope.close();
    return {attempt, response};
  }
  const later = await other.outcome;
  return later && {attempt: other, response: later};
}
