/**
 * TCP connection to an upstream whose reading can be paused below the HTTP
 * client. The client's own pause leaves its parser in a state in which the end
 * or a reset of a connection ends the process, if the response has no length.
 */

import {Socket} from 'node:net';
import type {SocketConstructorOpts} from 'node:net';

/** Bytes that the socket buffers before it stops reading. */
const highWaterMark = 64 * 1024;

const keepAliveDelayMilliseconds = 60_000;

export class UpstreamSocket extends Socket {
  private isReadingPaused = false;

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
    const timer = setTimeout(
      () => this.destroy(new Error(`no connection to ${host}:${port}`)),
      timeoutMilliseconds,
    );
    const clear = () => clearTimeout(timer);
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

  /** Ends a pause without reading, when the response that paused has ended. */
  clearPause(): void {
    this.isReadingPaused = false;
  }

  override read(size?: number): unknown {
    // The stream reads 0 bytes to start reading and to detect its end.
    if (this.isReadingPaused && size !== 0) return null;
    return super.read(size);
  }
}
