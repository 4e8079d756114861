/** Mapping of failures of requests and responses to upstream errors. */

import {InterruptedResponseError} from '@persimmonwick/coordination';
import type {
  PassthroughError,
  UpstreamError,
  UpstreamId,
} from '@persimmonwick/coordination';

/**
 * Converts the failure of a request whose response head did not arrive. If
 * `signal` is aborted, the result is `cancelled`.
 */
export function requestError(
  {kind, upstream}: PassthroughError,
  signal: AbortSignal,
): UpstreamError {
  if (signal.aborted) return {kind: 'cancelled', upstream};
  switch (kind) {
    case 'withheld':
      return {kind: 'unreachable', upstream};
    case 'unreachable':
    case 'silent':
    case 'cancelled':
      return {kind, upstream};
    case 'broken':
    case 'refused':
    case 'misdirected':
    case 'unverified':
      return {kind: 'broken', upstream};
  }
}

/**
 * Converts an error thrown while reading a response. If `signal` is aborted,
 * the result is `cancelled`.
 */
export function responseError(
  error: unknown,
  upstream: UpstreamId,
  signal: AbortSignal,
): UpstreamError {
  if (signal.aborted) return {kind: 'cancelled', upstream};
  if (error instanceof SyntaxError) return {kind: 'malformed', upstream};
  if (error instanceof InterruptedResponseError)
    return {kind: error.reason, upstream};
  return {kind: 'broken', upstream};
}
