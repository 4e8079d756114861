/** The clock of a simulated host, with drift, wall-clock jumps and pauses. */

import type {Clock} from '../../src/index.js';

/** A host clock derived from the simulation's base clock. */
export class HostClock implements Clock {
  private frozenAt: number | undefined;
  private frozenMilliseconds = 0;
  private wallOffsetMilliseconds = 0;
  private resumed: Promise<void> = Promise.resolve();
  private resolveResumed: () => void = () => {};
  isPaused = false;

  constructor(
    private readonly baseClock: Clock,
    /** Host milliseconds per millisecond of the base clock. */
    private readonly driftFactor: number,
  ) {}

  now(): number {
    const time = this.frozenAt ?? this.baseClock.now();
    return (time - this.frozenMilliseconds) * this.driftFactor;
  }

  wallNow(): number {
    return this.baseClock.wallNow() + this.wallOffsetMilliseconds;
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal?.addEventListener('abort', abort, {once: true});
    if (signal?.aborted) abort();
    await this.baseClock.sleep(
      milliseconds / this.driftFactor,
      controller.signal,
    );
    signal?.removeEventListener('abort', abort);
    await this.waitUntilRunning();
  }

  /** Resolves when the host is not paused. */
  async waitUntilRunning(): Promise<void> {
    while (this.isPaused) await this.resumed;
  }

  pause(freezesClock: boolean): void {
    if (this.isPaused) return;
    this.isPaused = true;
    if (freezesClock) this.frozenAt = this.baseClock.now();
    this.resumed = new Promise(resolve => {
      this.resolveResumed = resolve;
    });
  }

  resume(): void {
    if (this.frozenAt !== undefined)
      this.frozenMilliseconds += this.baseClock.now() - this.frozenAt;
    this.frozenAt = undefined;
    this.isPaused = false;
    this.resolveResumed();
  }

  jumpWallClock(milliseconds: number): void {
    this.wallOffsetMilliseconds += milliseconds;
  }
}
