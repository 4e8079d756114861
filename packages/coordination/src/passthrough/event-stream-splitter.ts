/**
 * Cuts the bytes of an event stream into whole events and reads their numbers.
 * Bytes pass unchanged; a part of an event at the end stays here.
 */

const newline = 0x0a;
const carriageReturn = 0x0d;

/** Longest event; a longer one is no event stream. */
const maximumEventBytes = 1 << 20;

/** A whole event. */
export interface EventFrame {
  readonly bytes: Uint8Array;
  /** Number of the event; undefined for comments and events without one. */
  readonly id: number | undefined;
}

/** The bytes are no stream of events. */
export class EventStreamError extends Error {
  constructor() {
    super(`an event is longer than ${maximumEventBytes} bytes`);
  }
}

export class EventStreamSplitter {
  private rest = Buffer.alloc(0);

  /** Takes bytes and returns the events that they complete. */
  push(chunk: Uint8Array): EventFrame[] {
    const bytes =
      this.rest.length === 0
        ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
        : Buffer.concat([this.rest, chunk]);
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = endOfEvent(bytes, start);
      if (end === undefined) break;
      const event = bytes.subarray(start, end);
      frames.push({bytes: event, id: idOf(event)});
      start = end;
    }
    this.rest = Buffer.from(bytes.subarray(start));
    if (this.rest.length > maximumEventBytes) throw new EventStreamError();
    return frames;
  }

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.rest.length;
  }
}

/** Index after the blank line that ends the event at `start`. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
  for (
    let index = bytes.indexOf(newline, start);
    index !== -1;
    index = bytes.indexOf(newline, index + 1)
  ) {
    if (bytes[index + 1] === newline) return index + 2;
    if (bytes[index + 1] === carriageReturn && bytes[index + 2] === newline)
      return index + 3;
  }
  return undefined;
}

function idOf(event: Buffer): number | undefined {
  const found = /^id:[ ]?(\d+)\r?$/m.exec(event.toString('latin1'));
  return found === null ? undefined : Number(found[1]);
}
