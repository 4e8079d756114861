/**
 * Splits the bytes of an event stream into complete events and parses their
 * ids. The bytes are not changed. An incomplete event at the end is buffered.
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Maximum size of an event. */
const maximumEventBytes = 1 << 20;

/** A complete event. */
export interface EventFrame {
  readonly bytes: Uint8Array;
  /**
   * Numeric id of the event; undefined for comments and events without an id.
   */
  readonly id: number | undefined;
  /** Whether the event has data; comments and unknown fields have none. */
  readonly hasData: boolean;
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
  private pending = Buffer.alloc(0);

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Uint8Array): EventFrame[] {
    const bytes =
      this.pending.length === 0
        ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
        : Buffer.concat([this.pending, chunk]);
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end === undefined) break;
      const event = bytes.subarray(start, end);
      frames.push(parseEvent(event));
      start = end;
    }
    this.pending = Buffer.from(bytes.subarray(start));
    if (this.pending.length > maximumEventBytes) throw new EventTooLongError();
    return frames;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
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
  };
}
