/**
 * Holds requests back until engines can be reserved for them, in fair order,
 * and refuses early what would miss its first-token target.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import {AbortScope} from './abort-scope.js';
import {FairQueue} from './fair-queue.js';
import type {QueueLimits} from './fair-queue.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {
  deadlinePassed,
  noUpstream,
  queueFull,
  targetUnreachable,
} from './placement-failures.js';
import {ServiceRate} from './service-rate.js';
import {describeWaiting} from './waiting-request.js';
import type {
  Admission,
  AdmissionTerms,
  WaitingRequest,
} from './waiting-request.js';

interface Lane {
  readonly queue: FairQueue<WaitingRequest>;
  readonly rate: ServiceRate;
  /** Requests that lost their engine; they go first. */
  readonly retries: WaitingRequest[];
}

/** What a dispatcher works with. */
export interface DispatcherParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  readonly placer: Placer;
  readonly isReserving: boolean;
  /** Requests that may wait for one set of engines. */
  readonly queuedRequests?: number;
}

const defaultQueuedRequests = 4_096;
/** Part of the queue that one account may fill. */
const accountShare = 0.25;
/** Left for prefill and transfer while a request still waits. */
const targetMarginMilliseconds = 250;
/** Left for work of other hosts that no report shows yet. */
const placementMarginMilliseconds = 150;
const leastRetryMilliseconds = 250;
/** Lanes beyond this number are forgotten when nothing waits in them. */
const maximumIdleLanes = 64;
/** How long a request that lost its engine waits for another. */
const engineWaitMilliseconds = 2_000;

export class Dispatcher {
  private readonly lanes = new Map<string, Lane>();
  private isPumping = false;
  private mustPump = false;

  constructor(private readonly parts: DispatcherParts) {}

  /** Waits for engines, at most until the request's target or deadline. */
  async admit(
    request: CompletionRequest,
    terms: AdmissionTerms,
    signal: AbortSignal,
  ): Promise<Admission> {
    const demand = this.parts.placer.demandOf(request, terms.delivered);
    const lane = this.laneOf(request);
    const settled = new AbortScope(signal);
    let admission: Admission | undefined;
    let wake = () => {};
    const waiting = describeWaiting(
      demand,
      terms,
      this.parts.configuration(),
      result => {
        admission ??= result;
        settled.close();
        wake();
      },
    );
    const refusal = this.enqueue(lane, waiting, terms);
    if (refusal !== undefined) settled.close();
    if (refusal !== undefined) return Result.err(refusal);
    this.pump();
    if (admission !== undefined) return admission;
    await this.waitForTurn(waiting, settled.signal, resume => (wake = resume));
    settled.close();
    this.remove(lane, waiting);
    return admission ?? Result.err(this.lateFailure(waiting, request));
  }

  /** Places whatever can be placed now. */
  pump(): void {
    this.mustPump = true;
    if (this.isPumping) return;
    this.isPumping = true;
    while (this.mustPump) {
      this.mustPump = false;
      for (const [key, lane] of this.lanes) {
        this.pumpLane(lane);
        if (this.lanes.size > maximumIdleLanes && isIdle(lane))
          this.lanes.delete(key);
      }
    }
    this.isPumping = false;
  }

  private pumpLane(lane: Lane): void {
    const {clock, placer} = this.parts;
    for (;;) {
      const waiting = lane.retries[0] ?? lane.queue.peek();
      if (waiting === undefined) return lane.rate.stop(clock.now());
      const outcome = placer.place(waiting.demand);
      if (outcome.kind !== 'placed') return;
      this.remove(lane, waiting, true);
      lane.rate.record(clock.now(), waiting.costTokens);
      const isLate = this.isLate(waiting, outcome.placement);
      if (isLate) outcome.placement.close();
      waiting.settle(
        isLate
          ? Result.err(targetUnreachable(leastRetryMilliseconds))
          : Result.ok(outcome.placement),
      );
    }
  }

  private enqueue(
    lane: Lane,
    waiting: WaitingRequest,
    terms: AdmissionTerms,
  ): RequestFailure | undefined {
    const {clock} = this.parts;
    if (terms.isRetry) {
      lane.retries.push(waiting);
      return undefined;
    }
    const wait = lane.rate.waitFor(
      lane.queue.costAhead(waiting.account, waiting.weight),
    );
    if (
      waiting.firstTokenBy !== undefined &&
      this.parts.isReserving &&
      clock.now() + wait > waiting.firstTokenBy - targetMarginMilliseconds
    )
      return targetUnreachable(Math.max(leastRetryMilliseconds, wait));
    if (!lane.queue.push(waiting))
      return queueFull(Math.max(leastRetryMilliseconds, wait));
    lane.rate.start(clock.now());
    return undefined;
  }

  private isLate(waiting: WaitingRequest, placement: Placement): boolean {
    if (waiting.firstTokenBy === undefined || !this.parts.isReserving)
      return false;
    const {prefillMilliseconds, transferMilliseconds} = placement.estimate;
    const step = placement.decode.report.decodeStepMilliseconds;
    return (
      this.parts.clock.now() +
        prefillMilliseconds +
        transferMilliseconds +
        2 * step +
        placementMarginMilliseconds >
      waiting.firstTokenBy
    );
  }

  private async waitForTurn(
    waiting: WaitingRequest,
    settled: AbortSignal,
    setWake: (wake: () => void) => void,
  ): Promise<void> {
    const {clock} = this.parts;
    const until = this.latestStart(waiting);
    const woken = new Promise<void>(setWake);
    // A sleep that was ended by the settled signal resolves like `woken`.
    await Promise.race([woken, clock.sleep(until - clock.now(), settled)]);
  }

  /** Time after which `waiting` is refused. */
  private latestStart(waiting: WaitingRequest): number {
    const now = this.parts.clock.now();
    const {request} = waiting.demand;
    const due =
      waiting.firstTokenBy === undefined
        ? request.deadline
        : Math.min(
            request.deadline,
            waiting.firstTokenBy - targetMarginMilliseconds,
          );
    switch (this.parts.placer.candidates.availability(request)) {
      case 'absent':
        return now;
      case 'open':
        return due;
      case 'closed':
        if (waiting.isRetry) return Math.min(due, now + engineWaitMilliseconds);
        return waiting.service === 'targeted' ? now : due;
    }
  }

  private lateFailure(
    waiting: WaitingRequest,
    request: CompletionRequest,
  ): RequestFailure {
    if (this.parts.placer.candidates.availability(request) !== 'open')
      return noUpstream(request.model);
    const isDue = this.parts.clock.now() >= request.deadline;
    if (waiting.firstTokenBy === undefined || isDue) return deadlinePassed();
    return targetUnreachable(leastRetryMilliseconds);
  }

  private remove(lane: Lane, waiting: WaitingRequest, isTurn = false): void {
    const retry = lane.retries.indexOf(waiting);
    if (retry >= 0) lane.retries.splice(retry, 1);
    else if (isTurn) lane.queue.take();
    else lane.queue.remove(waiting);
  }

  private laneOf({model, route}: CompletionRequest): Lane {
    const key = `${model}\u0000${JSON.stringify(route.spec.target)}`;
    const known = this.lanes.get(key);
    if (known !== undefined) return known;
    const lane: Lane = {
      queue: new FairQueue<WaitingRequest>(
        queueBoundsOf(this.parts.queuedRequests),
      ),
      rate: new ServiceRate(),
      retries: [],
    };
    this.lanes.set(key, lane);
    return lane;
  }
}

function isIdle({queue, retries}: Lane): boolean {
  return queue.length + retries.length === 0;
}

function queueBoundsOf(total = defaultQueuedRequests): QueueLimits {
  return {perAccount: Math.ceil(total * accountShare), total};
}
