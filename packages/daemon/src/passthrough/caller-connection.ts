/**
 * A connection of a caller. Its calls are handled one after the other, because the
 * response to one may announce the end of the connection, and a later call would
 * then run without an answer. The end of the connection loses no bytes: a socket
 * that is closed with unread bytes resets the connection, and the reset overtakes
 * the response before it. The socket therefore stays open for some time.
 */

import {setMaxListeners} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {untilAborted} from '@persimmonwick/coordination';
import type {Cancellation, Clock} from '@persimmonwick/coordination';
import {CallerProbe, resetMilliseconds} from '../connections/caller-probe.js';
import type {AwaitedResponse} from '../connections/caller-probe.js';
import {headReadBytes, maximumReadBytes} from '../connections/caller-socket.js';
import type {CallerSocket} from '../connections/caller-socket.js';
import type {EventLoopMonitor} from '../connections/event-loop-monitor.js';
import {ReceiptEstimate} from '../connections/receipt-estimate.js';
import {cancellationBy, endOfSocketError} from './connection-end.js';
import type {ConnectionEnd} from './connection-end.js';

/** Least time for the last response to reach the caller. */
const lingerMilliseconds = 500;

/** Longest time for a slow caller to receive it, or to send the rest of an upload. */
const maximumLingerMilliseconds = 10_000;

/**
 * Time for one more request of a caller that was not told that its connection ends,
 * because the head of its response was sent before, or there was none yet.
 */
const lastRequestMilliseconds = 500;

/** Bytes that the system of a caller receives though the caller does not read. */
const receiveBufferBytes = 64 * 1024;

/** How far a call has come. */
export type CallProgress =
  /** Behind an earlier call on its connection. */
  | 'waiting'
  /** Its body is being received. */
  | 'receiving'
  /** It was sent to no upstream, or has failed at one and is sent again. */
  | 'queued'
  /** An upstream may have received it. */
  | 'sent'
  | 'responding';

/** A call that was read, and whose response has not ended. */
export interface OpenCall {
  /** Empty until the call is handled. */
  readonly requestId: string;
  /** Earliest clock time at which it can have arrived, in milliseconds. */
  readonly arrivedAt: number;
  /** Longest time that it can have lain unread, without the wait behind earlier calls. */
  readonly unreadMilliseconds: number;
  readonly progress: CallProgress;
  /** False if an upstream that has received the call is left to complete it. */
  readonly isCancelable: boolean;
  readonly response: ServerResponse;
}

/** How far the body of a call may be received. */
export interface BodyFlow {
  /** Bytes that may be received next; 0 to receive none until `continueBody`. */
  readonly allowedBytes: number;
  readonly isWaiting: boolean;
}

/** The end of a connection before all bytes of its caller were read. */
export interface UnreadInput {
  readonly reason: ConnectionEnd;
  /** Of the last call that was read. */
  readonly requestId: string;
  /** Time since the first unread byte arrived. */
  readonly durationMilliseconds: number;
  /** Undefined unless the host is stopping. */
  readonly millisecondsSinceStop: number | undefined;
}

/** The end of a connection before all calls on it were answered. */
export interface ConnectionLoss {
  readonly reason: ConnectionEnd;
  /** The calls that were read and not answered, in the order of arrival. */
  readonly calls: readonly OpenCall[];
  /** Time since the first of them arrived. */
  readonly durationMilliseconds: number;
  /** Undefined unless the host is stopping. */
  readonly millisecondsSinceStop: number | undefined;
}

export interface CallerConnectionParts {
  readonly clock: Clock;
  readonly monitor: EventLoopMonitor;
  /**
   * Clock time at which the host began to stop: no request may follow one whose
   * response ends later.
   */
  readonly stoppingSince: () => number | undefined;
  /** Receives for how long a call may have lain unread when it was read. */
  readonly onCallRead: (unreadMilliseconds: number) => void;
  readonly onLoss: (loss: ConnectionLoss) => void;
  readonly onUnread: (input: UnreadInput) => void;
}

export class CallerConnection {
  private readonly closed = new AbortController();
  private readonly openCalls: OpenCall[] = [];
  /** Resolves once the response to the last call that was read has ended. */
  private lastResponse: Promise<void> = Promise.resolve();
  /** The last call that was read, until it and its response have ended. */
  private lastCall: OpenCall | undefined;
  private lastRequestId = '';
  private callCount = 0;
  /** Bytes read with the head of the last call. */
  private bytesReadAtHead = 0;
  /** Bytes read when the last response ended; more of them begin a request. */
  private bytesReadAtEnd = 0;
  private endedAt = -Infinity;
  private readonly openedAt: number;
  private readonly receipt = new ReceiptEstimate();
  private isEnding = false;
  /** Earliest clock time at which the request that follows can have begun to arrive. */
  private nextArrival: number | undefined;
  private reason: ConnectionEnd | undefined;
  /** Response to bytes that are no request, behind the responses under way. */
  private errorResponse: string | undefined;
  /** Refuses a head that timed out behind the responses under way. */
  private refuseLateHead: (() => void) | undefined;
  private pendingEnd: AbortController | undefined;
  private readonly probe: CallerProbe;
  /** Whether the caller has ended its direction of the connection. */
  private isHalfClosed = false;
  private isWatchingUnread = false;
  /** Of the last call that was read, while its body is received. */
  private bodyFlow: BodyFlow | undefined;

  constructor(
    private readonly socket: CallerSocket,
    private readonly parts: CallerConnectionParts,
    /** Earliest clock time at which the caller can have opened it, if known. */
    private readonly earliestOpening?: number,
  ) {
    this.openedAt = parts.clock.now();
    this.probe = new CallerProbe(socket, parts.clock);
    // Each call that waits behind another adds one.
    setMaxListeners(0, this.closed.signal);
    // What is read behind a call could not be answered if the call ends the connection.
    socket.readBy({
      nextBytes: () => this.chooseReadBytes(),
      isInBody: () => this.lastRequest?.complete === false,
      mustWait: () => this.bodyFlow?.isWaiting === true,
      onHeld: () => void this.watchUnread(),
    });
    socket.on('timeout', () => void this.onTimeout());
    socket.once('error', error => this.onError(error));
    socket.once('end', () => void this.onHalfClose());
    socket.once('close', () => this.onClose());
    // Node calls this after a response that announced the end of the connection.
    socket.destroySoon = () => this.end('last-response');
  }

  /** Why calls on the connection are cancelled, once it has ended. */
  get cancellation(): Cancellation {
    return cancellationBy(this.endReason);
  }

  /**
   * Ends by callers show on the socket; all others are the host's. A caller that has
   * ended its direction and whose connection closes by itself has closed the other one.
   */
  private get endReason(): ConnectionEnd {
    return this.reason ?? (this.isHalfClosed ? 'caller-closed' : 'host-closed');
  }

  private get lastRequest(): IncomingMessage | undefined {
    return this.lastCall?.response.req;
  }

  private get isDraining(): boolean {
    return this.parts.stoppingSince() !== undefined;
  }

  /** The response to the call that was not read whole, if it has not ended. */
  get incompleteResponse(): ServerResponse | undefined {
    const response = this.openCalls.at(-1)?.response;
    return response?.req.complete === false ? response : undefined;
  }

  /** Whether the caller has ended its direction, or the whole connection. */
  get hasCallerEnded(): boolean {
    return this.isHalfClosed;
  }

  /** Whether the caller has written more behind the call under way, which is handled. */
  private get hasFurtherInput(): boolean {
    return this.openCalls.length > 1 || this.socket.isWaiting;
  }

  /**
   * Earliest clock time at which the request that is read now can have begun to arrive.
   * Its caller has waited since.
   */
  arrivalOfNext(): number {
    if (this.nextArrival !== undefined) return this.nextArrival;
    const {monitor} = this.parts;
    // What came with the connection waited as long as the connection itself.
    const isNew = monitor.polledAt <= this.openedAt;
    return Math.min(
      monitor.earliestArrival(),
      (isNew ? this.earliestOpening : undefined) ?? Infinity,
    );
  }

  /** Longest time for which the request that is read now can have lain unread. */
  unreadTimeOfNext(): number {
    // One that was held back waited for earlier calls.
    if (this.nextArrival !== undefined) return 0;
    return this.parts.clock.now() - this.arrivalOfNext();
  }

  /**
   * Waits until the responses to earlier calls have ended. Resolves with whether the
   * connection can still carry a response.
   */
  async enter(call: OpenCall): Promise<boolean> {
    // The error of an abort would refer to the call, by its stack.
    this.pendingEnd?.abort();
    this.pendingEnd = undefined;
    const isBehind = this.openCalls.push(call) > 1;
    const wasHeld = this.nextArrival !== undefined;
    if (!wasHeld) this.parts.onCallRead(call.unreadMilliseconds);
    this.nextArrival = undefined;
    this.lastCall = call;
    this.callCount += 1;
    this.bodyFlow = undefined;
    this.socket.beginBody();
    this.bytesReadAtHead = this.socket.bytesRead;
    const previous = this.lastResponse;
    this.lastResponse = new Promise(resolve => {
      call.response.once('close', () => {
        this.onResponseEnd(call);
        resolve();
      });
    });
    await untilAborted(previous, this.closed.signal);
    if (wasHeld) await this.untilRead();
    if (isBehind || wasHeld) await this.untilReading();
    return !this.isEnding && !this.socket.destroyed;
  }

  /**
   * Announces the end of the connection in the head of `response`, unless a request
   * waits behind it, read or not. No further request is handled: one that crosses the
   * announcement could not be answered, and a reset tells its caller that it can't have
   * run.
   */
  announceEnd(response: ServerResponse): void {
    if (this.hasFurtherInput) return;
    response.setHeader('Connection', 'close');
    this.socket.discard();
  }

  /** Reads no further request: none could be answered. */
  stopReading(): void {
    this.socket.discard();
  }

  /** Reads the body of the last call as `flow` allows. */
  startBody(flow: BodyFlow): void {
    this.bodyFlow = flow;
  }

  /** Reads on if the flow of the body has changed. */
  continueBody(): void {
    this.socket.readOn();
  }

  /** Reads what is left of the body without a bound. */
  endBody(flow: BodyFlow): void {
    if (this.bodyFlow !== flow) return;
    this.bodyFlow = undefined;
    this.socket.readOn();
  }

  /** Announces the end if no call may follow the one that `response` answers. */
  announceEndIfDue(response: ServerResponse): void {
    if (this.isDraining || this.isHalfClosed) this.announceEnd(response);
  }

  /** Ends the connection unless a request is being read or answered. */
  endIfIdle(): void {
    const {bytesRead} = this.socket;
    if (this.openCalls.length > 0 || bytesRead > this.bytesReadAtEnd) return;
    const now = this.parts.clock.now();
    // The first request of a new connection may not have been read yet.
    if (bytesRead === 0 && now - this.openedAt < lastRequestMilliseconds)
      return void this.endAfterLastRequest();
    const lingersUntil = Math.max(
      this.endedAt + lingerMilliseconds,
      this.estimateReceipt(),
    );
    if (now > lingersUntil) this.destroy('host-closed');
    else this.end('host-closed');
  }

  /** Closes the connection at once; `reason` holds unless there is an earlier one. */
  destroy(reason: ConnectionEnd): void {
    this.setReason(reason);
    const {socket, needsReset} = this;
    // Node can't reset a connection whose direction it is about to end.
    const isShuttingDown = socket.writableEnded && !socket.writableFinished;
    if ((socket.hasUnreadInput || needsReset) && !isShuttingDown)
      socket.resetAndDestroy();
    else socket.destroy();
  }

  /**
   * Closes the connection behind the last bytes that were written. A caller that was
   * told of the end may still receive its response, which a reset would cut off: what
   * it wrote behind its call is dropped then.
   */
  async close(reason: ConnectionEnd): Promise<void> {
    const {socket} = this;
    if (this.hasWrittenLastResponse && this.isReceiving()) {
      socket.dropInput();
      await this.untilRead();
    }
    this.destroy(reason);
  }

  private get hasWrittenLastResponse(): boolean {
    return this.openCalls.length === 0 && this.socket.writableLength === 0;
  }

  /** Whether more of a response is on its way than the caller's system holds. */
  private isReceiving(): boolean {
    this.estimateReceipt();
    const {clock} = this.parts;
    return this.receipt.outstandingBytes(clock.now()) > receiveBufferBytes;
  }

  /**
   * Ends the connection in the middle of a response. The reset that a close with
   * unread bytes causes would overtake the responses before it.
   */
  breakOff(reason: ConnectionEnd): void {
    // A caller that does not read would keep the connection open.
    if (this.socket.writableLength === 0) this.end(reason);
    else this.destroy(reason);
  }

  /**
   * Puts off the refusal of a head that timed out behind an open call, where the host
   * does not read it. Returns false if there is no such call.
   */
  deferTimeout(refuse: () => void): boolean {
    const [call] = this.openCalls;
    if (call?.response.req.complete !== true) return false;
    this.refuseLateHead = refuse;
    return true;
  }

  /**
   * Ends the connection after bytes that are no request. `errorResponse` is sent
   * once the responses under way have ended. Returns false if the connection ends
   * already.
   */
  endMalformed(errorResponse: string): boolean {
    if (this.isEnding || this.errorResponse !== undefined) return false;
    this.errorResponse = errorResponse;
    this.socket.discard();
    this.endIfMalformed();
    return true;
  }

  private endIfMalformed(): void {
    if (this.errorResponse === undefined || this.isEnding) return;
    // The malformed bytes are a part of it, and it gets no other response.
    const isIncomplete = this.lastRequest?.complete === false;
    if (this.openCalls.length > (isIncomplete ? 1 : 0)) return;
    this.socket.write(this.errorResponse);
    this.end('malformed');
  }

  private onResponseEnd(call: OpenCall): void {
    if (this.socket.destroyed) return;
    this.openCalls.splice(this.openCalls.indexOf(call), 1);
    this.forgetIfReceived(call);
    this.bytesReadAtEnd = this.socket.bytesHandedOn;
    this.endedAt = this.parts.clock.now();
    this.estimateReceipt();
    this.endIfMalformed();
    if (!this.isEnding) void this.readBehind();
    const isIdle = this.openCalls.length === 0;
    if (isIdle && this.isDraining && !this.isEnding)
      void this.endAfterLastRequest();
  }

  /** An idle connection holds nothing of its last call, which may be large. */
  private forgetIfReceived(call: OpenCall): void {
    const {complete, readableEnded} = call.response.req;
    if (this.lastCall !== call || !complete || !readableEnded) return;
    this.lastRequestId = call.requestId;
    this.lastCall = undefined;
  }

  /** Reads what the caller has written behind a call that has ended. */
  private async readBehind(): Promise<void> {
    const {callCount} = this;
    const wasLast = this.openCalls.length === 0;
    const arrival = this.socket.heldAt;
    this.nextArrival = arrival;
    this.socket.release();
    // A request whose head is not among what has waited may be written much later.
    await this.untilRead();
    if (this.nextArrival === arrival) this.nextArrival = undefined;
    const {refuseLateHead} = this;
    this.refuseLateHead = undefined;
    if (refuseLateHead === undefined) return;
    // The head had timed out before it could be read.
    await this.sleepAndRead(lastRequestMilliseconds, this.closed.signal);
    if (wasLast && this.callCount === callCount) refuseLateHead();
  }

  /** Resolves once all that has arrived is read, with the end behind it. */
  private async untilRead(): Promise<void> {
    await setImmediate();
    await setImmediate();
  }

  private async endAfterLastRequest(): Promise<void> {
    this.pendingEnd = new AbortController();
    const {signal} = this.pendingEnd;
    await this.sleepAndRead(lastRequestMilliseconds, signal);
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
    if (this.needsReset) void this.destroyAfterLinger(reason);
    else socket.end(() => void this.destroyAfterLinger(reason));
  }

  /**
   * Whether only a reset tells that the response under way is not complete: it has no
   * frame, or ends in a zero, which lenient callers take for the last chunk.
   */
  private get needsReset(): boolean {
    const response = this.openCalls[0]?.response;
    if (response?.headersSent !== true || response.writableFinished)
      return false;
    return !isFramed(response) || this.probe.isInsideSize;
  }

  /**
   * Waits for a caller that is slow to receive the last response, and for an upload
   * that goes on: it may have to end before its caller reads.
   */
  private async destroyAfterLinger(reason: ConnectionEnd): Promise<void> {
    const {socket, closed} = this;
    const {clock} = this.parts;
    const latest = clock.now() + maximumLingerMilliseconds;
    const receivedAt = this.estimateReceipt();
    let hasReadMore: boolean;
    do {
      const {bytesRead} = socket;
      await this.sleepAndRead(lingerMilliseconds, closed.signal);
      hasReadMore = socket.bytesRead > bytesRead;
    } while (
      !closed.signal.aborted &&
      clock.now() < latest &&
      (hasReadMore || clock.now() < receivedAt)
    );
    await this.close(reason);
  }

  /** Resolves after `milliseconds`, once the bytes that came until then are read. */
  private async sleepAndRead(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.parts.clock.sleep(milliseconds, signal);
    // Timers that expired while the process paused run before its sockets are read.
    await setImmediate();
  }

  /** Clock time by which the caller has received all that was written. */
  private estimateReceipt(): number {
    return this.receipt.update(
      this.socket.bytesWritten,
      this.parts.clock.now(),
    );
  }

  /**
   * Waits until the caller would have reset the connection if it had not read the
   * response before.
   */
  private async untilReading(): Promise<void> {
    const {probe, closed} = this;
    if (!this.isHalfClosed || this.isEnding) return;
    await this.parts.clock.sleep(resetMilliseconds, closed.signal);
    if (!closed.signal.aborted)
      await untilAborted(probe.isConnected(), closed.signal);
  }

  /**
   * A caller that has ended its direction may still read. The calls of one that has
   * closed the connection are cancelled once it is found out.
   */
  private async onHalfClose(): Promise<void> {
    const {socket, probe, closed} = this;
    this.isHalfClosed = true;
    // Connections between hosts are closed in both directions at once.
    if (!socket.allowHalfOpen) return;
    const canProbe = await probe.run(
      () => this.findAwaitedResponse(),
      closed.signal,
    );
    if (!canProbe) this.destroy('half-closed');
  }

  /** How far to read, which is not beyond the call in front once that is complete. */
  private chooseReadBytes(): number {
    if (this.openCalls[0]?.response.req.complete === true) return 0;
    const {lastRequest: request} = this;
    if (request === undefined || request.complete)
      return this.isEnding ? 0 : headReadBytes;
    const read = this.socket.bytesRead - this.bytesReadAtHead;
    const length = request.headers['content-length'];
    // The end of a body in chunks shows only when it is read.
    const left =
      length === undefined
        ? Math.max(headReadBytes, read)
        : Math.max(1, Number(length) - read);
    return Math.min(maximumReadBytes, left, this.allowedBytes);
  }

  /** How much may be read of a body; its last chunk follows what is granted for it. */
  private get allowedBytes(): number {
    if (this.bodyFlow !== undefined)
      return Math.max(headReadBytes, this.bodyFlow.allowedBytes);
    return this.lastCall?.progress === 'waiting' ? headReadBytes : Infinity;
  }

  /** Finds out that the caller has left behind bytes that are not read. */
  private async watchUnread(): Promise<void> {
    if (this.isWatchingUnread) return;
    this.isWatchingUnread = true;
    const {probe, closed, socket} = this;
    await probe.watch(
      () =>
        socket.heldAt === undefined ? undefined : this.findAwaitedResponse(),
      closed.signal,
    );
    this.isWatchingUnread = false;
  }

  private findAwaitedResponse(): AwaitedResponse | undefined {
    const [call] = this.openCalls;
    if (call === undefined || this.isEnding) return undefined;
    const {response, isCancelable, progress} = call;
    const isAtUpstream =
      progress === 'sent' ||
      (progress === 'responding' && !response.headersSent);
    return {response, isProbed: isCancelable || !isAtUpstream};
  }

  private setReason(reason: ConnectionEnd): void {
    this.reason ??= reason;
  }

  private onError(error: Error): void {
    this.setReason(
      // The system of a caller that has closed answers bytes with a reset.
      this.isHalfClosed ? 'caller-closed' : endOfSocketError(error),
    );
  }

  private async onTimeout(): Promise<void> {
    const {socket} = this;
    const {bytesRead} = socket;
    // A request may have come while the process paused.
    if (!socket.destroyed) await setImmediate();
    if (socket.bytesRead === bytesRead) this.destroy('idle-timeout');
  }

  private onClose(): void {
    this.closed.abort();
    const {openCalls: calls, endReason: reason} = this;
    const {lastCall, lastRequestId} = this;
    const {clock, stoppingSince, onLoss, onUnread} = this.parts;
    const now = clock.now();
    const stoppedAt = stoppingSince();
    const millisecondsSinceStop =
      stoppedAt === undefined ? undefined : now - stoppedAt;
    const {heldAt} = this.socket;
    if (heldAt !== undefined)
      onUnread({
        reason,
        requestId: lastCall?.requestId ?? lastRequestId,
        durationMilliseconds: now - heldAt,
        millisecondsSinceStop,
      });
    const [first] = calls;
    if (first === undefined) return;
    onLoss({
      reason,
      calls,
      durationMilliseconds: now - first.arrivedAt,
      millisecondsSinceStop,
    });
  }
}

function isFramed(response: ServerResponse): boolean {
  return response.chunkedEncoding || response.hasHeader('content-length');
}
