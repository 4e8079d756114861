/** Why a call is cancelled. */

import type {ExecutionState, RequestFailure} from '../requests/failure.js';
import {callerDisconnected, hostStopping} from './call-failures.js';

/** Abort reason of the signal of a call. */
export type Cancellation =
  /** The caller has ended its connection, as `cause` says. */
  | {readonly kind: 'caller-gone'; readonly cause: string}
  /** The host has ended the caller's connection, as `cause` says. */
  | {readonly kind: 'connection-closed'; readonly cause: string}
  /** The host gives up the call at the end of its grace period. */
  | {readonly kind: 'grace-over'; readonly cause: 'grace-over'};

/** Failure of a call that `signal` has cancelled. */
export function cancellationFailureOf(
  signal: AbortSignal,
  ran: ExecutionState,
): RequestFailure {
  switch (cancellationOf(signal)?.kind) {
    // The signals of replayed calls have no reason of their own.
    case undefined:
    case 'caller-gone':
      return {...callerDisconnected, ran};
    case 'connection-closed':
      return {...connectionClosed, ran};
    case 'grace-over':
      return ran === 'not-run' ? hostStopping : {...graceOver, ran};
  }
}

/** What cancelled a call; empty if its signal is not aborted. */
export function cancellationCauseOf(signal: AbortSignal): string {
  if (!signal.aborted) return '';
  return cancellationOf(signal)?.cause ?? '';
}

/** Undefined for a signal that was aborted without a reason. */
export function cancellationOf({
  reason,
}: AbortSignal): Cancellation | undefined {
  return (reason as unknown) instanceof Error
    ? undefined
    : (reason as Cancellation | undefined);
}

const connectionClosed: RequestFailure = {
  code: 'connection-closed',
  message: 'the host ended the connection before the response was complete',
  ran: 'unknown',
};

const graceOver: RequestFailure = {
  code: 'upstream-timeout',
  message: 'the host stopped before the upstream answered',
  ran: 'unknown',
};
