/**
 * Finds out whether a caller that has ended its direction of the connection still
 * reads. One that has closed the connection looks the same until bytes are sent to it,
 * which its system answers with a reset.
 */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';

/** Time in which the bytes of a probe are answered with a reset. */
export const resetMilliseconds = 100;

/**
 * Time between the end of a caller's direction and the first look for a reset; those
 * that follow are twice as far apart each, up to `resetMilliseconds`.
 */
const firstCheckMilliseconds = 5;

/** Time after which a caller whose response has not begun gets an interim one. */
const interimResponseMilliseconds = 60;

/** The response that the caller waits for. */
export interface AwaitedResponse {
  readonly response: ServerResponse;
  /** False if its call is completed even if the caller is gone. */
  readonly isProbed: boolean;
}

export class CallerProbe {
  private readonly probed = new WeakSet<ServerResponse>();
  private bytesWritten: number;
  /** Bytes written up to the last probe within a response in chunks. */
  private probeEnd: number | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
  ) {
    this.bytesWritten = socket.bytesWritten;
  }

  /** Whether the size of a chunk has begun and nothing was written behind it. */
  get isInsideSize(): boolean {
    return this.socket.bytesWritten === this.probeEnd;
  }

  /**
   * Probes until `findAwaited` returns undefined or the connection is closed. Returns
   * false if it can't be found out whether the caller still reads.
   */
  async run(
    findAwaited: () => AwaitedResponse | undefined,
    closed?: AbortSignal,
  ): Promise<boolean> {
    let wait = firstCheckMilliseconds;
    let waited = 0;
    while (!this.socket.destroyed) {
      const awaited = findAwaited();
      if (awaited === undefined) return true;
      const {response, isProbed} = awaited;
      const isDue =
        response.headersSent || waited > interimResponseMilliseconds;
      if (isProbed && isDue && !this.send(response)) return false;
      await this.clock.sleep(wait, closed);
      if (this.socket.writableLength === 0) void this.isConnected();
      waited += wait;
      wait = Math.min(2 * wait, resetMilliseconds);
    }
    return true;
  }

  /**
   * Resolves with whether the connection has not been reset. A reset of a connection
   * that was read to its end is only reported to writes.
   */
  isConnected(): Promise<boolean> {
    const {socket} = this;
    if (!socket.writable) return Promise.resolve(!socket.destroyed);
    return new Promise(resolve => socket.write('', error => resolve(!error)));
  }

  /**
   * Sends bytes that do not change the response that is under way, at most once for
   * each, and not if others were sent since the last time. Returns false if there is
   * no way to.
   */
  private send(response: ServerResponse): boolean {
    const {bytesWritten} = this.socket;
    const isQuiet = bytesWritten === this.bytesWritten;
    this.bytesWritten = bytesWritten;
    if (!isQuiet || this.probed.has(response)) return true;
    this.probed.add(response);
    if (!response.headersSent) {
      // Interim responses exist since HTTP/1.1.
      if (response.req.httpVersion === '1.0') return false;
      response.writeContinue();
    } else if (response.chunkedEncoding && !response.writableEnded) {
      response.flushHeaders();
      // A leading zero of the size of the next chunk.
      this.socket.write('0');
      this.probeEnd = this.socket.bytesWritten;
    }
    this.bytesWritten = this.socket.bytesWritten;
    return true;
  }
}
