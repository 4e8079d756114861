/**
 * Connection of a caller that reads no further than the call under way. What its
 * caller writes behind the call stays with the system until the call has ended: if
 * the connection ends before, the close with unread bytes resets it, which tells the
 * caller that its request can't have run. One byte is read ahead, because the end of
 * the connection is noticed in reads alone.
 */

import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';

/** Bytes read at once; as many as Node reads by itself. */
const readBytes = 64 * 1024;

// All sockets share these, because the HTTP parser copies what it keeps.
const readBuffer = Buffer.allocUnsafeSlow(readBytes);
const readAheadBuffer = Buffer.allocUnsafeSlow(1);

/** The part of a socket that Node does not document. */
interface AcceptedSocket {
  _handle: unknown;
}

interface Reader {
  /** Whether only one byte may be read. */
  isHolding: () => boolean;
  /** Called once that byte was read, with which the reading ends. */
  onHeld: () => void;
  /** Returns whether to go on reading. */
  onBytes: (bytes: Buffer) => boolean;
}

export class CallerSocket extends Socket {
  /** The byte read ahead, which nobody has received, and the clock time of the read. */
  private held: {readonly bytes: Buffer; readonly at: number} | undefined;
  private isDiscarding = false;
  private isDropping = false;

  private constructor(
    accepted: Socket,
    private readonly clock: Clock,
    private readonly reader: Reader,
  ) {
    const options = {
      handle: (accepted as unknown as AcceptedSocket)._handle,
      allowHalfOpen: accepted.allowHalfOpen,
      onread: {
        buffer: () => (reader.isHolding() ? readAheadBuffer : readBuffer),
        callback: (count: number, buffer: Uint8Array) =>
          reader.onBytes(buffer.subarray(0, count) as Buffer),
      },
    };
    // The types of Node omit the option `handle`.
    super(options as unknown as SocketConstructorOpts);
    reader.onBytes = bytes => this.onBytes(bytes);
    (accepted as unknown as AcceptedSocket)._handle = null;
    // The server that has accepted it counts its open sockets.
    this.once('close', () => accepted.destroy());
  }

  /** Takes the connection of `accepted` over, which is not to be used any more. */
  static takeOver(accepted: Socket, clock: Clock): CallerSocket {
    return new CallerSocket(accepted, clock, {
      isHolding: () => false,
      onHeld: () => undefined,
      onBytes: () => true,
    });
  }

  /**
   * Clock time at which the caller began to write what nobody has received; undefined
   * if there is nothing.
   */
  get heldAt(): number | undefined {
    return this.held?.at;
  }

  /**
   * Reads ahead only while `isCallOpen`, which is asked after each read. `onHeld` is
   * called with each byte read ahead: the end of the connection is not noticed from
   * then on.
   */
  holdWhile(isCallOpen: () => boolean, onHeld: () => void): void {
    this.reader.isHolding = () => this.isDiscarding || isCallOpen();
    this.reader.onHeld = onHeld;
  }

  /**
   * Reads on once no call is open any more. Returns the clock time at which the caller
   * began to write behind the last one; undefined if it did not.
   */
  release(): number | undefined {
    const {held} = this;
    if (held === undefined || this.reader.isHolding()) return undefined;
    this.held = undefined;
    this.emit('data', held.bytes);
    this.resume();
    return held.at;
  }

  /** Hands nothing on from now on. */
  discard(): void {
    this.isDiscarding = true;
  }

  /** Reads all that comes from now on and drops it: the close then resets nothing. */
  dropInput(): void {
    this.isDropping = true;
    this.reader.isHolding = () => false;
    this.resume();
  }

  /** Whether a close resets the connection because of bytes that nobody has received. */
  get hasUnreadInput(): boolean {
    return this.held !== undefined && !this.isDropping;
  }

  /** Node resumes sockets whose requests have been read. */
  override resume(): this {
    return this.held === undefined || this.isDropping ? super.resume() : this;
  }

  /** Returns whether to go on reading. */
  private onBytes(bytes: Buffer): boolean {
    if (this.isDropping) return true;
    if (this.reader.isHolding()) {
      this.held = {bytes: Buffer.from(bytes), at: this.clock.now()};
      this.reader.onHeld();
      return false;
    }
    this.emit('data', bytes);
    return true;
  }
}
