/**
 * Finds out whether a caller that has ended its direction of the connection still
 * reads. One that has closed the connection looks the same until bytes are sent to it,
 * which its system answers with a reset.
 */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time in which the bytes of a probe are answered with a reset. */
export const resetMilliseconds = 100;

export class CallerProbe {
  private readonly probed = new WeakSet<ServerResponse>();
  private bytesWritten: number;

  constructor(private readonly socket: Socket) {
    this.bytesWritten = socket.bytesWritten;
  }

  /**
   * Sends bytes that do not change the response that is under way, at most once for
   * each, and not if others were sent since the last time. Returns false if there is
   * no way to.
   */
  send(response: ServerResponse): boolean {
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
    }
    this.bytesWritten = this.socket.bytesWritten;
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
}
