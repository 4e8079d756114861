/**
 * Queues requests until engines can be reserved for them, in fair order, and
 * refuses early those that would miss their first-token target.
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
  deadlineExceeded,
  noUpstream,
  queueFull,
  targetUnreachable,
} from './placement-failures.js';
import {ServiceRate} from './service-rate.js';
import {createWaitingRequest} from './waiting-request.js';
import type {
  Admission,
  AdmissionTerms,
  WaitingRequest,
} from './waiting-request.js';

/** Queue of the requests with the same model and route target. */
interface TargetQueue {
  readonly queue: FairQueue<WaitingRequest>;
  readonly rate: ServiceRate;
  /** Retries, which are dispatched first. */
  readonly retries: WaitingRequest[];
}

/** Dependencies and options of a dispatcher. */
export interface DispatcherParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  readonly placer: Placer;
  readonly isReserving: boolean;
  /** Maximum number of queued requests per model and route target. */
  readonly queuedRequests?: number;
}

const defaultQueuedRequests = 4_096;
/** Share of the queue that one account can fill. */
const maximumAccountShare = 0.25;
/** Time reserved for prefill and transfer before the first-token deadline. */
const firstTokenMarginMilliseconds = 250;
/** Allowance for work of other hosts that load reports do not show yet. */
const placementMarginMilliseconds = 150;
const minimumRetryAfterMilliseconds = 250;
/** Empty queues are removed beyond this number of queues. */
const maximumIdleQueues = 64;
/** How long a retry waits for an available engine. */
const retryEngineWaitMilliseconds = 2_000;

export class Dispatcher {
  private readonly targetQueues = new Map<string, TargetQueue>();
  private isDispatching = false;
  private needsDispatch = false;

  constructor(private readonly parts: DispatcherParts) {}

  /**
   * Waits until engines are reserved, at most until the first-token deadline or
   * the request's deadline.
   */
  async admit(
    request: CompletionRequest,
    terms: AdmissionTerms,
    signal: AbortSignal,
  ): Promise<Admission> {
    const demand = this.parts.placer.describeDemand(
      request,
      terms.deliveredTokens,
    );
    const targetQueue = this.targetQueueOf(request);
    const settledScope = new AbortScope(signal);
    let admission: Admission | undefined;
    let wake = () => {};
    const waiting = createWaitingRequest(
      demand,
      terms,
      this.parts.configuration(),
      result => {
        admission ??= result;
        settledScope.close();
        wake();
      },
    );
    const refusal = this.enqueue(targetQueue, waiting, terms);
    if (refusal !== undefined) settledScope.close();
    if (refusal !== undefined) return Result.err(refusal);
    this.dispatch();
    if (admission !== undefined) return admission;
    await this.waitForTurn(
      waiting,
      settledScope.signal,
      resume => (wake = resume),
    );
    settledScope.close();
    this.remove(targetQueue, waiting);
    return admission ?? Result.err(this.expiryFailureOf(waiting, request));
  }

  /** Places all requests for which engines are free now. */
  dispatch(): void {
    this.needsDispatch = true;
    if (this.isDispatching) return;
    this.isDispatching = true;
    while (this.needsDispatch) {
      this.needsDispatch = false;
      for (const [key, targetQueue] of this.targetQueues) {
        this.dispatchFrom(targetQueue);
        if (this.targetQueues.size > maximumIdleQueues && isIdle(targetQueue))
          this.targetQueues.delete(key);
      }
    }
    this.isDispatching = false;
  }

  private dispatchFrom(targetQueue: TargetQueue): void {
    const {clock, placer} = this.parts;
    for (;;) {
      const waiting = targetQueue.retries[0] ?? targetQueue.queue.peek();
      if (waiting === undefined) return targetQueue.rate.stop(clock.now());
      const outcome = placer.place(waiting.demand);
      if (outcome.kind !== 'placed') return;
      this.remove(targetQueue, waiting, true);
      targetQueue.rate.record(clock.now(), waiting.costTokens);
      const missesFirstToken = this.missesFirstToken(
        waiting,
        outcome.placement,
      );
      if (missesFirstToken) outcome.placement.close();
      waiting.settle(
        missesFirstToken
          ? Result.err(targetUnreachable(minimumRetryAfterMilliseconds))
          : Result.ok(outcome.placement),
      );
    }
  }

  private enqueue(
    targetQueue: TargetQueue,
    waiting: WaitingRequest,
    terms: AdmissionTerms,
  ): RequestFailure | undefined {
    const {clock} = this.parts;
    if (terms.isRetry) {
      targetQueue.retries.push(waiting);
      return undefined;
    }
    const waitMilliseconds = targetQueue.rate.estimateWaitMilliseconds(
      targetQueue.queue.costAhead(waiting.account, waiting.weight),
    );
    if (
      waiting.firstTokenDeadline !== undefined &&
      this.parts.isReserving &&
      clock.now() + waitMilliseconds >
        waiting.firstTokenDeadline - firstTokenMarginMilliseconds
    )
      return targetUnreachable(
        Math.max(minimumRetryAfterMilliseconds, waitMilliseconds),
      );
    if (!targetQueue.queue.enqueue(waiting))
      return queueFull(
        Math.max(minimumRetryAfterMilliseconds, waitMilliseconds),
      );
    targetQueue.rate.start(clock.now());
    return undefined;
  }

  private missesFirstToken(
    waiting: WaitingRequest,
    placement: Placement,
  ): boolean {
    if (waiting.firstTokenDeadline === undefined || !this.parts.isReserving)
      return false;
    const {prefillMilliseconds, transferMilliseconds} = placement.estimate;
    const decodeStepMilliseconds =
      placement.decode.report.decodeStepMilliseconds;
    return (
      this.parts.clock.now() +
        prefillMilliseconds +
        transferMilliseconds +
        2 * decodeStepMilliseconds +
        placementMarginMilliseconds >
      waiting.firstTokenDeadline
    );
  }

  private async waitForTurn(
    waiting: WaitingRequest,
    settled: AbortSignal,
    setWake: (wake: () => void) => void,
  ): Promise<void> {
    const {clock} = this.parts;
    const waitDeadline = this.waitDeadlineOf(waiting);
    const woken = new Promise<void>(setWake);
    // Aborting the settled signal resolves the sleep, like `woken`.
    await Promise.race([
      woken,
      clock.sleep(waitDeadline - clock.now(), settled),
    ]);
  }

  /** Time until which `waiting` stays queued. */
  private waitDeadlineOf(waiting: WaitingRequest): number {
    const now = this.parts.clock.now();
    const {request} = waiting.demand;
    const deadline =
      waiting.firstTokenDeadline === undefined
        ? request.deadline
        : Math.min(
            request.deadline,
            waiting.firstTokenDeadline - firstTokenMarginMilliseconds,
          );
    switch (this.parts.placer.candidates.availability(request)) {
      case 'absent':
        return now;
      case 'available':
        return deadline;
      case 'unavailable':
        if (waiting.isRetry)
          return Math.min(deadline, now + retryEngineWaitMilliseconds);
        return waiting.serviceClass === 'targeted' ? now : deadline;
    }
  }

  private expiryFailureOf(
    waiting: WaitingRequest,
    request: CompletionRequest,
  ): RequestFailure {
    if (this.parts.placer.candidates.availability(request) !== 'available')
      return noUpstream(request.model);
    const hasExpired = this.parts.clock.now() >= request.deadline;
    if (waiting.firstTokenDeadline === undefined || hasExpired)
      return deadlineExceeded();
    return targetUnreachable(minimumRetryAfterMilliseconds);
  }

  private remove(
    targetQueue: TargetQueue,
    waiting: WaitingRequest,
    isNext = false,
  ): void {
    const retry = targetQueue.retries.indexOf(waiting);
    if (retry >= 0) targetQueue.retries.splice(retry, 1);
    else if (isNext) targetQueue.queue.dequeue();
    else targetQueue.queue.remove(waiting);
  }

  private targetQueueOf({model, route}: CompletionRequest): TargetQueue {
    const key = `${model}\u0000${JSON.stringify(route.spec.target)}`;
    const existing = this.targetQueues.get(key);
    if (existing !== undefined) return existing;
    const targetQueue: TargetQueue = {
      queue: new FairQueue<WaitingRequest>(
        queueLimitsOf(this.parts.queuedRequests),
      ),
      rate: new ServiceRate(),
      retries: [],
    };
    this.targetQueues.set(key, targetQueue);
    return targetQueue;
  }
}

function isIdle({queue, retries}: TargetQueue): boolean {
  return queue.length + retries.length === 0;
}

function queueLimitsOf(total = defaultQueuedRequests): QueueLimits {
  return {perAccount: Math.ceil(total * maximumAccountShare), total};
}
