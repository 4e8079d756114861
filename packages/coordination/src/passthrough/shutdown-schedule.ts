/**
 * Decides until when a host that stops may send a call to an upstream: a call that
 * would still run when the process ends is lost with it, while another host can
 * serve it from the start.
 */

import type {Clock} from '../clock.js';
import {BoundedMap} from './bounded-map.js';
import type {RoutedCall} from './call.js';

/** What decides how long a call may take. */
export type TimedCall = Pick<RoutedCall, 'deadline'> & {
  readonly route: Pick<RoutedCall['route'], 'name'>;
};

interface SlowestCall {
  readonly milliseconds: number;
  /** Clock time at which it ended. */
  readonly endedAt: number;
}

/** A call that is not ready to be sent yet. */
interface Watch {
  readonly call: TimedCall;
  readonly onTooLate: () => void;
  readonly ended: AbortController;
}

/** A call may take this many times as long as the slowest recent one. */
const durationFactor = 2;

/** Time for the answer on its way to the caller. */
const answerMilliseconds = 100;

/** Time in which the weight of the slowest call halves. */
const slowestHalfLifeMilliseconds = 60_000;

const maximumRoutes = 10_000;

export class ShutdownSchedule {
  private endsAt = Infinity;
  private readonly slowest = new BoundedMap<string, SlowestCall>(maximumRoutes);
  private readonly watches = new Set<Watch>();

  constructor(private readonly clock: Clock) {}

  /** Records that the host stops, and ends all calls at the clock time `endsAt`. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
    for (const watch of this.watches) void this.run(watch);
  }

  /** Records the time from the first send of a call to the end of its answer. */
  recordDuration(route: string, milliseconds: number): void {
    const now = this.clock.now();
    const slowest = this.slowestOf(route, now);
    if (slowest !== undefined && milliseconds < slowest) return;
    this.slowest.set(route, {milliseconds, endedAt: now});
  }

  /** Returns whether `call` will have ended before the host ends. */
  canFinish(call: TimedCall): boolean {
    if (this.endsAt === Infinity) return true;
    return this.clock.now() <= this.latestSendOf(call);
  }

  /**
   * Calls `onTooLate` once `call` would not end before the host does. Returns a
   * function that ends the watch.
   */
  watch(call: TimedCall, onTooLate: () => void): () => void {
    const watch = {call, onTooLate, ended: new AbortController()};
    this.watches.add(watch);
    if (this.endsAt !== Infinity) void this.run(watch);
    return () => {
      this.watches.delete(watch);
      watch.ended.abort();
    };
  }

  private async run({call, onTooLate, ended: {signal}}: Watch): Promise<void> {
    const latest = this.latestSendOf(call);
    if (latest === Infinity) return;
    await this.clock.sleep(Math.max(0, latest - this.clock.now()), signal);
    if (!signal.aborted) onTooLate();
  }

  /** Clock time until which `call` may be sent. */
  private latestSendOf({route, deadline}: TimedCall): number {
    // The deadline ends the call in time.
    if (deadline <= this.endsAt) return Infinity;
    const slowest = this.slowestOf(route.name, this.clock.now());
    // Without a finished call, this one may take until its deadline.
    if (slowest === undefined) return -Infinity;
    return this.endsAt - slowest * durationFactor - answerMilliseconds;
  }

  private slowestOf(route: string, now: number): number | undefined {
    const slowest = this.slowest.get(route);
    if (slowest === undefined) return undefined;
    const age = now - slowest.endedAt;
    return slowest.milliseconds * 2 ** (-age / slowestHalfLifeMilliseconds);
  }
}
