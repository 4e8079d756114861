/**
 * Splits the bytes of an event stream into complete events and parses their
 * ids. The bytes are not changed. An incomplete event at the end is buffered.
 */

import {ChunkQueue} from './chunk-queue.js';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Maximum size of an event. */
const maximumEventBytes = 1 << 20;

/** A line that is no comment and none of the fields of an event. */
const unknownFieldPattern = /^(?!:|(?:event|data|id|retry)(?::|\r?$))[^\r\n]/m;

/** A complete event. */
export interface EventFrame {
  readonly bytes: Uint8Array;
  /**
   * Numeric id of the event; undefined for comments and events without an id.
   */
  readonly id: number | undefined;
  /** Whether the event has data; comments and unknown fields have none. */
  readonly hasData: boolean;
  /** Whether it has lines that are neither comments nor fields of an event. */
  readonly hasUnknownFields: boolean;
}

/**
 * An event exceeds the maximum size. The bytes are probably not an event
 * stream.
 */
export class EventTooLongError extends Error {
  constructor() {
    super(`an event is longer than ${maximumEventBytes} bytes`);
  }
}

export class EventStreamSplitter {
  /** Bytes of the incomplete event. */
  private readonly buffer = new ChunkQueue();
  /** The last two bytes of the buffer; 0 if there are fewer. */
  private last = 0;
  private beforeLast = 0;

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Uint8Array): EventFrame[] {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = this.findEndAcross(bytes) ?? findEventEnd(bytes, start);
      if (end === undefined) break;
      frames.push(parseEvent(this.takeEvent(bytes.subarray(start, end))));
      start = end;
    }
    this.append(bytes.subarray(start));
    if (this.pendingBytes > maximumEventBytes) throw new EventTooLongError();
    return frames;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.buffer.length;
  }

  /**
   * Returns the index in `bytes` after a blank line that begins in the buffer;
   * undefined if there is none.
   */
  private findEndAcross(bytes: Buffer): number | undefined {
    const {last, beforeLast} = this;
    if (last === lineFeed && bytes[0] === lineFeed) return 1;
    if (
      last === lineFeed &&
      bytes[0] === carriageReturn &&
      bytes[1] === lineFeed
    )
      return 2;
    const isAfterBoth = last === carriageReturn && beforeLast === lineFeed;
    return isAfterBoth && bytes[0] === lineFeed ? 1 : undefined;
  }

  /** Returns the buffered bytes with `rest`, and empties the buffer. */
  private takeEvent(rest: Buffer): Buffer {
    const {buffer} = this;
    if (buffer.length === 0) return rest;
    const parts: Uint8Array[] = [];
    for (let part = buffer.shift(); part !== undefined; part = buffer.shift())
      parts.push(part);
    this.last = 0;
    this.beforeLast = 0;
    return Buffer.concat([...parts, rest]);
  }

  private append(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.beforeLast = bytes.at(-2) ?? this.last;
    this.last = bytes.at(-1)!;
    this.buffer.push(bytes);
  }
}

/** Returns the index after the blank line that ends the event at `start`. */
function findEventEnd(bytes: Buffer, start: number): number | undefined {
  for (
    let index = bytes.indexOf(lineFeed, start);
    index !== -1;
    index = bytes.indexOf(lineFeed, index + 1)
  ) {
    if (bytes[index + 1] === lineFeed) return index + 2;
    if (bytes[index + 1] === carriageReturn && bytes[index + 2] === lineFeed)
      return index + 3;
  }
  return undefined;
}

function parseEvent(event: Buffer): EventFrame {
  const text = event.toString('latin1');
  const match = /^id:[ ]?(\d+)\r?$/m.exec(text);
  return {
    bytes: event,
    id: match === null ? undefined : Number(match[1]),
    hasData: /^data(:|\r?$)/m.test(text),
    hasUnknownFields: unknownFieldPattern.test(text),
  };
}
