/** Failures of calls that the server itself decides. */

import {hostStopping} from '@persimmonwick/coordination';
import type {
  InterruptedResponseError,
  RequestFailure,
} from '@persimmonwick/coordination';

/**
 * Returns whether another host may handle the call instead. One that an upstream
 * has received is not passed on, because the host that handed it over takes a
 * declined one for unsent.
 */
export function isDeclined({
  code,
  ran,
  wasSent = false,
}: RequestFailure): boolean {
  return (
    ran === 'not-run' &&
    !wasSent &&
    (code === 'no-upstream' || code === 'not-ready' || code === 'draining')
  );
}

/** Only hosts may hand calls over; a host that has just started knows none. */
export const unknownPeer: RequestFailure = {
  code: 'not-ready',
  message: 'the host that handed the call over is not known here',
  ran: 'not-run',
};

export const internalFailure: RequestFailure = {
  code: 'internal',
  message: 'the host met an unexpected error; the call may have run',
  ran: 'unknown',
};

export const callerDisconnectedFailure: RequestFailure = {
  code: 'caller-gone',
  message: 'the caller disconnected before the response was complete',
  ran: 'unknown',
};

/** The call was read, but not forwarded. */
export const connectionEnded: RequestFailure = {
  code: 'caller-gone',
  message: 'the connection ended before the call could be answered',
  ran: 'not-run',
};

/** Failure of a call that was given up because the host stops. */
export function failureOfGivenUp(failure: RequestFailure): RequestFailure {
  if (failure.code !== 'caller-gone') return failure;
  if (failure.ran === 'not-run') return hostStopping;
  return {
    code: 'upstream-timeout',
    message: 'the host stopped before the upstream answered',
    ran: failure.ran,
  };
}

export function failureOfBrokenResponse(
  error: InterruptedResponseError,
  disconnected: AbortSignal,
): RequestFailure {
  if (disconnected.aborted) return callerDisconnectedFailure;
  const code =
    error.reason === 'silent' ? 'upstream-timeout' : 'upstream-failed';
  return {code, message: error.message, ran: 'ran'};
}
