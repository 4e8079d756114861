/** Mapping of HTTP client errors to upstream errors. */

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
    case 'unreachable':
    case 'silent':
    case 'cancelled':
      return {kind, upstream};
    case 'broken':
    case 'refused':
    case 'misdirected':
      return {kind: 'broken', upstream};
  }
}

/**
 * Converts an error thrown while sending a request or reading its response. If
 * `signal` is aborted, the result is `cancelled`.
 */
export function toUpstreamError(
  error: unknown,
  upstream: UpstreamId,
  signal: AbortSignal,
): UpstreamError {
  if (signal.aborted) return {kind: 'cancelled', upstream};
  if (error instanceof SyntaxError) return {kind: 'malformed', upstream};
  switch ((error as NodeJS.ErrnoException).code) {
    case 'ECONNREFUSED':
    case 'UND_ERR_CONNECT_TIMEOUT':
      return {kind: 'unreachable', upstream};
    case 'UND_ERR_BODY_TIMEOUT':
    case 'UND_ERR_HEADERS_TIMEOUT':
      return {kind: 'silent', upstream};
    default:
      return {kind: 'broken', upstream};
  }
}
