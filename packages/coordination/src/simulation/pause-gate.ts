/** Pauses of a simulated host: its tasks stand still while time passes. */

import type {Clock} from '../clock.js';
import type {PeerTransport} from '../peers/transport.js';

/** A gate that every task of one host passes after each wait. */
export class PauseGate {
  private waiting: Array<() => void> = [];
  private isClosed = false;

  /** Tasks stand still from now on. */
  pause(): void {
    this.isClosed = true;
  }

  /** All tasks go on. */
  resume(): void {
    this.isClosed = false;
    const waiting = this.waiting;
    this.waiting = [];
    for (const go of waiting) go();
  }

  /** Resolves when the host runs. */
  async pass(): Promise<void> {
    while (this.isClosed)
      await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  /** Passes the gate after `promise`, as a task that waited for it does. */
  async after<Value>(promise: Promise<Value>): Promise<Value> {
    const value = await promise;
    await this.pass();
    return value;
  }

  /** Passes the gate before each item of `items`. */
  async *each<Value>(items: AsyncIterable<Value>): AsyncGenerator<Value> {
    for await (const item of items) {
      await this.pass();
      yield item;
    }
  }
}

/** `clock` as a host sees it that pauses at `gate`. */
export function pausableClock(clock: Clock, gate: PauseGate): Clock {
  return {
    now: () => clock.now(),
    wallNow: () => clock.wallNow(),
    sleep: (milliseconds, signal) =>
      gate.after(clock.sleep(milliseconds, signal)),
  };
}

/** `transport` as a host sees it that pauses at `gate`. */
export function pausableTransport(
  transport: PeerTransport,
  gate: PauseGate,
): PeerTransport {
  return {
    exchange: (host, body, timeoutMilliseconds) =>
      gate.after(transport.exchange(host, body, timeoutMilliseconds)),
  };
}
