/** Decides from an upstream error whether a retry is safe. */

import type {UpstreamError} from '../upstreams/engine.js';
import type {RequestFailure} from './failure.js';

/** True when the error proves that the upstream did not run the call. */
export function provesNotRun(error: UpstreamError): boolean {
  switch (error.kind) {
    case 'unreachable':
    case 'refused':
      return true;
    case 'silent':
    case 'broken':
    case 'malformed':
    case 'cancelled':
      return false;
  }
}

/** Failure reported to the caller of a plain service. */
export function serviceFailure(error: UpstreamError): RequestFailure {
  const ran = provesNotRun(error) ? 'not-run' : 'unknown';
  switch (error.kind) {
    case 'unreachable':
    case 'refused':
      return {
        code: 'no-upstream',
        message: 'no upstream accepted the call',
        ran,
        retryAfterMilliseconds: 1000,
      };
    case 'silent':
      return {
        code: 'upstream-timeout',
        message: 'the upstream did not respond in time',
        ran,
      };
    case 'broken':
    case 'malformed':
      return {
        code: 'upstream-failed',
        message: 'the upstream connection broke or its response was invalid',
        ran,
      };
    case 'cancelled':
      return {
        code: 'caller-gone',
        message: 'the caller closed the connection',
        ran,
      };
  }
}
