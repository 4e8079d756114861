/**
 * Failures of completions, each with its execution state and retry interval.
 */

import type {RequestFailure, ExecutionState} from '../requests/failure.js';
import type {UpstreamError} from '../upstreams/engine.js';

const defaultRetryAfterMilliseconds = 1_000;

export function noUpstreamFailure(model: string): RequestFailure {
  return {
    code: 'no-upstream',
    message: `no reachable upstream serves model ${model}`,
    ran: 'not-run',
    retryAfterMilliseconds: defaultRetryAfterMilliseconds,
  };
}

/** The failure of a completion that no engine of its version can go on with. */
export function versionGoneFailure(softwareVersion: string): RequestFailure {
  const version = softwareVersion === '' ? 'unpublished' : softwareVersion;
  return {
    code: 'stream-not-resumable',
    message: `no engine is certain to have the software version that began the text (${version})`,
    ran: 'not-run',
  };
}

export function queueFullFailure(
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: 'queue-full',
    message:
      'too many requests are queued for this model, in total or for the client account',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function targetUnreachableFailure(
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: 'target-unreachable',
    message: 'the first-token target cannot be met',
    ran: 'not-run',
    retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds),
  };
}

export function deadlineExceededFailure(
  ran: ExecutionState = 'not-run',
): RequestFailure {
  return {
    code: 'upstream-timeout',
    message: 'the deadline expired before the response was complete',
    ran,
  };
}

export function callerGoneFailure(ran: ExecutionState): RequestFailure {
  return {
    code: 'caller-gone',
    message: 'the caller closed the connection',
    ran,
  };
}

/** The failure of a request whose last attempt failed with `error`. */
export function upstreamFailure(
  error: UpstreamError,
  ran: ExecutionState,
): RequestFailure {
  return {
    code: error.kind === 'silent' ? 'upstream-timeout' : 'upstream-failed',
    message: `the request to upstream ${error.upstream} failed: ${error.kind}`,
    ran,
    ...(ran === 'not-run' && {
      retryAfterMilliseconds: defaultRetryAfterMilliseconds,
    }),
  };
}
