/**
 * Shares the turns of the event loop among the connections to upstreams.
 *
 * A connection that brings little is read at once. One that has used up its allowance
 * waits in a queue, from which a few reads are made in each turn, so that a response of
 * any length or framing delays other connections by no more than these reads.
 */

/** Bytes of one read. */
const readBytes = 4096;

/** Cost of a chunk beside its bytes, in bytes. */
const chunkCostBytes = 64;

/** Allowance of a connection that was not read for some time, in bytes. */
const maximumAllowanceBytes = 16 * 1024;

/** Growth of the allowance in a millisecond, in bytes. */
const allowanceGrowthBytes = 64;

/** Time in a turn after which no connection is read at once. */
const promptReadMilliseconds = 4;

/** Time in a turn after which no more reads are made from the queue. */
const queuedReadMilliseconds = 2;

/** Time kept for other work, as a multiple of the time of queued reads. */
const restFactor = 2;

/** Rest below which the next turn serves the queue. */
const minimumRestMilliseconds = 1;

/** A connection whose reads are shared out. */
export interface TurnReader {
  /** Reads from the connection, with one call of `TurnShare.take`. */
  readonly read: () => void;
}

/** The share of one connection. */
export class TurnShare {
  private allowance = maximumAllowanceBytes;
  private grownAt = performance.now();
  /** Whether it used up its allowance and has not regained half of it. */
  private isQueued = false;
  private isGranted = false;

  constructor(
    private readonly turns: ReadTurns,
    private readonly reader: TurnReader,
  ) {}

  /**
   * Returns how many bytes to read now. If there are none, the reader is called
   * in a later turn.
   */
  take(): number {
    if (!this.isGranted && !this.canReadAtOnce()) {
      this.turns.enqueue(this, !this.isQueued);
      return 0;
    }
    this.isGranted = false;
    return readBytes;
  }

  /** Records `bytes` that were read, or a chunk that was found in them. */
  recordBytes(bytes: number): void {
    this.allowance -= bytes;
  }

  recordChunk(): void {
    this.allowance -= chunkCostBytes;
  }

  /** Called by `ReadTurns` for a share in its queue. */
  grant(): void {
    this.isGranted = true;
    this.reader.read();
    this.isGranted = false;
  }

  close(): void {
    this.turns.remove(this);
  }

  private canReadAtOnce(): boolean {
    const now = performance.now();
    this.allowance = Math.min(
      maximumAllowanceBytes,
      // A debt is forgiven, so that what a queued connection owes stays bounded.
      Math.max(-maximumAllowanceBytes, this.allowance) +
        (now - this.grownAt) * allowanceGrowthBytes,
    );
    this.grownAt = now;
    this.isQueued = this.isQueued
      ? this.allowance < maximumAllowanceBytes / 2
      : this.allowance <= 0;
    return !this.isQueued && this.turns.hasPromptTime(now);
  }
}

export class ReadTurns {
  /** Connections with an allowance, which the turn had no time for. */
  private readonly prompt = new Set<TurnShare>();
  private readonly queued = new Set<TurnShare>();
  private turnStartedAt: number | undefined;
  private isScheduled = false;
  /** Time that is owed to other work since `owedAt`. */
  private owedRest = 0;
  private owedAt = 0;
  /** Time until which only connections with an allowance are read. */
  private restsUntil = -Infinity;
  private timer: NodeJS.Timeout | undefined;

  open(reader: TurnReader): TurnShare {
    return new TurnShare(this, reader);
  }

  /** Returns whether connections may still be read at once in this turn. */
  hasPromptTime(now: number): boolean {
    if (this.turnStartedAt === undefined) {
      this.turnStartedAt = now;
      setImmediate(() => (this.turnStartedAt = undefined));
    }
    return now - this.turnStartedAt < promptReadMilliseconds;
  }

  enqueue(share: TurnShare, isPrompt: boolean): void {
    if (this.prompt.has(share) || this.queued.has(share)) return;
    (isPrompt ? this.prompt : this.queued).add(share);
    if (isPrompt) this.schedule();
    else if (!this.isScheduled) this.scheduleAfterRest(performance.now());
  }

  remove(share: TurnShare): void {
    this.prompt.delete(share);
    this.queued.delete(share);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.serve(performance.now()));
  }

  /** Reads from the queues in the turn that began at `startedAt`. */
  private serve(startedAt: number): void {
    this.serveFirst(this.prompt);
    if (startedAt >= this.restsUntil) this.serveFirst(this.queued);
    // The read bytes are passed on in microtasks, whose time counts as well.
    queueMicrotask(() => process.nextTick(() => this.continue(startedAt)));
  }

  private continue(startedAt: number): void {
    const now = performance.now();
    const isResting = startedAt < this.restsUntil;
    const hasReads =
      this.prompt.size > 0 || (this.queued.size > 0 && !isResting);
    if (hasReads && now - startedAt < queuedReadMilliseconds)
      return this.serve(startedAt);
    if (!isResting) this.recordTurn(startedAt, now);
    this.isScheduled = false;
    if (this.prompt.size > 0) this.schedule();
    else if (this.queued.size > 0) this.scheduleAfterRest(now);
  }

  private recordTurn(startedAt: number, now: number): void {
    const rest = (now - startedAt) * restFactor;
    this.owedRest = Math.max(0, this.owedRest - (now - this.owedAt)) + rest;
    this.owedAt = now;
    if (this.owedRest >= minimumRestMilliseconds)
      this.restsUntil = now + this.owedRest;
  }

  private scheduleAfterRest(now: number): void {
    if (now >= this.restsUntil) return this.schedule();
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.schedule();
    }, this.restsUntil - now);
  }

  private serveFirst(shares: Set<TurnShare>): void {
    const [share] = shares;
    if (share === undefined) return;
    shares.delete(share);
    share.grant();
  }
}
