/**
 * Decides whether a call is worth queueing for memory. Load pattern: more calls
 * than the engines can take for seconds, in which most waiting calls would time
 * out after their callers could have gone elsewhere.
 */

import type {WaitingCall} from './waiting-order.js';

/** A call in the queue, in the order in which calls are placed. */
export interface QueuedTokens extends WaitingCall {
  readonly tokens: number;
  /** Time until the call is refused, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Whether an earlier forecast has let the call wait. */
  readonly isAdmitted: boolean;
}

/** Whether a call is kept in the queue. */
export type QueueAdmission =
  | {readonly kind: 'wait'; readonly startMilliseconds: number | undefined}
  | {
      readonly kind: 'refuse';
      /** Infinite if calls ahead take all memory. */
      readonly startMilliseconds: number;
    };

/** Time over which rates are averaged. Bursts take 4 to 5 s. */
const averagingMilliseconds = 2000;

/**
 * Starts of calls that waited, within the averaging time, without which no
 * forecast is made. Fewer say little about the next one.
 */
const minimumStarts = 3;

/** Time with waiting calls before which no forecast is made. */
const minimumBacklogMilliseconds = 300;

/**
 * Factor by which the forecast of a waiting call may exceed its time. Forecasts
 * vary, and a waiting call is re-evaluated many times.
 */
const waitingTolerance = 3;

/** Exponentially decaying rate, in units per millisecond. */
class DecayingRate {
  private sum = 0;
  private updatedAt = -Infinity;

  add(amount: number, now: number): void {
    this.sum = this.at(now) * averagingMilliseconds + amount;
    this.updatedAt = now;
  }

  at(now: number): number {
    const age = now - this.updatedAt;
    if (age === Infinity) return 0;
    const decay = Math.exp(-age / averagingMilliseconds);
    return (this.sum * decay) / averagingMilliseconds;
  }
}

export class QueueForecast {
  private readonly started = new DecayingRate();
  /** Starts over the time in which calls waited. */
  private readonly startedOfBacklog = new DecayingRate();
  private readonly startsOfBacklog = new DecayingRate();
  private backlogMilliseconds = 0;
  private backlogSince: number | undefined;
  private readonly arrivedByUrgency = new Map<number, DecayingRate>();

  /** Records a call that arrived, whether or not it is refused. */
  recordArrival(urgency: number, tokens: number, now: number): void {
    const rate = this.arrivedByUrgency.get(urgency) ?? new DecayingRate();
    rate.add(tokens, now);
    this.arrivedByUrgency.set(urgency, rate);
  }

  /** Records that a call was placed at an engine. */
  recordStart(tokens: number, now: number): void {
    this.started.add(tokens, now);
    if (this.backlogSince === undefined) return;
    this.startedOfBacklog.add(tokens, this.backlogTime(now));
    this.startsOfBacklog.add(1, now);
  }

  /** Records whether calls wait. */
  recordBacklog(hasBacklog: boolean, now: number): void {
    this.backlogMilliseconds = this.backlogTime(now);
    this.backlogSince = hasBacklog ? now : undefined;
  }

  private backlogTime(now: number): number {
    return this.backlogMilliseconds + now - (this.backlogSince ?? now);
  }

  /**
   * Tokens that start in a millisecond while calls wait. The rate of all starts is
   * lower where calls seldom wait, and refusals would lower it further.
   */
  private rateAt(now: number): number {
    return Math.max(this.started.at(now), this.backlogRateAt(now));
  }

  private backlogRateAt(now: number): number {
    const backlog = this.backlogTime(now);
    // The average over a period shorter than the averaging time.
    const observed = 1 - Math.exp(-backlog / averagingMilliseconds);
    return this.startedOfBacklog.at(backlog) / observed;
  }

  /** Whether enough calls have waited and started lately. */
  private canForecast(now: number): boolean {
    const starts = this.startsOfBacklog.at(now);
    return (
      starts * averagingMilliseconds >= minimumStarts &&
      this.backlogTime(now) >= minimumBacklogMilliseconds
    );
  }

  /** Time until `tokens` have started beside calls that overtake them. */
  private timeFor(
    tokens: number,
    overtakes: (urgency: number) => boolean,
    now: number,
  ): number {
    let rate = this.rateAt(now);
    for (const [urgency, arrived] of this.arrivedByUrgency)
      if (overtakes(urgency)) rate -= arrived.at(now);
    return rate > 0 ? tokens / rate : Infinity;
  }

  private startOf(urgency: number, tokens: number, now: number): number {
    return this.timeFor(tokens, other => other < urgency, now);
  }

  /**
   * Time until the calls of `tokens` that wait now have started, before which a
   * refused call has no place; undefined without a forecast.
   */
  drainMilliseconds(
    urgency: number,
    tokens: number,
    now: number,
  ): number | undefined {
    return this.canForecast(now)
      ? this.startOf(urgency, tokens, now)
      : undefined;
  }

  /**
   * Decides about `call` behind calls of `tokensAhead`. More urgent calls that arrive
   * later overtake it. A call that will be late waits behind all others, also those
   * that arrive later.
   */
  admit(call: QueuedTokens, tokensAhead: number, now: number): QueueAdmission {
    if (!this.canForecast(now))
      return {kind: 'wait', startMilliseconds: undefined};
    const tolerance = call.isAdmitted ? waitingTolerance : 1;
    const tokens = tokensAhead + call.tokens;
    const onTime = this.startOf(call.urgency, tokens, now);
    const {timeLeftMilliseconds, timeoutMilliseconds} = call;
    // A begun stream waits as long as it may: its caller has a part of the answer.
    if (call.hasBegun) return {kind: 'wait', startMilliseconds: onTime};
    if (
      onTime <= tolerance * Math.max(0, timeLeftMilliseconds) &&
      onTime <= tolerance * timeoutMilliseconds
    )
      return {kind: 'wait', startMilliseconds: onTime};
    const late = this.timeFor(tokens, () => true, now);
    return late <= tolerance * timeoutMilliseconds
      ? {kind: 'wait', startMilliseconds: late}
      : {kind: 'refuse', startMilliseconds: late};
  }
}

/** A refused call that may come back. */
export interface RefusedCall {
  /** Forecast time until there may be a place; undefined without a forecast. */
  readonly drainMilliseconds: number | undefined;
  /** Number of urgencies of the pool that come before the one of the call. */
  readonly urgencyRank: number;
  /** Time until the caller gives up. */
  readonly timeLeftMilliseconds: number;
}

/** Time to come back without a forecast. */
const defaultRetryMilliseconds = 1500;

/** Shortest time to come back, in which some running call is likely to end. */
const minimumRetryMilliseconds = 100;

/** Longest time to come back: bursts last no longer. */
const maximumRetryMilliseconds = 5000;

/** Fraction of the time left that callers are ready to wait before they return. */
const honouredFraction = 1 / 3;

/**
 * Time after which a refused call should come back. `random` in [0, 1) spreads the
 * calls of one urgency over half of the forecast, each urgency after the one
 * before it.
 */
export function retryAfterMilliseconds(
  {drainMilliseconds, urgencyRank, timeLeftMilliseconds}: RefusedCall,
  random: number,
): number {
  const forecast = Math.min(
    maximumRetryMilliseconds,
    Math.max(
      minimumRetryMilliseconds,
      drainMilliseconds ?? defaultRetryMilliseconds,
    ),
  );
  const firstShare = (urgencyRank + 1) / 2;
  const longest = Math.max(0, timeLeftMilliseconds) * honouredFraction;
  // Scaled as a whole, because a limit alone would bring all of them back at once.
  const scale = Math.min(forecast, longest / (firstShare + 0.5));
  return scale * (firstShare + random / 2);
}
