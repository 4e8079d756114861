/** A clock whose time advances only on request. */

import type {Clock} from '../clock.js';

interface Sleeper {
  readonly wakesAt: number;
  readonly order: number;
  readonly wake: () => void;
}

const wakeUpsPerImmediate = 64;

/**
 * Virtual time. Sleepers wake in the order of their wake-up times, and in the
 * order of their sleeps if these are equal.
 */
export class VirtualClock implements Clock {
  private time = 0;
  private sleepCount = 0;
  private wakeCount = 0;
  private sleepers: Sleeper[] = [];

  /** `epoch` is the wall-clock time at virtual time zero. */
  constructor(private readonly epoch = Date.UTC(2026, 0, 1)) {}

  now(): number {
    return this.time;
  }

  wallNow(): number {
    return this.epoch + this.time;
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const cancel = () => this.cancel(sleeper);
      const sleeper: Sleeper = {
        wakesAt: this.time + Math.max(0, milliseconds),
        order: (this.sleepCount += 1),
        wake: () => {
          signal?.removeEventListener('abort', cancel);
          resolve();
        },
      };
      insertSorted(this.sleepers, sleeper);
      signal?.addEventListener('abort', cancel, {once: true});
    });
  }

  /** Advances the time by `milliseconds` and runs everything that is due. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await drainTasks(0);
    while (this.sleepers[0] !== undefined && this.sleepers[0].wakesAt <= end) {
      const sleeper = this.sleepers.shift()!;
      this.time = Math.max(this.time, sleeper.wakesAt);
      sleeper.wake();
      await drainTasks((this.wakeCount += 1));
    }
    this.time = end;
  }

  /**
   * Advances the time until `promise` settles, and resolves with its value. If
   * no sleeper is left before, the result stays pending until `promise` settles.
   */
  async runUntil<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const markSettled = () => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    await drainTasks(0);
    while (!isSettled && this.sleepers[0] !== undefined)
      await this.advance(this.sleepers[0].wakesAt - this.time);
    return promise;
  }

  private cancel(sleeper: Sleeper): void {
    const index = this.sleepers.indexOf(sleeper);
    if (index >= 0) this.sleepers.splice(index, 1);
    sleeper.wake();
  }
}

function insertSorted(sleepers: Sleeper[], sleeper: Sleeper): void {
  let low = 0;
  let high = sleepers.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sleepers[middle]!.wakesAt <= sleeper.wakesAt) low = middle + 1;
    else high = middle;
  }
  sleepers.splice(low, 0, sleeper);
}

/**
 * Runs all tasks that do not wait for the clock. Also runs tasks that wait for
 * I/O if `wakeCount` is a multiple of `wakeUpsPerImmediate`.
 */
function drainTasks(wakeCount: number): Promise<void> {
  // `nextTick` runs as soon as no microtask is left, much sooner than
  // `setImmediate`, but it starves the I/O of the process.
  if (wakeCount % wakeUpsPerImmediate !== 0)
    return new Promise(resolve => process.nextTick(resolve));
  return new Promise(resolve => setImmediate(resolve));
}
