/**
 * Finds out whether a caller that has ended its direction of the connection, or whose
 * bytes are not read to their end, still reads. One that has closed the connection looks
 * the same until bytes are sent to it, which its system answers with a reset.
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

/** Silence of a response after which it is probed while bytes of its caller are unread. */
const silenceMilliseconds = 200;

/** Some parsers take no sizes of chunks with more than 16 digits. */
const maximumLeadingZeros = 8;

/** Some clients take no more than five interim responses to a request. */
const maximumInterimResponses = 4;

/** The response that the caller waits for. */
export interface AwaitedResponse {
  readonly response: ServerResponse;
  /** False if its call is completed even if the caller is gone. */
  readonly isProbed: boolean;
}

export class CallerProbe {
  private readonly probed = new WeakSet<ServerResponse>();
  private bytesWritten = 0;
  /** Bytes written up to the last probe within a response in chunks. */
  private probeEnd: number | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
  ) {}

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
    this.bytesWritten = this.socket.bytesWritten;
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
   * Looks for resets until `findAwaited` returns undefined or the connection is closed.
   * A response that is silent gets interim responses before its head, and leading zeros
   * of the size of its next chunk behind it.
   */
  async watch(
    findAwaited: () => AwaitedResponse | undefined,
    closed: AbortSignal,
  ): Promise<void> {
    let {bytesWritten} = this.socket;
    let silentMilliseconds = 0;
    let probes = 0;
    for (;;) {
      await this.clock.sleep(resetMilliseconds, closed);
      const awaited = findAwaited();
      if (this.socket.destroyed || awaited === undefined) return;
      if (this.socket.writableLength === 0) void this.isConnected();
      const isSilent = this.socket.bytesWritten === bytesWritten;
      if (!isSilent) probes = 0;
      silentMilliseconds = isSilent
        ? silentMilliseconds + resetMilliseconds
        : 0;
      if (
        silentMilliseconds >= silenceMilliseconds &&
        this.probeAgain(awaited, probes)
      ) {
        probes += 1;
        silentMilliseconds = 0;
      }
      ({bytesWritten} = this.socket);
    }
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
    } else this.sendZero(response);
    this.bytesWritten = this.socket.bytesWritten;
    return true;
  }

  /** Probes once more after `probes` in the same silence; returns whether it did. */
  private probeAgain(
    {response, isProbed}: AwaitedResponse,
    probes: number,
  ): boolean {
    if (response.headersSent)
      return probes < maximumLeadingZeros && this.sendZero(response);
    const canProbe = isProbed && response.req.httpVersion !== '1.0';
    if (!canProbe || probes >= maximumInterimResponses) return false;
    // Some clients take a 100 that they did not ask for as an error.
    response.writeProcessing();
    return true;
  }

  /**
   * Sends a leading zero of the size of the next chunk. Returns false if no chunk can
   * follow.
   */
  private sendZero(response: ServerResponse): boolean {
    const {chunkedEncoding, headersSent, writableEnded} = response;
    if (!chunkedEncoding || !headersSent || writableEnded) return false;
    response.flushHeaders();
    this.socket.write('0');
    this.probeEnd = this.socket.bytesWritten;
    return true;
  }
}
