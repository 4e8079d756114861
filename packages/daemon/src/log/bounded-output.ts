/**
 * Writes log lines without blocking and in bounded memory. When a slow reader
 * lets the buffer fill up, lines are dropped and counted. Important lines have
 * a higher limit than ordinary lines.
 */

import type {Writable} from 'node:stream';

/** Buffered bytes above which ordinary lines are dropped. */
const maximumBufferedBytes = 256 * 1024;

/** Buffered bytes above which important lines are dropped. */
const maximumBufferedBytesForImportantLines = 512 * 1024;

export class BoundedOutput {
  private dropped = 0;
  private isClosed = false;

  constructor(private readonly stream: Writable) {
    // Without a listener, a closed pipe would terminate the process.
    stream.on('error', () => (this.isClosed = true));
  }

  /** Number of lines dropped since the last notice about dropped lines. */
  get droppedLines(): number {
    return this.dropped;
  }

  /**
   * Writes `line`, or drops it if the buffer exceeds its limit. Discards all
   * lines, uncounted, once the stream has failed.
   */
  write(line: string, isImportant: boolean): void {
    if (this.isClosed) return;
    const limitBytes = isImportant
      ? maximumBufferedBytesForImportantLines
      : maximumBufferedBytes;
    if (this.stream.writableLength > limitBytes) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const notice = {message: 'log lines were dropped', dropped: this.dropped};
      this.dropped = 0;
      this.stream.write(`${JSON.stringify(notice)}\n`);
    }
    this.stream.write(`${line}\n`);
  }
}
