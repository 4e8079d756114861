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
  readonly route: {
    readonly name: string;
    readonly target: Pick<RoutedCall['route']['target'], 'stream'>;
  };
  /** Clock time at which it was read to its end; undefined until then. */
  readonly receivedAt: number | undefined;
};

/** Clock times of a stop. */
export interface StopTimes {
  readonly signalledAt: number;
  /** Until then callers may not know of the stop, and reach the host. */
  readonly admitsUntil: number;
  /** Calls that are still open are given up. */
  readonly endsAt: number;
}

/** What is known of the calls on a route before one of them has ended. */
export interface CallExpectation {
  /** Equal for routes that lead to the same pools with responses of one kind. */
  readonly group: string;
  /** Target for the whole response; undefined if its length is open. */
  readonly targetMilliseconds: number | undefined;
}

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

/** Slowest calls by name. */
type SlowestCalls = BoundedMap<string, SlowestCall>;

export class ShutdownSchedule {
  private stop: StopTimes | undefined;
  private readonly slowest: SlowestCalls = new BoundedMap(maximumRoutes);
  private readonly slowestOfGroups: SlowestCalls = new BoundedMap(
    maximumRoutes,
  );
  /** Clock times at which the calls under way began, by their route, oldest first. */
  private readonly underWay = new Map<string, Set<{readonly since: number}>>();
  private readonly watches = new Set<Watch>();

  constructor(
    private readonly clock: Clock,
    private readonly expectationOf: (
      route: string,
    ) => CallExpectation | undefined = () => undefined,
    /** Whether callers that are refused soon find another host. */
    private readonly areOthersServing: () => boolean = () => true,
  ) {}

  /** Records that the host stops. */
  begin(stop: StopTimes): void {
    this.stop = stop;
    for (const watch of this.watches) void this.run(watch, stop);
  }

  /** Records that a call on `route` begins, which ends when `ended` is aborted. */
  recordStart(route: string, ended: AbortSignal): void {
    if (ended.aborted) return;
    const call = {since: this.clock.now()};
    const calls = this.underWay.get(route) ?? new Set();
    this.underWay.set(route, calls.add(call));
    const onEnd = () => {
      calls.delete(call);
      if (calls.size === 0 && this.underWay.get(route) === calls)
        this.underWay.delete(route);
    };
    ended.addEventListener('abort', onEnd, {once: true});
  }

  /** Records the time from the last byte of a call to the end of its answer. */
  recordDuration(route: string, milliseconds: number): void {
    this.recordSlowest(this.slowest, route, milliseconds);
    const group = this.expectationOf(route)?.group;
    if (group !== undefined)
      this.recordSlowest(this.slowestOfGroups, group, milliseconds);
  }

  /** Returns whether `call` can be expected to end before the host does. */
  canFinish(call: TimedCall): boolean {
    const {stop} = this;
    return (
      stop === undefined || this.clock.now() <= this.latestSendOf(call, stop)
    );
  }

  /**
   * Calls `onTooLate` once `call` would not end before the host does. Returns a
   * function that ends the watch.
   */
  watch(call: TimedCall, onTooLate: () => void): () => void {
    const watch = {call, onTooLate, ended: new AbortController()};
    this.watches.add(watch);
    if (this.stop !== undefined) void this.run(watch, this.stop);
    return () => {
      this.watches.delete(watch);
      watch.ended.abort();
    };
  }

  private async run(
    {call, onTooLate, ended: {signal}}: Watch,
    stop: StopTimes,
  ): Promise<void> {
    const latest = this.latestSendOf(call, stop);
    if (latest === Infinity) return;
    await this.clock.sleep(Math.max(0, latest - this.clock.now()), signal);
    if (!signal.aborted) onTooLate();
  }

  /** Clock time until which `call` may be sent; -Infinity if it may not. */
  private latestSendOf(call: TimedCall, stop: StopTimes): number {
    // Its caller expects no answer later, though a stream with progress may go on.
    if (call.deadline <= stop.endsAt) return Infinity;
    const latestReceipt = this.latestReceiptOf(call, stop);
    const latestExpected = this.latestExpectedSendOf(call, stop);
    if (call.receivedAt === undefined)
      return Math.min(latestReceipt, latestExpected);
    // Another host can serve it from the start, and no estimate is a bound.
    return call.receivedAt > latestReceipt ? -Infinity : latestExpected;
  }

  /**
   * Clock time until which a call with a late deadline must have been received. The
   * length of a stream is open: it is begun only if it would hardly be served elsewhere.
   */
  private latestReceiptOf(
    {route}: TimedCall,
    {signalledAt, admitsUntil}: StopTimes,
  ): number {
    const isOpen = route.target.stream === true;
    return isOpen && this.areOthersServing() ? signalledAt : admitsUntil;
  }

  private latestExpectedSendOf(
    {route}: TimedCall,
    {endsAt}: StopTimes,
  ): number {
    const expected = this.expectedDurationOf(route.name);
    // Without an estimate, the call may take until its deadline.
    if (expected === undefined) return -Infinity;
    return endsAt - expected * durationFactor - answerMilliseconds;
  }

  /**
   * Returns the time in milliseconds that calls on `route` are known or expected to
   * take; undefined if nothing is known of them.
   */
  expectedDurationOf(route: string): number | undefined {
    const slowest = this.slowestOf(this.slowest, route);
    if (slowest !== undefined) return slowest;
    const expectation = this.expectationOf(route);
    if (expectation === undefined) return undefined;
    const {group, targetMilliseconds} = expectation;
    const slowestOfGroup = this.slowestOf(this.slowestOfGroups, group);
    if (slowestOfGroup === undefined && targetMilliseconds === undefined)
      return undefined;
    // Calls on other routes may be quicker, and a target may be missed.
    return Math.max(
      slowestOfGroup ?? 0,
      targetMilliseconds ?? 0,
      this.longestUnderWay(route),
    );
  }

  private longestUnderWay(route: string): number {
    const [oldest] = this.underWay.get(route) ?? [];
    return oldest === undefined ? 0 : this.clock.now() - oldest.since;
  }

  private recordSlowest(
    calls: SlowestCalls,
    name: string,
    milliseconds: number,
  ): void {
    const slowest = this.slowestOf(calls, name);
    if (slowest !== undefined && milliseconds < slowest) return;
    calls.set(name, {milliseconds, endedAt: this.clock.now()});
  }

  /** Returns the time of the slowest call, less the longer ago it ended. */
  private slowestOf(calls: SlowestCalls, name: string): number | undefined {
    const slowest = calls.get(name);
    if (slowest === undefined) return undefined;
    const age = this.clock.now() - slowest.endedAt;
    return slowest.milliseconds * 2 ** (-age / slowestHalfLifeMilliseconds);
  }
}
