/**
 * A connection of a caller. Its calls are handled one after the other, because the
 * response to one may announce the end of the connection, and a later call would
 * then run without an answer. The end of the connection loses no bytes: a socket
 * that is closed with unread bytes resets the connection, and the reset overtakes
 * the response before it. The socket therefore stays open for some time.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {untilAborted} from '@persimmonwick/coordination';
import type {Clock} from '@persimmonwick/coordination';

/** Time for the last response to reach the caller. */
const lingerMilliseconds = 500;

/**
 * Time for one more request of a caller that was not told that its connection ends,
 * because the head of its response was sent before.
 */
const lastRequestMilliseconds = 500;

/** Why a connection ends. */
export type ConnectionEnd =
  /** The caller ended its direction, or closed the connection. */
  | 'caller-ended'
  /** The caller or the network reset the connection. */
  | 'caller-reset'
  /** The caller left the connection idle, or did not read a response. */
  | 'idle-timeout'
  /** The caller sent bytes that are no request. */
  | 'malformed'
  /** A response was broken off, which must not look complete. */
  | 'broken-response'
  /** A response announced the end of the connection. */
  | 'last-response'
  /** The host has stopped. */
  | 'host-closed';

/** How far a call has come. */
export type CallProgress =
  /** Behind an earlier call on its connection. */
  | 'waiting'
  /** Its body is being received. */
  | 'receiving'
  /** Waits for an upstream, or was sent to one. */
  | 'forwarded'
  | 'responding';

/** A call that was read, and whose response has not ended. */
export interface OpenCall {
  /** Empty until the call is handled. */
  readonly requestId: string;
  readonly progress: CallProgress;
}

/** The end of a connection before all calls on it were answered. */
export interface ConnectionLoss {
  readonly reason: ConnectionEnd;
  /** The calls that were read and not answered, in the order of arrival. */
  readonly calls: readonly OpenCall[];
}

export interface CallerConnectionParts {
  readonly clock: Clock;
  /** Whether no request may follow one whose response ends now. */
  readonly isDraining: () => boolean;
  readonly onLoss: (loss: ConnectionLoss) => void;
}

export class CallerConnection {
  private readonly closed = new AbortController();
  private readonly openCalls: OpenCall[] = [];
  /** Resolves once the response to the last call that was read has ended. */
  private lastResponse: Promise<void> = Promise.resolve();
  private lastRequest: IncomingMessage | undefined;
  /** Bytes read when the last response ended; more of them begin a request. */
  private bytesReadAtEnd = 0;
  private endedAt = -Infinity;
  private isEnding = false;
  private reason: ConnectionEnd | undefined;
  /** Response to bytes that are no request, behind the responses under way. */
  private errorResponse: string | undefined;
  private pendingEnd = new AbortController();

  constructor(
    private readonly socket: Socket,
    private readonly parts: CallerConnectionParts,
  ) {
    socket.once('timeout', () => this.setReason('idle-timeout'));
    socket.once('end', () => this.setReason('caller-ended'));
    socket.once('error', () => this.setReason('caller-reset'));
    socket.once('close', () => this.onClose());
    // Node calls this after a response that announced the end of the connection.
    socket.destroySoon = () => this.end('last-response');
  }

  /** Whether a call that was read waits for the response before it. */
  get hasFurtherCall(): boolean {
    return this.openCalls.length > 1;
  }

  /**
   * Waits until the responses to earlier calls have ended. Resolves with whether the
   * connection can still carry a response.
   */
  async enter(
    request: IncomingMessage,
    response: ServerResponse,
    call: OpenCall,
  ): Promise<boolean> {
    this.pendingEnd.abort();
    this.openCalls.push(call);
    this.lastRequest = request;
    const previous = this.lastResponse;
    this.lastResponse = new Promise(resolve => {
      response.once('close', () => {
        this.onResponseEnd(call);
        resolve();
      });
    });
    await untilAborted(previous, this.closed.signal);
    return !this.isEnding && !this.socket.destroyed;
  }

  /** Ends the connection unless a request is being read or answered. */
  endIfIdle(): void {
    const {bytesRead} = this.socket;
    if (this.openCalls.length > 0 || bytesRead > this.bytesReadAtEnd) return;
    if (this.parts.clock.now() - this.endedAt > lingerMilliseconds)
      this.destroy('host-closed');
    else this.end('host-closed');
  }

  /** Closes the connection at once; `reason` holds unless there is an earlier one. */
  destroy(reason: ConnectionEnd): void {
    this.setReason(reason);
    this.socket.destroy();
  }

  /**
   * Ends the connection after bytes that are no request. `errorResponse` is sent
   * once the responses under way have ended.
   */
  endMalformed(errorResponse: string): void {
    if (this.isEnding || this.errorResponse !== undefined) return;
    this.errorResponse = errorResponse;
    this.socket.pause();
    this.endIfMalformed();
  }

  private endIfMalformed(): void {
    if (this.errorResponse === undefined) return;
    // The malformed bytes are a part of it, and it gets no other response.
    const isIncomplete = this.lastRequest?.complete === false;
    if (this.openCalls.length > (isIncomplete ? 1 : 0)) return;
    this.socket.write(this.errorResponse);
    this.end('malformed');
  }

  private onResponseEnd(call: OpenCall): void {
    if (this.socket.destroyed) return;
    this.openCalls.splice(this.openCalls.indexOf(call), 1);
    this.bytesReadAtEnd = this.socket.bytesRead;
    this.endedAt = this.parts.clock.now();
    this.endIfMalformed();
    const isIdle = this.openCalls.length === 0;
    if (isIdle && this.parts.isDraining() && !this.isEnding)
      void this.endAfterLastRequest();
  }

  private async endAfterLastRequest(): Promise<void> {
    this.pendingEnd = new AbortController();
    const {signal} = this.pendingEnd;
    await this.parts.clock.sleep(lastRequestMilliseconds, signal);
    if (!signal.aborted) this.end('host-closed');
  }

  /**
   * Ends the connection behind the bytes written so far. Reads no further request:
   * its caller learns from the unread bytes that it can't have run.
   */
  private end(reason: ConnectionEnd): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.setReason(reason);
    const {socket, lastRequest} = this;
    const stopReading = () => socket.pause();
    if (lastRequest === undefined || lastRequest.readableEnded) stopReading();
    // The caller of an upload may read the response only after it has sent it.
    else lastRequest.once('end', stopReading).resume();
    socket.end(() => void this.destroyAfterLinger());
  }

  private async destroyAfterLinger(): Promise<void> {
    await this.parts.clock.sleep(lingerMilliseconds, this.closed.signal);
    this.socket.destroy();
  }

  private setReason(reason: ConnectionEnd): void {
    this.reason ??= reason;
  }

  private onClose(): void {
    this.closed.abort();
    const {reason = 'caller-reset', openCalls: calls} = this;
    if (calls.length > 0) this.parts.onLoss({reason, calls});
  }
}
