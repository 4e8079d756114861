/** A clock for a pausable host: during a pause time advances but no sleep ends. */

import type {Clock} from '../../src/index.js';

export class PausableClock implements Clock {
  private resumed: Promise<void> | undefined;
  private resolveResumed: () => void = () => {};

  constructor(private readonly base: Clock) {}

  get isPaused(): boolean {
    return this.resumed !== undefined;
  }

  pause(): void {
    this.resumed = new Promise(resolve => (this.resolveResumed = resolve));
  }

  resume(): void {
    this.resumed = undefined;
    this.resolveResumed();
  }

  /** Resolves when the host is not paused. */
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
