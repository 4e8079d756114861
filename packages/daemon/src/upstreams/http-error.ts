/** What the errors of HTTP calls say about an upstream. */

import type {UpstreamError, UpstreamId} from '@persimmonwick/coordination';

/** The typed error of a call that `undici` gave up. */
export function errorOfHttp(
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
