/**
 * Forwards calls of plain services. A small response is buffered completely
 * before it is passed on, which allows a retry after an interrupted response if
 * the route permits it.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import {AbortScope} from '../placement/abort-scope.js';
import type {RequestFailure} from '../requests/failure.js';
import type {RetryLimit} from './call-events.js';
import {
  noUpstream,
  notRunFailureOf,
  queueFull,
  upstreamFailed,
  upstreamTimeout,
  withResumption,
} from './call-failures.js';
import type {
  RoutedCall,
  PassthroughResponse,
  PassthroughError,
} from './call.js';
import {provesCallNotRun, sendOutcomeOf} from './call.js';
import type {CallSends} from './call-sends.js';
import {cancellationFailureOf} from './cancellation.js';
import {bufferResponse} from './buffered-response.js';
import type {BufferedResponse} from './buffered-response.js';
import {firstResponse} from './plain-attempt.js';
import type {PlainAttempt} from './plain-attempt.js';
import {RetryGate} from './retry-gate.js';
import type {RetryRequest} from './retry-gate.js';
import {recordAttemptFailure} from './record-attempt-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {choosePoolByWeight} from './passthrough-parts.js';
import {BaselineDuration} from './reference-time.js';
import {StallMonitor} from '../stall-monitor.js';
import {watchSilence} from './silence-watch.js';
import {sendRefusalOf} from './send-refusal.js';
import {ServiceSelector} from './service-selector.js';
import {domainRoundTripMilliseconds} from '../decisions/domain-traffic.js';
import {plainSlots} from '../decisions/upstream-speeds.js';
import type {AttemptedCall, UpstreamLosses} from './upstream-losses.js';
import type {TrackedUpstream} from './upstream-table.js';

type CallResult = Result<PassthroughResponse, RequestFailure>;

/** Lowest status that reports a failure of the upstream. */
const firstServerErrorStatus = 500;

/**
 * Time without a response after which another upstream is sought, as a multiple
 * of the first-token target.
 */
const responseStallTargetFactor = 2;

/** The same time on a route without a first-token target. */
const defaultResponseStallMilliseconds = 1000;

/**
 * Time in which a host that starts has heard from the others. Before, it can't
 * tell calls that waited at the upstream.
 */
const firstReportsMilliseconds = 2500;

/** Outcome of the attempts of one call so far. */
interface CallProgress extends AttemptedCall {
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly triedUpstreams: Set<string>;
  attempts: number;
  readonly sends: CallSends;
  possibleRuns: number;
  /** Complete response that reports a failure of the upstream. */
  serverErrorResponse: PassthroughResponse | undefined;
  lastError: PassthroughError | undefined;
  /** Time until the limits of the upstreams allow the call, if they did not. */
  limitWaitMilliseconds: number | undefined;
  /** Set if the call may be sent nowhere. */
  refusal: RequestFailure | undefined;
}

export class PlainCallForwarder {
  private readonly baselineDurations = new Map<string, BaselineDuration>();
  private readonly retryGate: RetryGate;
  private readonly selector: ServiceSelector;
  private readonly startedAt: number;

  constructor(
    private readonly parts: PassthroughParts,
    private readonly upstreamLosses: UpstreamLosses,
  ) {
    this.retryGate = new RetryGate(parts);
    this.selector = new ServiceSelector(parts);
    this.startedAt = parts.clock.now();
  }

  /** Forwards `call`. `signal` is aborted when the caller disconnects. */
  async forward(
    call: RoutedCall,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const {upstreams} = this.parts;
    const pool = choosePoolByWeight(this.parts, call);
    if (pool === undefined) return Result.err(noUpstream);
    sends.recordCall(pool.name);
    this.parts.domains?.recordCall(pool, 'plain', 1, call.body.length);
    const progress: CallProgress = {
      call,
      pool,
      signal,
      triedUpstreams: new Set(),
      attempts: 0,
      sends,
      attemptEvents: 0,
      possibleRuns: 0,
      isSuspect: false,
      serverErrorResponse: undefined,
      lastError: undefined,
      limitWaitMilliseconds: undefined,
      refusal: undefined,
    };
    while (!signal.aborted) {
      const upstream = await this.nextUpstream(call, pool, progress);
      const response =
        upstream && (await this.attempt(call, pool, upstream, progress));
      progress.sends.settle();
      if (response !== undefined) return Result.ok(response);
      if (upstream === undefined) break;
    }
    if (progress.serverErrorResponse !== undefined)
      return Result.ok(progress.serverErrorResponse);
    if (progress.refusal !== undefined) return Result.err(progress.refusal);
    const failure = failureOf(progress, signal);
    return Result.err(
      withResumption(failure, upstreams.remainingPauseOf(pool)),
    );
  }

  /** The upstream of the next attempt; undefined if none is allowed. */
  private async nextUpstream(
    call: RoutedCall,
    pool: PoolDocument,
    progress: CallProgress,
  ): Promise<TrackedUpstream | undefined> {
    const request = {
      call,
      pool,
      counts: progress,
      reason: progress.lastError?.kind ?? 'failed',
      sends: progress.sends,
    };
    const limit = progress.isSuspect
      ? 'prompt'
      : this.retryGate.limitOf(request);
    if (limit !== undefined) {
      this.retryGate.reportWithheld(request, limit);
      return undefined;
    }
    const {signal, triedUpstreams, attempts} = progress;
    progress.refusal = sendRefusalOf(this.parts, this.upstreamLosses, progress);
    if (progress.refusal !== undefined) return undefined;
    const choice =
      attempts === 0
        ? await this.selector.chooseInTime(call, pool, signal)
        : this.selector.choose(call, pool, {triedUpstreams, ahead: 0});
    // The call may have waited.
    progress.refusal = sendRefusalOf(this.parts, this.upstreamLosses, progress);
    if (progress.refusal !== undefined) return undefined;
    switch (choice.kind) {
      case 'chosen':
        if (attempts === 0 && !progress.sends.hasArrived)
          return choice.upstream;
        return this.acquireRetry(request, choice.upstream);
      case 'limited':
        progress.limitWaitMilliseconds = choice.waitMilliseconds;
        if (attempts > 0) this.retryGate.reportWithheld(request, 'capacity');
        return undefined;
      case 'none':
        return undefined;
    }
  }

  /** Returns `upstream` if another attempt may be made there. */
  private async acquireRetry(
    request: RetryRequest,
    upstream: TrackedUpstream,
  ): Promise<TrackedUpstream | undefined> {
    if (!(await this.retryGate.acquire(request))) return undefined;
    // Other calls may have used its limit meanwhile.
    return this.parts.requestLimits.canSend(upstream.document.name, 1)
      ? upstream
      : undefined;
  }

  /**
   * Makes one attempt. A second one joins it while the upstream is silent; the
   * first response ends the call.
   */
  private async attempt(
    call: RoutedCall,
    pool: PoolDocument,
    upstream: TrackedUpstream,
    progress: CallProgress,
  ): Promise<PassthroughResponse | undefined> {
    const first = this.send(call, pool, upstream, progress);
    const other = await this.awaitHead(call, pool, first, progress);
    if (other === undefined) return first.outcome;
    const second = this.send(call, pool, other, progress);
    const winner = await firstResponse(first, second);
    if (winner?.attempt === second)
      upstream.health.recordFailure(this.parts.clock.now());
    return winner?.response;
  }

  private send(
    call: RoutedCall,
    pool: PoolDocument,
    upstream: TrackedUpstream,
    progress: CallProgress,
  ): PlainAttempt {
    const {clock, transport, upstreams} = this.parts;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    progress.triedUpstreams.add(upstream.document.name);
    progress.attempts += 1;
    upstream.health.recordAttempt(startedAt);
    this.parts.requestLimits.acquire(upstream.document.name, 1);
    const load = upstreams.addLoad(upstream, {calls: 1});
    const {name} = upstream.document;
    const callsThere =
      upstream.localLoad.calls + upstreams.reportedLoad(name).calls;
    const scope = new AbortScope(progress.signal);
    const needsNewConnection = !call.route.target.repeatable;
    const sent = progress.sends.begin(pool.name, 'run');
    const head = transport.send(
      upstream.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection,
        headersTimeoutMilliseconds: remainingMilliseconds,
      },
      scope.signal,
    );
    void watchSilence(clock, {call, upstream, head, needsNewConnection});
    const finish = async () => {
      const response = await this.buffer(call, upstream, await head);
      load.release();
      sent.end(sendOutcomeOf(response), outcomeOf(response));
      const ended = this.record(
        call,
        pool,
        upstream,
        progress,
        response,
        startedAt,
        callsThere,
      );
      if (response.isErr && response.error.kind === 'broken')
        await this.upstreamLosses.record(progress, upstream);
      return ended;
    };
    return {upstream, scope, head, outcome: finish()};
  }

  private async buffer(
    call: RoutedCall,
    upstream: TrackedUpstream,
    head: Result<PassthroughResponse, PassthroughError>,
  ): Promise<Result<BufferedResponse, PassthroughError>> {
    if (head.isErr) return Result.err(head.error);
    const {clock} = this.parts;
    return bufferResponse(head.value, upstream, clock, call.deadline);
  }

  /**
   * Waits for the head of the response. Resolves with another upstream if the
   * call is to be sent there as well.
   */
  private async awaitHead(
    call: RoutedCall,
    pool: PoolDocument,
    {head}: PlainAttempt,
    progress: CallProgress,
  ): Promise<TrackedUpstream | undefined> {
    const {repeatable, maximumTries} = call.route.target;
    if (!repeatable || progress.possibleRuns + 1 >= maximumTries)
      return undefined;
    const monitor = new StallMonitor<TrackedUpstream>({
      clock: this.parts.clock,
      stallMilliseconds: responseStallOf(call),
      deadline: call.deadline,
      findReplacement: this.replacementSearch(call, pool, progress),
      releaseReplacement: () => progress.sends.settle(),
    });
    const next = await monitor.wait(head);
    monitor.close();
    return next.kind === 'replaced' ? next.replacement : undefined;
  }

  /**
   * Returns a search for another upstream beside a silent one. Each limit is
   * reported once.
   */
  private replacementSearch(
    call: RoutedCall,
    pool: PoolDocument,
    progress: CallProgress,
  ): () => Promise<TrackedUpstream | undefined> {
    const {retryGate} = this;
    const {attempts, triedUpstreams} = progress;
    const request = {
      call,
      pool,
      counts: {attempts, possibleRuns: progress.possibleRuns + 1},
      sends: progress.sends,
      reason: 'silent',
    };
    let reportedLimit: RetryLimit | undefined;
    const withhold = (limit: RetryLimit) => {
      if (limit !== reportedLimit) retryGate.reportWithheld(request, limit);
      reportedLimit = limit;
      return undefined;
    };
    return async () => {
      const limit = this.upstreamLosses.isQuarantined(call)
        ? 'prompt'
        : retryGate.limitOf(request);
      if (limit !== undefined) return withhold(limit);
      const options = {triedUpstreams, ahead: 0, requiresUsable: true};
      const choice = this.selector.choose(call, pool, options);
      if (choice.kind !== 'chosen') return withhold('capacity');
      return this.acquireRetry(request, choice.upstream);
    };
  }

  /** Records the outcome of an attempt. A returned response ends the call. */
  private record(
    call: RoutedCall,
    pool: PoolDocument,
    upstream: TrackedUpstream,
    progress: CallProgress,
    response: Result<BufferedResponse, PassthroughError>,
    startedAt: number,
    callsThere: number,
  ): PassthroughResponse | undefined {
    const {clock, observer} = this.parts;
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: upstream.document.name,
      outcome: outcomeOf(response),
      took: now - startedAt,
    });
    if (response.isErr) {
      this.recordError(upstream, response.error, progress, now);
      return undefined;
    }
    progress.possibleRuns += 1;
    this.upstreamLosses.recordSuccess(progress);
    const ratio = this.baselineDurationFor(pool).record(now - startedAt);
    upstream.health.recordDurationRatio(now, ratio);
    this.recordSpeed(upstream, callsThere, startedAt, now);
    if (response.value.status < firstServerErrorStatus) {
      // The end of a longer response is recorded when it is known.
      if (response.value.isComplete) upstream.health.recordSuccess(now);
      return response.value;
    }
    upstream.health.recordFailure(now);
    progress.serverErrorResponse = response.value;
    return call.route.target.repeatable ? undefined : response.value;
  }

  /** Records a time, unless calls waited at the upstream then or since. */
  private recordSpeed(
    upstream: TrackedUpstream,
    callsThere: number,
    startedAt: number,
    now: number,
  ): void {
    const {name} = upstream.document;
    const {speeds, upstreams, failureDomain} = this.parts;
    if (now - this.startedAt < firstReportsMilliseconds) return;
    const callsSince = upstreams.reportedLoad(name).calls;
    if (speeds === undefined || Math.max(callsThere, callsSince) > plainSlots)
      return;
    const isRemote = upstream.document.spec.failureDomain !== failureDomain;
    const transit = isRemote ? domainRoundTripMilliseconds : 0;
    speeds.record(name, 'plain', 1, now - startedAt - transit, now);
  }

  private recordError(
    upstream: TrackedUpstream,
    error: PassthroughError,
    progress: CallProgress,
    now: number,
  ): void {
    progress.lastError = error;
    if (!provesCallNotRun(error)) progress.possibleRuns += 1;
    // What a caller's disconnect ends says nothing about the upstream.
    if (!progress.signal.aborted) recordAttemptFailure(upstream, error, now);
  }

  private baselineDurationFor({name}: PoolDocument): BaselineDuration {
    const existing = this.baselineDurations.get(name);
    if (existing !== undefined) return existing;
    const created = new BaselineDuration();
    this.baselineDurations.set(name, created);
    return created;
  }
}

function outcomeOf(
  response: Result<PassthroughResponse, PassthroughError>,
): string {
  return response.isOk ? String(response.value.status) : response.error.kind;
}

function responseStallOf({route}: RoutedCall): number {
  const {firstTokenTargetMilliseconds} = route;
  return firstTokenTargetMilliseconds === undefined
    ? defaultResponseStallMilliseconds
    : firstTokenTargetMilliseconds * responseStallTargetFactor;
}

function failureOf(
  {possibleRuns, attempts, lastError, limitWaitMilliseconds}: CallProgress,
  signal: AbortSignal,
): RequestFailure {
  if (signal.aborted)
    return cancellationFailureOf(
      signal,
      attempts === 0 ? 'not-run' : 'unknown',
    );
  if (possibleRuns === 0 && limitWaitMilliseconds !== undefined)
    return withResumption(queueFull, limitWaitMilliseconds);
  if (possibleRuns === 0) return notRunFailureOf(lastError);
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}
