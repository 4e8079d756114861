/**
 * Writes log lines without waiting and without growing: lines that a slow
 * reader leaves behind are dropped and counted. Errors and final outcomes of
 * requests get more room than the rest.
 */

import type {Writable} from 'node:stream';

/** Bytes that may wait for the reader before ordinary lines are dropped. */
const ordinaryBytes = 256 * 1024;

/** The same for lines that matter most. */
const importantBytes = 512 * 1024;

export class BoundedOutput {
  private dropped = 0;
  private isClosed = false;

  constructor(private readonly stream: Writable) {
    // A reader that went away must not end the process.
    stream.on('error', () => (this.isClosed = true));
  }

  /** Lines that were dropped since the last one that told of them. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Writes `line`, or drops it when too much waits already. */
  write(line: string, isImportant: boolean): void {
    if (this.isClosed) return;
    const bound = isImportant ? importantBytes : ordinaryBytes;
    if (this.stream.writableLength > bound) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const note = {message: 'log lines were dropped', dropped: this.dropped};
      this.dropped = 0;
      this.stream.write(`${JSON.stringify(note)}\n`);
    }
    this.stream.write(`${line}\n`);
  }
}
