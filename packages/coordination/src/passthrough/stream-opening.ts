/** Reads the beginning of a stream of events before the stream is relayed. */

import type {PassthroughResponse} from './call.js';
import {EventStreamSplitter} from './event-stream-splitter.js';

export class StreamOpening {
  private readonly chunks: AsyncIterator<Uint8Array>;
  /** Bytes that were read and complete no event. */
  private readonly read: Uint8Array[] = [];
  private readBytes = 0;
  private next: Promise<IteratorResult<Uint8Array>>;
  private isRelayed = false;

  constructor(
    private readonly response: Pick<PassthroughResponse, 'body' | 'held'>,
  ) {
    this.chunks = response.body[Symbol.asyncIterator]();
    this.next = this.chunks.next();
  }

  /** Resolves with false if the stream ends without an event. */
  async hasEvent(): Promise<boolean> {
    const splitter = new EventStreamSplitter();
    try {
      for (;;) {
        const {done, value} = await this.next;
        if (this.isRelayed) return true;
        if (done === true) return false;
        const events = splitter.push(value);
        if (events.some(({id, hasData}) => id !== undefined || hasData))
          return true;
        this.read.push(value);
        this.readBytes += value.byteLength;
        this.response.held?.setIncomplete(this.readBytes);
        this.next = this.chunks.next();
      }
    } catch {
      return false;
    }
  }

  /** Yields the whole stream, with what was read of it. */
  async *relay(): AsyncGenerator<Uint8Array> {
    this.isRelayed = true;
    yield* this.read;
    let next = await this.next;
    while (next.done !== true) {
      yield next.value;
      next = await this.chunks.next();
    }
  }
}
