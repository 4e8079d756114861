/** The clock of a host that can be paused: time passes, nobody wakes. */

import type {Clock} from '../../src/index.js';

export class PausableClock implements Clock {
  private resumed: Promise<void> | undefined;
  private wake: () => void = () => {};

  constructor(private readonly base: Clock) {}

  get isPaused(): boolean {
    return this.resumed !== undefined;
  }

  pause(): void {
    this.resumed = new Promise(resolve => (this.wake = resolve));
  }

  resume(): void {
    this.resumed = undefined;
    this.wake();
  }

  /** Resolves when the host runs. */
  async waitUntilResumed(): Promise<void> {
    while (this.resumed !== undefined) await this.resumed;
  }

  now(): number {
    return this.base.now();
  }

  wallNow(): number {
    return this.base.wallNow();
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(milliseconds, signal);
    await this.waitUntilResumed();
  }
}
