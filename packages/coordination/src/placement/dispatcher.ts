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
import type {PlacedRequest} from './engine-candidates.js';
import {FairQueue} from './fair-queue.js';
import type {QueueLimits} from './fair-queue.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {
  deadlineExceededFailure,
  noUpstreamFailure,
  queueFullFailure,
  targetUnreachableFailure,
  versionGoneFailure,
} from './placement-failures.js';
import {DispatchRate} from './dispatch-rate.js';
import {createWaitingRequest} from './waiting-request.js';
import type {
  Admission,
  AdmissionContext,
  WaitingRequest,
} from './waiting-request.js';

/** Queue of the requests with the same model and route target. */
interface ModelQueue {
  readonly queue: FairQueue<WaitingRequest>;
  readonly rate: DispatchRate;
  /** Retries, which are dispatched first. */
  readonly retries: WaitingRequest[];
}

/** Dependencies and options of a dispatcher. */
export interface DispatcherParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  readonly placer: Placer;
  /**
   * Whether requests that would miss their first-token target are refused. True
   * for the `reserving` policy.
   */
  readonly refusesLateRequests: boolean;
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
/** Number of queues, empty or not, above which empty ones are removed. */
const queueCleanupThreshold = 64;
/** How long a retry waits for an available engine before its first token. */
const retryEngineWaitMilliseconds = 2_000;

export class Dispatcher {
  private readonly modelQueues = new Map<string, ModelQueue>();
  private isDispatching = false;
  private needsDispatch = false;

  constructor(private readonly parts: DispatcherParts) {}

  /**
   * Waits until engines are reserved. Fails early if the queue is full, the
   * first-token target would be missed, or no engine is available. Retries wait
   * a limited time for an available engine, deferrable requests and completions
   * that have begun until their deadline.
   */
  async admit(
    request: PlacedRequest,
    context: AdmissionContext,
    signal: AbortSignal,
  ): Promise<Admission> {
    const demand = this.parts.placer.describeDemand(
      request,
      context.deliveredTokens,
    );
    const modelQueue = this.modelQueueOf(request);
    const settledScope = new AbortScope(signal);
    let admission: Admission | undefined;
    let notifySettled = () => {};
    const waitingRequest = createWaitingRequest(
      demand,
      context,
      this.parts.configuration(),
      result => {
        admission ??= result;
        settledScope.close();
        notifySettled();
      },
    );
    const refusal = this.enqueue(modelQueue, waitingRequest, context);
    if (refusal !== undefined) settledScope.close();
    if (refusal !== undefined) return Result.err(refusal);
    this.dispatch();
    if (admission !== undefined) return admission;
    await this.waitForTurn(
      waitingRequest,
      settledScope.signal,
      notify => (notifySettled = notify),
    );
    settledScope.close();
    this.remove(modelQueue, waitingRequest);
    return admission ?? Result.err(this.expiryFailure(waitingRequest, request));
  }

  /** Places all requests for which engines are free now. */
  dispatch(): void {
    this.needsDispatch = true;
    if (this.isDispatching) return;
    this.isDispatching = true;
    while (this.needsDispatch) {
      this.needsDispatch = false;
      for (const [key, modelQueue] of this.modelQueues) {
        this.dispatchFrom(modelQueue);
        if (this.modelQueues.size > queueCleanupThreshold && isIdle(modelQueue))
          this.modelQueues.delete(key);
      }
    }
    this.isDispatching = false;
  }

  private dispatchFrom(modelQueue: ModelQueue): void {
    const {clock, placer} = this.parts;
    for (;;) {
      const next = [...modelQueue.retries, modelQueue.queue.peek()];
      if (next[0] === undefined) return modelQueue.rate.stop(clock.now());
      const placed = placeFirst(placer, next);
      if (placed === undefined) return;
      const {waitingRequest, placement} = placed;
      this.remove(modelQueue, waitingRequest, true);
      modelQueue.rate.record(clock.now(), waitingRequest.costTokens);
      const missesFirstToken = this.missesFirstToken(waitingRequest, placement);
      if (missesFirstToken) placement.close();
      waitingRequest.settle(
        missesFirstToken
          ? Result.err(targetUnreachableFailure(minimumRetryAfterMilliseconds))
          : Result.ok(placement),
      );
    }
  }

  private enqueue(
    modelQueue: ModelQueue,
    waitingRequest: WaitingRequest,
    context: AdmissionContext,
  ): RequestFailure | undefined {
    const {clock} = this.parts;
    if (context.isRetry) {
      modelQueue.retries.push(waitingRequest);
      return undefined;
    }
    const waitMilliseconds = modelQueue.rate.estimateWaitMilliseconds(
      modelQueue.queue.costAheadTokens(
        waitingRequest.account,
        waitingRequest.weight,
      ),
    );
    if (
      waitingRequest.firstTokenDeadline !== undefined &&
      this.parts.refusesLateRequests &&
      clock.now() + waitMilliseconds >
        waitingRequest.firstTokenDeadline - firstTokenMarginMilliseconds
    )
      return targetUnreachableFailure(
        Math.max(minimumRetryAfterMilliseconds, waitMilliseconds),
      );
    if (!modelQueue.queue.enqueue(waitingRequest))
      return queueFullFailure(
        Math.max(minimumRetryAfterMilliseconds, waitMilliseconds),
      );
    modelQueue.rate.start(clock.now());
    return undefined;
  }

  private missesFirstToken(
    waitingRequest: WaitingRequest,
    placement: Placement,
  ): boolean {
    if (
      waitingRequest.firstTokenDeadline === undefined ||
      !this.parts.refusesLateRequests
    )
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
      waitingRequest.firstTokenDeadline
    );
  }

  private async waitForTurn(
    waitingRequest: WaitingRequest,
    settled: AbortSignal,
    setNotifySettled: (notifySettled: () => void) => void,
  ): Promise<void> {
    const {clock} = this.parts;
    const waitDeadline = this.waitDeadlineOf(waitingRequest);
    const settledNotification = new Promise<void>(setNotifySettled);
    // Aborting the settled signal resolves the sleep, like `woken`.
    await Promise.race([
      settledNotification,
      clock.sleep(waitDeadline - clock.now(), settled),
    ]);
  }

  /** Time until which `waiting` stays queued. */
  private waitDeadlineOf(waitingRequest: WaitingRequest): number {
    const now = this.parts.clock.now();
    const {request} = waitingRequest.demand;
    const deadline =
      waitingRequest.firstTokenDeadline === undefined
        ? request.deadline
        : Math.min(
            request.deadline,
            waitingRequest.firstTokenDeadline - firstTokenMarginMilliseconds,
          );
    switch (this.parts.placer.candidates.availability(request)) {
      case 'absent':
        return now;
      case 'available':
        return deadline;
      case 'unavailable':
        // A caller with tokens would lose them elsewhere.
        if (request.requiredVersion !== undefined) return deadline;
        if (waitingRequest.isRetry)
          return Math.min(deadline, now + retryEngineWaitMilliseconds);
        return waitingRequest.serviceClass === 'targeted' ? now : deadline;
    }
  }

  private expiryFailure(
    waitingRequest: WaitingRequest,
    request: PlacedRequest,
  ): RequestFailure {
    const availability = this.parts.placer.candidates.availability(request);
    if (availability === 'absent' && request.requiredVersion !== undefined)
      return versionGoneFailure(request.requiredVersion);
    if (availability !== 'available') return noUpstreamFailure(request.model);
    const hasExpired = this.parts.clock.now() >= request.deadline;
    if (waitingRequest.firstTokenDeadline === undefined || hasExpired)
      return deadlineExceededFailure();
    return targetUnreachableFailure(minimumRetryAfterMilliseconds);
  }

  private remove(
    modelQueue: ModelQueue,
    waitingRequest: WaitingRequest,
    isNext = false,
  ): void {
    const retry = modelQueue.retries.indexOf(waitingRequest);
    if (retry >= 0) modelQueue.retries.splice(retry, 1);
    else if (isNext) modelQueue.queue.dequeue();
    else modelQueue.queue.remove(waitingRequest);
  }

  private modelQueueOf({model, route}: CompletionRequest): ModelQueue {
    const key = `${model}\u0000${JSON.stringify(route.spec.target)}`;
    const existing = this.modelQueues.get(key);
    if (existing !== undefined) return existing;
    const modelQueue: ModelQueue = {
      queue: new FairQueue<WaitingRequest>(
        queueLimitsOf(this.parts.queuedRequests),
      ),
      rate: new DispatchRate(),
      retries: [],
    };
    this.modelQueues.set(key, modelQueue);
    return modelQueue;
  }
}

/**
 * Places the first request that can be placed. None overtakes another one, except
 * one that waits for engines of a software version.
 */
function placeFirst(
  placer: Placer,
  waitingRequests: readonly (WaitingRequest | undefined)[],
): {waitingRequest: WaitingRequest; placement: Placement} | undefined {
  for (const waitingRequest of waitingRequests) {
    if (waitingRequest === undefined) return undefined;
    const outcome = placer.place(waitingRequest.demand);
    if (outcome.kind === 'placed')
      return {waitingRequest, placement: outcome.placement};
    if (waitingRequest.demand.request.requiredVersion === undefined)
      return undefined;
  }
  return undefined;
}

function isIdle({queue, retries}: ModelQueue): boolean {
  return queue.length + retries.length === 0;
}

function queueLimitsOf(total = defaultQueuedRequests): QueueLimits {
  return {perAccount: Math.ceil(total * maximumAccountShare), total};
}
