/**
 * Decides which of the calls that a process has read begin next, and which are refused
 * because its processor time does not suffice.
 *
 * Load pattern: more calls than the processor can serve for some seconds, many of which
 * have waited unread, and whose callers may have left. Serving all of them in the order
 * of arrival makes each late, and delays the reads that show who has left.
 *
 * A few calls begin in a turn of the event loop, after all that has arrived was read. A
 * call that was read in time begins at once if few have begun in the turn and none waits.
 * Those that wait begin in the order of calls that wait for engine memory, and the same
 * forecast tells which of them would begin too late.
 */

import {QueueForecast, retryAfterMilliseconds} from './queue-admission.js';
import {compareWaitingCalls} from './waiting-order.js';
import type {WaitingCall} from './waiting-order.js';

/** A call that was read. Times are clock times in milliseconds. */
export interface ReadCall {
  /**
   * Earliest time at which its last byte can have arrived, without a wait behind earlier
   * calls of its caller.
   */
  readonly arrivedAt: number;
  readonly deadline: number;
  /** Time from the arrival to the first bytes of a response; undefined without a target. */
  readonly targetMilliseconds: number | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Whether the call continues a stream of which its caller has events. */
  readonly hasBegun: boolean;
  /** Whether the caller has ended its direction, as those that leave do as well. */
  readonly hasCallerEnded: () => boolean;
}

export type CallDecision =
  | {readonly kind: 'begin'}
  | {readonly kind: 'wait'}
  | {
      readonly kind: 'refuse';
      readonly reason: ProcessorRefusal;
      readonly retryAfterMilliseconds: number;
    };

export type ProcessorRefusal =
  /** The call would begin too late by the forecast, or has waited too long. */
  | 'late'
  /** The caller may have left while its call lay unread. */
  | 'caller-ended';

export interface DecidedCall<Call> {
  readonly call: Call;
  readonly decision: Exclude<CallDecision, {kind: 'wait'}>;
}

/** Age from which a call begins only after all that has arrived behind it is read. */
const lateMilliseconds = 20;

/** Fraction of the time to its deadline in which a call has to begin. */
const latestBeginFraction = 0.5;

/** Fraction of its target in which a call has to begin to be on time. */
const onTimeBeginFraction = 0.5;

/** Age from which a call is not begun whose caller has ended its direction. */
const doubtfulMilliseconds = 400;

/** Calls are counted, not weighed, by the forecast. */
const tokensOfCall = 1;

/** Calls that begin in a turn. */
const callsInTurn = 4;

/** Another host can be reached with a new connection at once. */
const minimumRetryMilliseconds = 50;

interface WaitingEntry<Call> {
  readonly call: Call;
  /** The turn in which it was read. */
  readonly turn: number;
}

export class ProcessorQueue<Call extends ReadCall> {
  private readonly waiting = new Set<WaitingEntry<Call>>();
  private readonly forecast = new QueueForecast();
  private turn = 0;
  /** Calls that have begun in this turn. */
  private begun = 0;

  /** `random` returns numbers in [0, 1), which spread the returns of refused callers. */
  constructor(private readonly random: () => number) {}

  get size(): number {
    return this.waiting.size;
  }

  /** Decides about a call that was read; it waits in the queue if that is the decision. */
  enter(call: Call, now: number): CallDecision {
    this.forecast.recordArrival(call.urgency, tokensOfCall, now);
    const canBegin =
      this.begun < callsInTurn &&
      this.size === 0 &&
      now - call.arrivedAt < lateMilliseconds;
    if (canBegin) return this.begin();
    const reason = this.reasonToRefuse(call, now);
    if (reason !== undefined) return this.refuse(reason, call, now);
    if (!this.canWait(call, this.countAhead(call, now), now))
      return this.refuse('late', call, now);
    if (this.size === 0) this.forecast.recordBacklog(true, now);
    this.waiting.add({call, turn: this.turn});
    return {kind: 'wait'};
  }

  /** Takes a call out that is not to be begun any more. */
  remove(call: Call, now: number): void {
    for (const entry of this.waiting)
      if (entry.call === call) this.take(entry, now);
  }

  /**
   * Ends a turn of the event loop, in which all was read that had arrived. Returns the
   * calls that are decided, of which a few begin.
   */
  endTurn(now: number): readonly DecidedCall<Call>[] {
    const candidates: WaitingEntry<Call>[] = [];
    const refused: DecidedCall<Call>[] = [];
    for (const entry of this.waiting) {
      // What its caller did next is read in the turn behind it.
      if (entry.turn === this.turn) continue;
      const {call} = entry;
      const reason = this.reasonToRefuse(call, now);
      if (reason === undefined) candidates.push(entry);
      else {
        this.take(entry, now);
        refused.push({call, decision: this.refuse(reason, call, now)});
      }
    }
    this.turn += 1;
    this.begun = 0;
    const first = chooseFirst(candidates, callsInTurn, now);
    const begun = first.map(entry => {
      this.take(entry, now);
      this.forecast.recordStart(tokensOfCall, now);
      return {call: entry.call, decision: this.begin()};
    });
    return [...refused, ...begun];
  }

  private begin(): {readonly kind: 'begin'} {
    this.begun += 1;
    return {kind: 'begin'};
  }

  private take(entry: WaitingEntry<Call>, now: number): void {
    this.waiting.delete(entry);
    if (this.size === 0) this.forecast.recordBacklog(false, now);
  }

  private reasonToRefuse(
    call: Call,
    now: number,
  ): ProcessorRefusal | undefined {
    const age = now - call.arrivedAt;
    if (age >= doubtfulMilliseconds && call.hasCallerEnded())
      return 'caller-ended';
    if (now >= latestBeginOf(call)) return 'late';
    // Calls that are on time overtake one that is late.
    const isLate = stateOf(call, now).timeLeftMilliseconds < 0;
    return isLate && !this.canWait(call, this.size, now) ? 'late' : undefined;
  }

  /** Whether `call` would begin in its time by the forecast, behind `callsAhead` others. */
  private canWait(call: Call, callsAhead: number, now: number): boolean {
    if (callsAhead === 0) return true;
    const queued = {
      ...stateOf(call, now),
      timeoutMilliseconds: latestBeginOf(call) - now,
      tokens: tokensOfCall,
      isAdmitted: false,
    };
    return this.forecast.admit(queued, callsAhead, now).kind === 'wait';
  }

  private countAhead(call: Call, now: number): number {
    const state = stateOf(call, now);
    let count = 0;
    for (const entry of this.waiting)
      if (compareWaitingCalls(stateOf(entry.call, now), state) <= 0) count += 1;
    return count;
  }

  private refuse(
    reason: ProcessorRefusal,
    call: Call,
    now: number,
  ): Extract<CallDecision, {kind: 'refuse'}> {
    const {urgency, deadline} = call;
    const tokens = this.size * tokensOfCall;
    const drain = this.forecast.drainMilliseconds(urgency, tokens, now) ?? 0;
    const refused = {
      drainMilliseconds: drain,
      urgencyRank: 0,
      timeLeftMilliseconds: deadline - now,
    };
    return {
      kind: 'refuse',
      reason,
      retryAfterMilliseconds: Math.max(
        minimumRetryMilliseconds,
        retryAfterMilliseconds(refused, this.random()),
      ),
    };
  }
}

/** Returns up to `count` entries that begin before all others. */
function chooseFirst<Call extends ReadCall>(
  entries: readonly WaitingEntry<Call>[],
  count: number,
  now: number,
): readonly WaitingEntry<Call>[] {
  if (entries.length <= count) return entries;
  return entries
    .map(entry => ({entry, state: stateOf(entry.call, now)}))
    .sort((left, right) => compareWaitingCalls(left.state, right.state))
    .slice(0, count)
    .map(({entry}) => entry);
}

function latestBeginOf({arrivedAt, deadline}: ReadCall): number {
  return arrivedAt + (deadline - arrivedAt) * latestBeginFraction;
}

function stateOf(
  {urgency, hasBegun, arrivedAt, targetMilliseconds}: ReadCall,
  now: number,
): WaitingCall {
  const timeLeftMilliseconds =
    targetMilliseconds === undefined
      ? Infinity
      : arrivedAt + targetMilliseconds * onTimeBeginFraction - now;
  return {urgency, hasBegun, timeLeftMilliseconds};
}
