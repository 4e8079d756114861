/** How connections of callers end, and at whose instance. */

import type {Cancellation} from '@persimmonwick/coordination';

/** Why a connection ends. */
export type ConnectionEnd =
  /** The caller closed the connection. */
  | 'caller-closed'
  /** The caller or the network reset the connection. */
  | 'caller-reset'
  /** Bytes could not be sent, because the caller or the network had closed it. */
  | 'write-failed'
  /** The caller had ended its direction, and can't be asked whether it still reads. */
  | 'half-closed'
  /** The caller left the connection idle, or did not read a response. */
  | 'idle-timeout'
  /** The caller sent bytes that are no request. */
  | 'malformed'
  /** A response was broken off, which must not look complete. */
  | 'broken-response'
  /** A response announced the end of the connection. */
  | 'last-response'
  /** The grace period ended before a response did. */
  | 'grace-over'
  /** The host has stopped, or its HTTP server closed the connection. */
  | 'host-closed';

/**
 * Who ended a connection. A caller whose connection the host has ended may still wait
 * for its response.
 */
export function endingPartyOf(end: ConnectionEnd): 'caller' | 'host' {
  switch (end) {
    case 'caller-closed':
    case 'caller-reset':
    case 'write-failed':
      return 'caller';
    case 'half-closed':
    case 'idle-timeout':
    case 'malformed':
    case 'broken-response':
    case 'last-response':
    case 'grace-over':
    case 'host-closed':
      return 'host';
  }
}

/** Why the calls on a connection that has ended are cancelled. */
export function cancellationBy(end: ConnectionEnd): Cancellation {
  const kind =
    endingPartyOf(end) === 'caller' ? 'caller-gone' : 'connection-closed';
  return {kind, cause: end};
}

/** The end of a connection whose socket reported `error`. */
export function endOfSocketError({
  syscall,
}: NodeJS.ErrnoException): ConnectionEnd {
  return syscall === 'write' ? 'write-failed' : 'caller-reset';
}
