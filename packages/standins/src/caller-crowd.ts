/** Callers that hold what a host gives them, and what their process takes of the system. */

import {readFileSync, readdirSync} from 'node:fs';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** The bytes that a caller writes, one part after the other. */
export type WrittenParts = Iterable<Buffer> | AsyncIterable<Buffer>;

/** How the body of a request is framed. */
export type BodyFraming =
  {readonly kind: 'length'; readonly bytes: number} | {readonly kind: 'chunks'};

/** What a process has taken of the system since its start. */
export interface ProcessUsage {
  /** Largest resident memory so far, in bytes. */
  readonly peakBytes: number;
  /** Descriptors that are open now. */
  readonly descriptors: number;
}

const bytesPerKilobyte = 1024;

/** Reads the usage of a process on this machine; throws if it has ended. */
export function usageOf(processId: number): ProcessUsage {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status)!;
  return {
    peakBytes: Number(kilobytes) * bytesPerKilobyte,
    descriptors: readdirSync(`/proc/${processId}/fd`).length,
  };
}

/** Returns the header that announces a body of this framing. */
export function framingHeader(framing: BodyFraming): string {
  return framing.kind === 'length'
    ? `Content-Length: ${framing.bytes}`
    : 'Transfer-Encoding: chunked';
}

/** A chunk with `bytes` bytes of a body. */
export function chunkOf(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

/** Bytes of a body in chunks of `chunkBytes`, without the last chunk. */
export function* chunksOf(
  chunkBytes: number,
  bodyBytes: number,
): Iterable<Buffer> {
  const chunk = chunkOf(chunkBytes);
  const chunksInPart = Math.max(1, Math.floor(partBytes / chunk.length));
  const part = Buffer.concat(new Array<Buffer>(chunksInPart).fill(chunk));
  const parts = Math.floor(bodyBytes / (chunksInPart * chunkBytes));
  for (let count = 0; count < parts; count += 1) yield part;
}

const partBytes = 60_000;

/** Connections that write one request each and stay open. */
export class CallerCrowd {
  private readonly sockets: Socket[] = [];
  private readonly writes: Promise<void>[] = [];
  /** What each caller has received, by its number. */
  readonly received: string[] = [];

  /** `partsOf` returns the parts that the caller of this number writes. */
  constructor(
    private readonly address: string,
    count: number,
    partsOf: (caller: number) => WrittenParts,
  ) {
    for (let caller = 0; caller < count; caller += 1)
      this.writes.push(this.write(this.connect(caller), partsOf(caller)));
  }

  /** Resolves once no caller can write any more, or after `milliseconds`. */
  async settle(milliseconds: number): Promise<void> {
    await Promise.race([Promise.all(this.writes), sleep(milliseconds)]);
  }

  /** Statuses of the responses, by the number of the caller; 0 without one. */
  get statuses(): readonly number[] {
    return this.received.map(text =>
      Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0),
    );
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private connect(caller: number): Socket {
    const [host, port] = this.address.split(':');
    const socket = connect({host: host!, port: Number(port)});
    this.received[caller] = '';
    socket.on('data', bytes => (this.received[caller] += String(bytes)));
    socket.on('error', () => undefined);
    this.sockets.push(socket);
    return socket;
  }

  private async write(socket: Socket, parts: WrittenParts): Promise<void> {
    const ended = new Promise<void>(resolve => socket.once('close', resolve));
    for await (const part of parts) {
      if (socket.destroyed || !socket.writable) return;
      if (!socket.write(part))
        await Promise.race([ended, once(socket, 'drain').catch(() => ended)]);
    }
  }
}
