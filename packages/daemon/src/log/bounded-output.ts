/**
 * Writes log lines without blocking and in bounded memory. When a slow reader
 * lets the buffer fill up, lines are dropped and counted. Important lines have
 * a higher limit than ordinary lines.
 */

/** Where lines go, such as a stream. */
export interface LineSink {
  /** Bytes that wait for a slow reader. */
  readonly writableLength: number;
  /** May throw, for example because a disk is full. */
  write(text: string): unknown;
  on(event: 'error', listener: () => void): unknown;
}

/** Buffered bytes above which ordinary lines are dropped. */
const maximumBufferedBytes = 256 * 1024;

/** Buffered bytes above which important lines are dropped. */
const maximumBufferedBytesForImportantLines = 512 * 1024;

export class BoundedOutput {
  private dropped = 0;
  private isClosed = false;

  constructor(private readonly sink: LineSink) {
    // Without a listener, a closed pipe would terminate the process.
    sink.on('error', () => (this.isClosed = true));
  }

  /** Number of lines dropped since the last notice about dropped lines. */
  get droppedLines(): number {
    return this.dropped;
  }

  /**
   * Writes `line`, or drops it if the buffer exceeds its limit or the line can't be
   * written now. Discards all lines, uncounted, once the sink has failed.
   */
  write(line: string, isImportant: boolean): void {
    if (this.isClosed) return;
    const limitBytes = isImportant
      ? maximumBufferedBytesForImportantLines
      : maximumBufferedBytes;
    const isFull = this.sink.writableLength > limitBytes;
    if (isFull || !this.reportDropped() || !this.tryWrite(line))
      this.dropped += 1;
  }

  /** Writes how many lines were dropped; returns whether it could. */
  private reportDropped(): boolean {
    if (this.dropped === 0) return true;
    const notice = {
      message: 'log lines were dropped',
      dropped: this.dropped,
    };
    if (!this.tryWrite(JSON.stringify(notice))) return false;
    this.dropped = 0;
    return true;
  }

  private tryWrite(line: string): boolean {
    try {
      this.sink.write(`${line}\n`);
      return true;
    } catch {
      return false;
    }
  }
}
