/**
 * TCP connection to an upstream whose reading can be paused below the HTTP
 * client. The client's own pause leaves its parser in a state in which the end
 * or a reset of a connection ends the process, if the response has no length.
 */

import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';
import {PauseAwareTimeout} from './pause-aware-timeout.js';

/**
 * Bytes without the end of a head and without data of a body after which a
 * response is given up. They include informational responses, status texts,
 * blank lines and chunk extensions, to which the HTTP client's limit on headers
 * does not apply.
 */
const maximumFramingBytes = 64 * 1024;

/** Bytes that the socket buffers before it stops reading. */
const highWaterMark = 64 * 1024;

const keepAliveDelayMilliseconds = 60_000;

export class UpstreamSocket extends Socket {
  private isReadingPaused = false;
  /** Bytes read since the last end of a head or data of a body. */
  private framingBytes = 0;

  constructor() {
    // The types of Node omit the options of the stream.
    super({highWaterMark} as SocketConstructorOpts);
    this.setNoDelay(true);
    this.setKeepAlive(true, keepAliveDelayMilliseconds);
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
    if (!this.destroyed) this.emit('readable');
  }

  /** Records that a final head or data of a body has arrived. */
  recordProgress(): void {
    this.framingBytes = 0;
  }

  /**
   * Ends a response. A pause that it left ends without a read, because the HTTP
   * client is reading.
   */
  endResponse(): void {
    this.isReadingPaused = false;
    this.framingBytes = 0;
  }

  override read(size?: number): unknown {
    // The stream reads 0 bytes to start reading and to detect its end.
    if (size === 0) return super.read(size);
    if (this.isReadingPaused) return null;
    // The client has parsed all bytes that are counted.
    if (this.framingBytes > maximumFramingBytes) {
      this.destroy(new Error('the response has no end of its head or no data'));
      return null;
    }
    const chunk = super.read(size) as Buffer | null;
    this.framingBytes += chunk?.length ?? 0;
    return chunk;
  }
}
