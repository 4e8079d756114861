/** Pauses a simulated host: its tasks stop while time advances. */

import type {Clock} from '../clock.js';
import type {PeerTransport} from '../peers/transport.js';

/** Blocks each task of a paused host at the end of its next asynchronous wait. */
export class PauseGate {
  private waiters: Array<() => void> = [];
  private isPaused = false;

  /** Blocks each task at the end of its next asynchronous wait. */
  pause(): void {
    this.isPaused = true;
  }

  /** Unblocks all tasks. */
  resume(): void {
    this.isPaused = false;
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Resolves when the host is not paused. */
  async waitUntilResumed(): Promise<void> {
    while (this.isPaused)
      await new Promise<void>(resolve => this.waiters.push(resolve));
  }

  /** Resolves with the value of `promise`, but not during a pause. */
  async delayUntilResumed<Value>(promise: Promise<Value>): Promise<Value> {
    const value = await promise;
    await this.waitUntilResumed();
    return value;
  }

  /** Yields the items of `items`, but not during a pause. */
  async *delayItemsUntilResumed<Value>(
    items: AsyncIterable<Value>,
  ): AsyncGenerator<Value> {
    for await (const item of items) {
      await this.waitUntilResumed();
      yield item;
    }
  }
}

/** Returns a clock whose sleeps end only while `gate` is not paused. */
export function pausableClock(clock: Clock, gate: PauseGate): Clock {
  return {
    now: () => clock.now(),
    wallNow: () => clock.wallNow(),
    sleep: (milliseconds, signal) =>
      gate.delayUntilResumed(clock.sleep(milliseconds, signal)),
  };
}

/** Returns a transport that withholds replies while `gate` is paused. */
export function pausableTransport(
  transport: PeerTransport,
  gate: PauseGate,
): PeerTransport {
  return {
    exchange: (host, body, timeoutMilliseconds) =>
      gate.delayUntilResumed(
        transport.exchange(host, body, timeoutMilliseconds),
      ),
  };
}
