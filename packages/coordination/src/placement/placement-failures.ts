/**
 * Failures of completions, each with its execution state and retry interval.
 */

import type {RequestFailure, ExecutionState} from '../requests/failure.js';
import type {UpstreamError} from '../upstreams/engine.js';

const defaultRetryAfterMilliseconds = 1_000;

export function noUpstream(model: string): RequestFailure {
  return {
    code: 'no-upstream',
    message: `no reachable upstream serves model ${model}`,
    ran: 'not-run',
    retryAfterMilliseconds: defaultRetryAfterMilliseconds,
  };
}

export function queueFull(retryAfterMilliseconds: number): RequestFailure {
  return {
    code: 'queue-full',
    message: 'the request queue is full',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function targetUnreachable(
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: 'target-unreachable',
    message: 'the first-token target cannot be met',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function deadlineExceeded(
  ran: ExecutionState = 'not-run',
): RequestFailure {
  return {
    code: 'upstream-timeout',
    message: 'the deadline expired before the response was complete',
    ran,
  };
}

export function callerGone(ran: ExecutionState): RequestFailure {
  return {code: 'caller-gone', message: 'the caller disconnected', ran};
}

/** The failure of a request whose last attempt failed with `error`. */
export function upstreamFailed(
  error: UpstreamError,
  ran: ExecutionState,
): RequestFailure {
  return {
    code: error.kind === 'silent' ? 'upstream-timeout' : 'upstream-failed',
    message: `upstream ${error.upstream}: ${error.kind}`,
    ran,
    ...(ran === 'not-run' && {
      retryAfterMilliseconds: defaultRetryAfterMilliseconds,
    }),
  };
}
