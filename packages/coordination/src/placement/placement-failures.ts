/** Failures of completions, with what is true about each. */

import type {RequestFailure, ExecutionState} from '../requests/failure.js';
import type {UpstreamError} from '../upstreams/engine.js';

const engineRetryMilliseconds = 1_000;

export function noUpstream(model: string): RequestFailure {
  return {
    code: 'no-upstream',
    message: `no upstream that can be reached serves ${model}`,
    ran: 'not-run',
    retryAfterMilliseconds: engineRetryMilliseconds,
  };
}

export function queueFull(retryAfterMilliseconds: number): RequestFailure {
  return {
    code: 'queue-full',
    message: 'too many requests are waiting',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function targetUnreachable(
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: 'target-unreachable',
    message: 'the first token would come too late',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function deadlinePassed(
  ran: ExecutionState = 'not-run',
): RequestFailure {
  return {
    code: 'upstream-timeout',
    message: 'the deadline passed before the answer was complete',
    ran,
  };
}

export function callerGone(ran: ExecutionState): RequestFailure {
  return {code: 'caller-gone', message: 'the caller went away', ran};
}

/** The failure after the last attempt ended by `error`. */
export function upstreamFailed(
  error: UpstreamError,
  ran: ExecutionState,
): RequestFailure {
  return {
    code: error.kind === 'silent' ? 'upstream-timeout' : 'upstream-failed',
    message: `upstream ${error.upstream}: ${error.kind}`,
    ran,
    ...(ran === 'not-run' && {retryAfterMilliseconds: engineRetryMilliseconds}),
  };
}
