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

export class CallerConnection {
  private readonly closed = new AbortController();
  /** Calls that were read, without those whose responses have ended. */
  private openCalls = 0;
  /** Resolves once the response to the last call that was read has ended. */
  private lastResponse: Promise<void> = Promise.resolve();
  private lastRequest: IncomingMessage | undefined;
  /** Bytes read when the last response ended; more of them begin a request. */
  private bytesReadAtEnd = 0;
  private endedAt = -Infinity;
  private isEnding = false;
  /** Response to bytes that are no request, behind the responses under way. */
  private errorResponse: string | undefined;
  private pendingEnd = new AbortController();

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    /** Whether no request may follow one whose response ends now. */
    private readonly isDraining: () => boolean,
  ) {
    socket.once('close', () => this.closed.abort());
    // Node calls this after a response that announced the end of the connection.
    socket.destroySoon = () => this.end();
  }

  /** Whether a call that was read waits for the response before it. */
  private get hasFurtherCall(): boolean {
    return this.openCalls > 1;
  }

  /**
   * Waits until the responses to earlier calls have ended. Resolves with whether the
   * connection can still carry a response.
   */
  async enter(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    this.pendingEnd.abort();
    this.openCalls += 1;
    this.lastRequest = request;
    const previous = this.lastResponse;
    this.lastResponse = new Promise(resolve => {
      response.once('close', () => {
        this.onResponseEnd();
        resolve();
      });
    });
    await untilAborted(previous, this.closed.signal);
    return !this.isEnding && !this.socket.destroyed;
  }

  /**
   * Announces the end of the connection in the head of `response`, unless a call
   * waits behind it. No further request is read: one that crosses the announcement
   * could not be answered, and unread bytes tell its caller that it can't have run.
   */
  announceEnd(response: ServerResponse): void {
    if (this.hasFurtherCall) return;
    response.setHeader('Connection', 'close');
    this.socket.pause();
  }

  /** Ends the connection unless a request is being read or answered. */
  endIfIdle(): void {
    const {bytesRead} = this.socket;
    if (this.openCalls > 0 || bytesRead > this.bytesReadAtEnd) return;
    if (this.clock.now() - this.endedAt > lingerMilliseconds)
      this.socket.destroy();
    else this.end();
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
    if (this.openCalls > (isIncomplete ? 1 : 0)) return;
    this.socket.write(this.errorResponse);
    this.end();
  }

  private onResponseEnd(): void {
    this.openCalls -= 1;
    this.bytesReadAtEnd = this.socket.bytesRead;
    this.endedAt = this.clock.now();
    this.endIfMalformed();
    if (this.openCalls === 0 && this.isDraining() && !this.isEnding)
      void this.endAfterLastRequest();
  }

  private async endAfterLastRequest(): Promise<void> {
    this.pendingEnd = new AbortController();
    const {signal} = this.pendingEnd;
    await this.clock.sleep(lastRequestMilliseconds, signal);
    if (!signal.aborted) this.end();
  }

  /**
   * Ends the connection behind the bytes written so far. Reads no further request:
   * its caller learns from the unread bytes that it can't have run.
   */
  private end(): void {
    if (this.isEnding) return;
    this.isEnding = true;
    const {socket, lastRequest} = this;
    const stopReading = () => socket.pause();
    if (lastRequest === undefined || lastRequest.readableEnded) stopReading();
    // The caller of an upload may read the response only after it has sent it.
    else lastRequest.once('end', stopReading).resume();
    socket.end(() => void this.destroyAfterLinger());
  }

  private async destroyAfterLinger(): Promise<void> {
    await this.clock.sleep(lingerMilliseconds, this.closed.signal);
    this.socket.destroy();
  }
}
