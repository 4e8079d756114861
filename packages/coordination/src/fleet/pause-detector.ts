/**
 * Notices that the process did not run for a while: a timer that is far behind
 * the monotonic clock. Whoever holds an old view must refresh it then.
 */

import type {Clock} from '../clock.js';

export interface PauseDetectorParts {
  readonly clock: Clock;
  readonly tickMilliseconds?: number;
  /** A tick that is later than this shows a pause. */
  readonly lateMilliseconds?: number;
}

const defaultTickMilliseconds = 250;
const defaultLateMilliseconds = 1000;

/** Called with the time that the process may have stood still. */
export type PauseListener = (pausedMilliseconds: number) => void;

export class PauseDetector {
  private readonly clock: Clock;
  private readonly tickMilliseconds: number;
  private readonly lateMilliseconds: number;
  private readonly listeners = new Set<PauseListener>();
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;
  private lastTick: number;

  constructor(parts: PauseDetectorParts) {
    this.clock = parts.clock;
    this.tickMilliseconds = parts.tickMilliseconds ?? defaultTickMilliseconds;
    this.lateMilliseconds = parts.lateMilliseconds ?? defaultLateMilliseconds;
    this.lastTick = this.clock.now();
  }

  start(): void {
    this.lastTick = this.clock.now();
    this.task = this.run();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  /** Calls `listener` after each pause; the result ends that. */
  subscribe(listener: PauseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * True when the process has just been paused. After a pause, code may run
   * before the next tick: it calls this before it acts on an old view.
   */
  check(): boolean {
    const now = this.clock.now();
    const late = now - this.lastTick - this.tickMilliseconds;
    this.lastTick = now;
    if (late <= this.lateMilliseconds) return false;
    for (const listener of [...this.listeners]) listener(late);
    return true;
  }

  private async run(): Promise<void> {
    const {signal} = this.closing;
    while (!signal.aborted) {
      await this.clock.sleep(this.tickMilliseconds, signal);
      this.check();
    }
  }
}
