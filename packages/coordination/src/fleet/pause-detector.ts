/**
 * Detects pauses of the process, such as a suspended virtual machine, by timers
 * that fire much later than scheduled on the monotonic clock. Components
 * refresh cached state after a pause.
 */

import type {Clock} from '../clock.js';

export interface PauseDetectorParts {
  readonly clock: Clock;
  readonly tickIntervalMilliseconds?: number;
  /** A delay of a tick beyond this indicates a pause. */
  readonly pauseThresholdMilliseconds?: number;
}

const defaultTickIntervalMilliseconds = 250;
const defaultPauseThresholdMilliseconds = 1000;

/** Called with a lower bound of the duration of the pause. */
export type PauseListener = (minimumPauseMilliseconds: number) => void;

export class PauseDetector {
  private readonly clock: Clock;
  private readonly tickIntervalMilliseconds: number;
  private readonly pauseThresholdMilliseconds: number;
  private readonly listeners = new Set<PauseListener>();
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;
  private lastCheckAt: number;

  constructor(parts: PauseDetectorParts) {
    this.clock = parts.clock;
    this.tickIntervalMilliseconds =
      parts.tickIntervalMilliseconds ?? defaultTickIntervalMilliseconds;
    this.pauseThresholdMilliseconds =
      parts.pauseThresholdMilliseconds ?? defaultPauseThresholdMilliseconds;
    this.lastCheckAt = this.clock.now();
  }

  start(): void {
    this.lastCheckAt = this.clock.now();
    this.task = this.runTicks();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  /**
   * Calls `listener` after each pause. Returns a function that unsubscribes.
   */
  subscribe(listener: PauseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Calls the listeners and returns true if the process was paused since the
   * last check. Each tick performs a check. Code can run between a pause and
   * the next tick, so callers check before they act on cached state.
   */
  check(): boolean {
    const now = this.clock.now();
    const delayMilliseconds =
      now - this.lastCheckAt - this.tickIntervalMilliseconds;
    this.lastCheckAt = now;
    if (delayMilliseconds <= this.pauseThresholdMilliseconds) return false;
    for (const listener of [...this.listeners]) listener(delayMilliseconds);
    return true;
  }

  private async runTicks(): Promise<void> {
    const {signal} = this.closing;
    while (!signal.aborted) {
      await this.clock.sleep(this.tickIntervalMilliseconds, signal);
      this.check();
    }
  }
}
