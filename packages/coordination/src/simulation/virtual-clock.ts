/** A clock whose time passes only when it is told to. */

import type {Clock} from '../clock.js';

interface Sleeper {
  readonly wakesAt: number;
  readonly order: number;
  readonly wake: () => void;
}

const ticksPerImmediate = 64;

/** Virtual time: sleepers wake in the order of their times. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private turn = 0;
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
        order: (this.order += 1),
        wake: () => {
          signal?.removeEventListener('abort', cancel);
          resolve();
        },
      };
      insertSorted(this.sleepers, sleeper);
      signal?.addEventListener('abort', cancel, {once: true});
    });
  }

  /** Lets `milliseconds` pass and everything that falls due run. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await settle(0);
    while (this.sleepers[0] !== undefined && this.sleepers[0].wakesAt <= end) {
      const sleeper = this.sleepers.shift()!;
      this.time = Math.max(this.time, sleeper.wakesAt);
      sleeper.wake();
      await settle((this.turn += 1));
    }
    this.time = end;
  }

  /** Lets time pass until `promise` settles; gives its value. */
  async runUntil<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const mark = () => {
      isSettled = true;
    };
    promise.then(mark, mark);
    await settle(0);
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

/** Runs every task that waits for nothing but other tasks. */
function settle(turn: number): Promise<void> {
  // A tick runs when no microtask is left, far sooner than an immediate, which
  // is still needed now and then for the input and output of the process.
  if (turn % ticksPerImmediate !== 0)
    return new Promise(resolve => process.nextTick(resolve));
  return new Promise(resolve => setImmediate(resolve));
}
