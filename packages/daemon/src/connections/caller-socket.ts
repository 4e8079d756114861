/**
 * Connection of a caller that reads no further than the call under way. What its
 * caller writes behind the call stays with the system until the call has ended: if
 * the connection ends before, the close with unread bytes resets it, which tells the
 * caller that its request can't have run. One byte is read ahead, because the end of
 * the connection is noticed in reads alone.
 */

import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';
import type {BodyReadShare, BodyReadTurns} from './body-read-turns.js';
import type {EventLoopMonitor} from './event-loop-monitor.js';

/** Longest read, which is that of Node. */
export const maximumReadBytes = 64 * 1024;

/** Read at first: less than a request, so that none is read whole behind another one. */
export const headReadBytes = 128;

// All sockets share it, because the HTTP parser copies what it keeps.
const readBuffer = Buffer.allocUnsafeSlow(maximumReadBytes);

/** What is read of a connection, as decided by its user. */
export interface ReadPlan {
  /**
   * Returns how many bytes of a request to read next, up to `maximumReadBytes`; 0 while
   * nothing may be read but the byte ahead. Asked after each read.
   */
  readonly nextBytes: () => number;
  /** Whether the body of a request is read next, or dropped. */
  readonly isInBody: () => boolean;
  /** Whether nothing may be read before `readOn` is called. */
  readonly mustWait: () => boolean;
  /** Called when the byte ahead was read: reads no longer show the end. */
  readonly onHeld: () => void;
}

/** The part of a socket that Node does not document. */
interface AcceptedSocket {
  _handle: unknown;
}

type ReadMode =
  | 'planned'
  /** Nothing but the byte ahead is read any more. */
  | 'stopped'
  /** What is read is dropped. */
  | 'dropping';

interface Reader {
  plan: ReadPlan;
  /** Bytes of a read that leave time for other connections. */
  turnBytes: () => number;
  /** Returns whether to go on reading. */
  onBytes: (bytes: Buffer) => boolean;
}

/** Until there is a plan. */
const unplanned: ReadPlan = {
  nextBytes: () => headReadBytes,
  isInBody: () => false,
  mustWait: () => false,
  onHeld: () => undefined,
};

export class CallerSocket extends Socket {
  /** The byte read ahead, which nobody has received, and when it can have arrived. */
  private held: {readonly bytes: Buffer; readonly at: number} | undefined;
  private mode: ReadMode = 'planned';
  private readonly share: BodyReadShare;
  /** Whether nothing is read until its turn comes, or its plan allows it. */
  private isSuspended = false;
  /** Whether its user has paused it, whatever is read. */
  private isPausedByUser = false;

  private constructor(
    accepted: Socket,
    private readonly monitor: EventLoopMonitor,
    turns: BodyReadTurns,
    private readonly reader: Reader,
  ) {
    const options = {
      handle: (accepted as unknown as AcceptedSocket)._handle,
      allowHalfOpen: accepted.allowHalfOpen,
      onread: {
        buffer: () => {
          // Node asks after a read for the buffer of the next one.
          const bytes = Math.min(reader.plan.nextBytes(), reader.turnBytes());
          return readBuffer.subarray(0, Math.max(1, bytes));
        },
        callback: (count: number, buffer: Uint8Array) =>
          reader.onBytes(buffer.subarray(0, count) as Buffer),
      },
    };
    // The types of Node omit the option `handle`.
    super(options as unknown as SocketConstructorOpts);
    reader.onBytes = bytes => this.onBytes(bytes);
    this.share = turns.open(() => this.readOn());
    reader.turnBytes = () => this.share.readBytes;
    this.once('close', () => this.share.close());
    (accepted as unknown as AcceptedSocket)._handle = null;
    // The server that has accepted it counts its open sockets.
    this.once('close', () => accepted.destroy());
  }

  /** Bytes read without the byte ahead. */
  get bytesHandedOn(): number {
    return this.bytesRead - (this.held === undefined ? 0 : 1);
  }

  private get isHolding(): boolean {
    return this.reader.plan.nextBytes() === 0;
  }

  /** Takes the connection of `accepted` over, which is not to be used any more. */
  static takeOver(
    accepted: Socket,
    monitor: EventLoopMonitor,
    turns: BodyReadTurns,
  ): CallerSocket {
    return new CallerSocket(accepted, monitor, turns, {
      plan: unplanned,
      turnBytes: () => maximumReadBytes,
      onBytes: () => true,
    });
  }

  /**
   * Earliest clock time at which the caller can have begun to write what nobody has
   * received; undefined if there is nothing.
   */
  get heldAt(): number | undefined {
    return this.held?.at;
  }

  /** Whether that is handed on later. */
  get isWaiting(): boolean {
    return this.held !== undefined && this.mode === 'planned';
  }

  /** Reads by `plan` from the next read on. */
  readBy(plan: ReadPlan): void {
    this.reader.plan = {
      ...plan,
      nextBytes: () => {
        switch (this.mode) {
          case 'planned':
            return plan.nextBytes();
          case 'stopped':
            return 0;
          case 'dropping':
            return maximumReadBytes;
        }
      },
    };
  }

  /** Reads on, if the plan allows it again. */
  release(): void {
    const {held} = this;
    if (held === undefined || this.isHolding) return;
    this.held = undefined;
    this.emit('data', held.bytes);
    this.resume();
  }

  /** Hands nothing on from now on, and reads the byte ahead alone. */
  discard(): void {
    this.mode = 'stopped';
  }

  /** Reads all that comes from now on and drops it: the close then resets nothing. */
  dropInput(): void {
    this.mode = 'dropping';
    this.isSuspended = false;
    this.resume();
  }

  /** Whether a close resets the connection because of bytes that nobody has received. */
  get hasUnreadInput(): boolean {
    return this.held !== undefined && this.mode !== 'dropping';
  }

  /** Node resumes sockets whose requests have been read. */
  override resume(): this {
    this.isPausedByUser = false;
    return this.hasUnreadInput || this.isSuspended ? this : super.resume();
  }

  override pause(): this {
    this.isPausedByUser = true;
    return super.pause();
  }

  /** Records that another body follows on the connection. */
  beginBody(): void {
    this.share.restart();
  }

  /** Reads on after a wait, if the plan and the turns of the event loop allow it. */
  readOn(): void {
    if (!this.isSuspended || this.destroyed || !this.mayReadOn()) return;
    if (!this.isPausedByUser) this.resume();
  }

  private mayReadOn(): boolean {
    const {plan} = this.reader;
    this.isSuspended =
      plan.isInBody() && (plan.mustWait() || !this.share.take());
    return !this.isSuspended;
  }

  /** Returns whether to go on reading. */
  private onBytes(bytes: Buffer): boolean {
    this.monitor.recordRead();
    if (this.isHolding) {
      const at = this.monitor.earliestArrival();
      this.held = {bytes: Buffer.from(bytes), at};
      this.reader.plan.onHeld();
      return false;
    }
    if (this.mode === 'dropping') return true;
    const startedAt = performance.now();
    this.emit('data', bytes);
    if (!this.reader.plan.isInBody()) return true;
    this.share.record(performance.now() - startedAt);
    return this.mayReadOn();
  }
}
