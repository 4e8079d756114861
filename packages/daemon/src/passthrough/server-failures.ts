/** Failures of calls that the server itself decides. */

import {
  cancellationFailureOf,
  cancellationOf,
  httpStatusOf,
} from '@persimmonwick/coordination';
import type {
  InterruptedResponseError,
  RequestFailure,
} from '@persimmonwick/coordination';
import type {ConnectionEnd} from './connection-end.js';

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
    (code === 'no-upstream' ||
      code === 'not-ready' ||
      code === 'draining' ||
      code === 'memory-short' ||
      code === 'processor-short')
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

/** Failure of a call whose response the host has broken off at the end of a stop. */
const responseCutByStop: RequestFailure = {
  code: 'draining',
  message: 'the host stopped before the response was complete',
  ran: 'ran',
};

/** Failure of a call whose response was interrupted before its first bytes. */
export function failureOfUnbegunResponse(
  {reason, message}: InterruptedResponseError,
  signal: AbortSignal,
): RequestFailure {
  if (signal.aborted) return cancellationFailureOf(signal, 'unknown');
  const code = reason === 'silent' ? 'upstream-timeout' : 'upstream-failed';
  return {code, message, ran: 'ran'};
}

/** Failure of a call whose response was cut; its caller gets no other response. */
export function failureOfCutResponse(
  error: InterruptedResponseError,
  signal: AbortSignal,
): RequestFailure {
  return cancellationOf(signal)?.kind === 'grace-over'
    ? responseCutByStop
    : failureOfUnbegunResponse(error, signal);
}

/** Why a connection ends in the middle of a response. */
export function endOfBrokenResponse(signal: AbortSignal): ConnectionEnd {
  return cancellationOf(signal)?.kind === 'grace-over'
    ? 'grace-over'
    : 'broken-response';
}

/**
 * Logged status of a call whose response was cut: that of the response, unless its
 * connection had ended.
 */
export function statusOfCutResponse(
  signal: AbortSignal,
  status: number,
): number {
  const kind = cancellationOf(signal)?.kind;
  return kind === 'caller-gone' || kind === 'connection-closed'
    ? httpStatusOf(kind)
    : status;
}
