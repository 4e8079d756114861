/** The clock of one host, which may be fast, jump, and stand still. */

import type {Clock} from '../../src/index.js';

/** A host's own clock over the true time. */
export class HostClock implements Clock {
  private stoppedAt: number | undefined;
  private lostMilliseconds = 0;
  private wallJumpMilliseconds = 0;
  private gate: Promise<void> = Promise.resolve();
  private open: () => void = () => {};
  isPaused = false;

  constructor(
    private readonly truth: Clock,
    private readonly speed: number,
  ) {}

  now(): number {
    const time = this.stoppedAt ?? this.truth.now();
    return (time - this.lostMilliseconds) * this.speed;
  }

  wallNow(): number {
    return this.truth.wallNow() + this.wallJumpMilliseconds;
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    const ended = new AbortController();
    const abort = () => ended.abort();
    signal?.addEventListener('abort', abort, {once: true});
    if (signal?.aborted) abort();
    await this.truth.sleep(milliseconds / this.speed, ended.signal);
    signal?.removeEventListener('abort', abort);
    await this.waitUntilRunning();
  }

  /** Resolves when the host runs. */
  async waitUntilRunning(): Promise<void> {
    while (this.isPaused) await this.gate;
  }

  pause(stopsClock: boolean): void {
    if (this.isPaused) return;
    this.isPaused = true;
    if (stopsClock) this.stoppedAt = this.truth.now();
    this.gate = new Promise(resolve => {
      this.open = resolve;
    });
  }

  resume(): void {
    if (this.stoppedAt !== undefined)
      this.lostMilliseconds += this.truth.now() - this.stoppedAt;
    this.stoppedAt = undefined;
    this.isPaused = false;
    this.open();
  }

  jumpWallClock(milliseconds: number): void {
    this.wallJumpMilliseconds += milliseconds;
  }
}
