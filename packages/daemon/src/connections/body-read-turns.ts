/**
 * Shares the turns of the event loop among the bodies that callers send.
 *
 * The time of a read depends on the framing: a body in chunks of a byte takes a
 * hundred times as long as one with a length. Reads are therefore counted in time, as
 * `ReadTurns` can't do for sockets, whose reads the system begins.
 */

/** Time of a read to which its size is adapted. */
const aimedReadMilliseconds = 0.5;

const firstReadBytes = 4096;
const minimumReadBytes = 1024;
const maximumReadBytes = 64 * 1024;

/** Time of reads of one body that do not wait for a turn. */
const promptMilliseconds = 2;

/** Time in a turn after which the bodies that are read wait for the next one. */
const turnMilliseconds = 2;

/** Reads that fit into a turn. */
const readsInTurn = turnMilliseconds / aimedReadMilliseconds;

/** The reads of one connection. */
export class BodyReadShare {
  /** Bytes of the next read. */
  readBytes = firstReadBytes;
  private spentMilliseconds = 0;
  private isGranted = false;

  constructor(
    private readonly turns: BodyReadTurns,
    private readonly onTurn: () => void,
  ) {}

  /**
   * Returns whether the connection may be read once. If not, `onTurn` is called when
   * this is to be asked again.
   */
  take(): boolean {
    const isPrompt = this.spentMilliseconds < promptMilliseconds;
    if (!this.isGranted && !isPrompt && !this.turns.hasTime) {
      this.turns.enqueue(this);
      return false;
    }
    this.isGranted = false;
    return true;
  }

  /** Called by `BodyReadTurns` for a share in its queue. */
  grant(): void {
    this.isGranted = true;
    this.onTurn();
  }

  /** Records how long a read and what it caused took. */
  record(milliseconds: number): void {
    this.spentMilliseconds += milliseconds;
    this.turns.record(milliseconds);
    const factor = milliseconds < aimedReadMilliseconds ? 2 : 0.5;
    this.readBytes = Math.min(
      maximumReadBytes,
      Math.max(minimumReadBytes, this.readBytes * factor),
    );
  }

  /** Begins another body. */
  restart(): void {
    this.spentMilliseconds = 0;
  }

  close(): void {
    this.turns.remove(this);
  }
}

export class BodyReadTurns {
  private readonly queue = new Set<BodyReadShare>();
  private spentMilliseconds = 0;
  private isScheduled = false;

  /** `onTurn` is called when the connection may be read. */
  open(onTurn: () => void): BodyReadShare {
    return new BodyReadShare(this, onTurn);
  }

  /** Whether more may be read in this turn, and nobody waits for it. */
  get hasTime(): boolean {
    return this.queue.size === 0 && this.spentMilliseconds < turnMilliseconds;
  }

  record(milliseconds: number): void {
    this.spentMilliseconds += milliseconds;
    this.schedule();
  }

  enqueue(share: BodyReadShare): void {
    this.queue.add(share);
    this.schedule();
  }

  remove(share: BodyReadShare): void {
    this.queue.delete(share);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.beginTurn());
  }

  private beginTurn(): void {
    this.isScheduled = false;
    this.spentMilliseconds = 0;
    for (let count = 0; count < readsInTurn; count += 1) {
      const [share] = this.queue;
      if (share === undefined) return;
      this.queue.delete(share);
      share.grant();
    }
    if (this.queue.size > 0) this.schedule();
  }
}
