/**
 * TCP connection to an upstream whose reading can be paused below the HTTP
 * client. The client's own pause leaves its parser in a state in which the end
 * or a reset of a connection ends the process, if the response has no length.
 */

import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';
import {PauseAwareTimeout} from './pause-aware-timeout.js';
import type {ReadTurns, TurnShare} from './read-turns.js';

/**
 * Bytes of framing in excess after which a response is given up. They include
 * informational responses, status texts, blank lines and chunk extensions, to which
 * the HTTP client's limit on headers does not apply.
 */
const maximumExcessBytes = 64 * 1024;

/** Bytes on the wire for a byte of a body beyond which framing is in excess. */
const maximumBytesPerBodyByte = 3;

/**
 * Excess that is forgiven in a millisecond, so that slow streams of single characters
 * may last.
 */
const forgivenExcessBytes = 16;

/** Bytes that the socket buffers before it stops reading. */
const highWaterMark = 16 * 1024;

const keepAliveDelayMilliseconds = 60_000;

export class UpstreamSocket extends Socket {
  private isReadingPaused = false;
  /** Bytes of framing beyond those that heads and data of bodies justify. */
  private excessBytes = 0;
  private excessAt = performance.now();
  private readonly share: TurnShare;

  constructor(turns: ReadTurns) {
    // The types of Node omit the options of the stream.
    super({highWaterMark} as SocketConstructorOpts);
    this.setNoDelay(true);
    this.setKeepAlive(true, keepAliveDelayMilliseconds);
    this.share = turns.open({read: () => this.offer()});
    this.once('close', () => this.share.close());
  }

  /**
   * Connects to `host` and `port`. Destroys the socket with an error when
   * `timeoutMilliseconds` pass before it is connected.
   */
  open(host: string, port: number, timeoutMilliseconds: number): this {
    const timeout = new PauseAwareTimeout(timeoutMilliseconds, () =>
      this.destroy(new Error(`no connection to ${host}:${port}`)),
    );
    const clear = () => timeout.clear();
    return this.once('connect', clear).once('close', clear).connect(port, host);
  }

  /** Returns no bytes until `resumeReading` is called. */
  pauseReading(): void {
    this.isReadingPaused = true;
  }

  resumeReading(): void {
    if (!this.isReadingPaused) return;
    this.isReadingPaused = false;
    this.offer();
  }

  /** Records that a final head has arrived. */
  recordHead(): void {
    this.excessBytes = 0;
  }

  /** Records that data of a body has arrived. */
  recordData(bytes: number): void {
    this.excessBytes -= bytes * maximumBytesPerBodyByte;
    this.share.recordChunk();
  }

  /**
   * Ends a response. A pause that it left ends without a read, because the HTTP
   * client is reading.
   */
  endResponse(): void {
    this.isReadingPaused = false;
    this.excessBytes = 0;
  }

  override read(size?: number): unknown {
    // The stream reads 0 bytes to start reading and to detect its end.
    if (size === 0) return super.read(size);
    if (this.isReadingPaused) return null;
    // The client has parsed all bytes that are counted.
    if (this.hasExcessFraming()) {
      this.destroy(new Error('the framing of the response has no bound'));
      return null;
    }
    const available = this.readableLength;
    // A read of nothing lets the stream end or ask for more.
    if (available === 0) return super.read(size);
    const allowed = this.share.take();
    if (allowed === 0) return null;
    const chunk = super.read(
      Math.min(size ?? available, available, allowed),
    ) as Buffer | null;
    this.excessBytes += chunk?.length ?? 0;
    this.share.recordBytes(chunk?.length ?? 0);
    return chunk;
  }

  private hasExcessFraming(): boolean {
    const now = performance.now();
    const forgiven = (now - this.excessAt) * forgivenExcessBytes;
    this.excessAt = now;
    this.excessBytes = Math.max(0, this.excessBytes);
    if (this.excessBytes > maximumExcessBytes) return true;
    this.excessBytes = Math.max(0, this.excessBytes - forgiven);
    return false;
  }

  /** Lets the HTTP client read what has arrived. */
  private offer(): void {
    if (!this.destroyed) this.emit('readable');
  }
}
