/**
 * Forwards generations. Memory of a decode engine is reserved first. A prefill
 * engine then computes the KV cache of the prompt, and the decode engine
 * fetches the cache and streams the output. An interrupted stream is resumed at
 * another engine if its route allows it.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {noUpstream, withResumption} from './call-failures.js';
import type {
  RoutedCall,
  InterruptedResponseError,
  GenerationRequirements,
  PassthroughResponse,
  PassthroughError,
} from './call.js';
import {mayHaveBeenSent, provesCallNotRun} from './call.js';
import {relayEvents, bodyIdleTimeoutOf} from './event-relay.js';
import type {StreamInterruption} from './event-relay.js';
import {
  attemptFailureOf,
  queueFailureOf,
  disconnectFailureOf,
  estimateMemoryTokens,
} from './generation-run.js';
import type {GenerationState, PrefilledCache} from './generation-run.js';
import {ReservationQueue, canDecode} from './reservation-queue.js';
import type {EngineReservation} from './reservation-queue.js';
import {retryLimitOf} from './retry-limit.js';
import {recordAttemptFailure} from './record-attempt-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {choosePoolByWeight} from './passthrough-parts.js';
import {PrefillStage} from './prefill-stage.js';
import {BaselineDuration} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

type CallResult = Result<PassthroughResponse, RequestFailure>;

/**
 * Multiple of the first-token target after which a waiting call is refused. Up
 * to this time, a refusal is still useful to the caller.
 */
const queueTimeoutTargetFactor = 2.7;

/** Queue timeout of routes without a first-token target. */
const defaultQueueTimeoutMilliseconds = 2500;

/** Timeout for the headers of a response while another attempt is allowed. */
const retryableHeadersTimeoutMilliseconds = 2000;

interface StartedGeneration {
  readonly response: PassthroughResponse;
  readonly reservation: EngineReservation;
}

export class GenerationForwarder {
  private readonly queues = new Map<string, ReservationQueue>();
  private readonly latestPools = new Map<string, PoolDocument>();
  private readonly baselineEventInterval = new BaselineDuration();
  private readonly prefillStage: PrefillStage;

  constructor(private readonly parts: PassthroughParts) {
    this.prefillStage = new PrefillStage(parts);
  }

  close(): void {
    for (const queue of this.queues.values()) queue.close();
  }

  /** Number of calls that wait for memory. */
  get waitingCallCount(): number {
    return [...this.queues.values()].reduce((sum, {length}) => sum + length, 0);
  }

  /** Forwards `call`. `signal` is aborted when the caller disconnects. */
  async forward(
    call: RoutedCall,
    generation: GenerationRequirements,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const pool = choosePoolByWeight(call.route, this.parts.random);
    if (pool === undefined) return Result.err(noUpstream);
    this.latestPools.set(pool.name, pool);
    this.parts.retryBudget.recordCall(pool.name);
    const state: GenerationState = {
      call,
      generation,
      pool,
      signal,
      avoidedUpstreams: new Set(),
      attempts: 0,
      prefillAttempts: 0,
      possibleRuns: 0,
      shouldSkipPrefillStage: false,
      reusableCache: undefined,
      lastEventId: call.lastEventId,
      lastError: undefined,
    };
    const started = await this.start(state);
    this.releaseReusableCache(state);
    if (started.isErr) return Result.err(started.error);
    const {response} = started.value;
    return Result.ok({...response, body: this.relay(state, started.value)});
  }

  /** Finds an engine that answers, with retries where they are allowed. */
  private async start(
    state: GenerationState,
  ): Promise<Result<StartedGeneration, RequestFailure>> {
    const {signal} = state;
    const {releases, upstreams} = this.parts;
    for (;;) {
      const reserved = await this.reserve(state);
      if (reserved.isErr) return Result.err(reserved.error);
      const reservation = reserved.value;
      const cache = await this.prefillStage.prefill(state, reservation);
      if (signal.aborted) {
        releases.releaseReservation(reservation);
        state.reusableCache = cache;
        return Result.err(disconnectFailureOf(state));
      }
      if (!upstreams.acquireRequest(reservation.upstream.document.name)) {
        // The engine asked for a pause after it had granted the reservation.
        releases.releaseReservation(reservation);
        state.reusableCache = cache;
        continue;
      }
      const response = await this.sendAttempt(state, reservation, cache);
      if (response.isOk)
        return Result.ok({response: response.value, reservation});
      if (signal.aborted) return Result.err(disconnectFailureOf(state));
      if (
        !this.acquireRetry(
          state,
          response.error.kind,
          mayHaveBeenSent(response.error),
        )
      )
        return Result.err(attemptFailureOf(state));
    }
  }

  /**
   * Acquires permission for another attempt and reports the decision. Returns
   * false if none is allowed. Takes from the retry budget only if
   * `usesRetryBudget` is set.
   */
  private acquireRetry(
    state: GenerationState,
    reason: string,
    usesRetryBudget: boolean,
  ): boolean {
    const {clock, retryBudget, observer} = this.parts;
    const {call, pool} = state;
    const limit = retryLimitOf(call, state, clock.now());
    if (limit !== undefined) {
      observer(call.id, {kind: 'retry-withheld', reason, limit});
      return false;
    }
    if (usesRetryBudget && !retryBudget.tryAcquire(pool.name)) {
      observer(call.id, {kind: 'retry-withheld', reason, limit: 'budget'});
      return false;
    }
    observer(call.id, {kind: 'retried', reason, tries: state.attempts});
    return true;
  }

  private async reserve(
    state: GenerationState,
  ): Promise<Result<EngineReservation, RequestFailure>> {
    const {call, generation, signal, avoidedUpstreams, pool} = state;
    if (this.usableDecodeEngines(state).length === 0) avoidedUpstreams.clear();
    const queueDeadline = Math.min(call.deadline, this.queueDeadlineOf(state));
    const tokens = estimateMemoryTokens(generation);
    const reserved = await this.queueFor(pool.name).reserve(
      call,
      tokens,
      queueDeadline,
      avoidedUpstreams,
      signal,
    );
    if (reserved.isOk) return Result.ok(reserved.value);
    if (reserved.error === 'cancelled')
      return Result.err(disconnectFailureOf(state));
    const pause = this.queueFor(pool.name).remainingPause();
    const isAnyReachable =
      pause !== undefined || this.usableDecodeEngines(state).length > 0;
    const failure = queueFailureOf(state, isAnyReachable);
    return Result.err(withResumption(failure, pause));
  }

  /**
   * Clock time after which a call no longer waits for memory. The timeout
   * starts again when an interrupted stream is resumed.
   */
  private queueDeadlineOf({call, lastEventId}: GenerationState): number {
    const {firstTokenTargetMilliseconds} = call.route;
    const queueTimeoutMilliseconds =
      firstTokenTargetMilliseconds === undefined
        ? defaultQueueTimeoutMilliseconds
        : firstTokenTargetMilliseconds * queueTimeoutTargetFactor;
    const queuedAt =
      lastEventId === call.lastEventId
        ? call.arrivedAt
        : this.parts.clock.now();
    return queuedAt + queueTimeoutMilliseconds;
  }

  private usableDecodeEngines({
    pool,
    avoidedUpstreams,
  }: GenerationState): TrackedUpstream[] {
    const now = this.parts.clock.now();
    return this.parts.upstreams
      .acceptingOf(pool)
      .filter(
        ({document, health}) =>
          canDecode(document.labels ?? {}) &&
          health.isUsable(now) &&
          !avoidedUpstreams.has(document.name),
      );
  }

  private async sendAttempt(
    state: GenerationState,
    reservation: EngineReservation,
    cache: PrefilledCache | undefined,
  ): Promise<Result<PassthroughResponse, PassthroughError>> {
    const {clock, transport, observer} = this.parts;
    const {call, signal} = state;
    const engine = reservation.upstream;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    state.attempts += 1;
    const result = await transport.send(
      engine.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: true,
        headersTimeoutMilliseconds: this.isLastAttempt(state)
          ? remainingMilliseconds
          : Math.min(
              remainingMilliseconds,
              retryableHeadersTimeoutMilliseconds,
            ),
        bodyIdleTimeoutMilliseconds: bodyIdleTimeoutOf(
          call,
          remainingMilliseconds,
        ),
        lastEventId: state.lastEventId,
        cache: cache?.source,
        reservationId:
          startedAt < reservation.reservedUntil
            ? reservation.reservationId
            : undefined,
      },
      signal,
    );
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: engine.document.name,
      outcome: result.isOk ? String(result.value.status) : result.error.kind,
      took: now - startedAt,
    });
    if (result.isOk) {
      state.possibleRuns += 1;
      return result;
    }
    state.lastError = result.error;
    if (!provesCallNotRun(result.error)) state.possibleRuns += 1;
    this.parts.releases.releaseReservation(reservation);
    this.handleFailedAttempt(state, engine, cache, result.error, now);
    return result;
  }

  private handleFailedAttempt(
    state: GenerationState,
    engine: TrackedUpstream,
    cache: PrefilledCache | undefined,
    error: PassthroughError,
    now: number,
  ): void {
    // A call that was unreachable or misdirected cannot have fetched the KV
    // cache.
    const canReuseCache =
      error.kind === 'misdirected' || error.kind === 'unreachable';
    if (canReuseCache) state.reusableCache = cache;
    else if (cache !== undefined)
      this.parts.releases.releaseCache(cache.source);
    // The engine held a reservation, so a refusal is attributed to the KV
    // cache, which is mostly no longer available.
    if (cache !== undefined && error.kind === 'refused') {
      this.prefillStage.recordLostCache(cache.source.upstream.name);
      state.shouldSkipPrefillStage = true;
      return;
    }
    state.avoidedUpstreams.add(engine.document.name);
    recordAttemptFailure(engine, error, now);
  }

  private releaseReusableCache(state: GenerationState): void {
    if (state.reusableCache === undefined) return;
    this.parts.releases.releaseCache(state.reusableCache.source);
    state.reusableCache = undefined;
  }

  private isLastAttempt({call, possibleRuns}: GenerationState): boolean {
    const {repeatable, maximumTries} = call.route.target;
    return !repeatable || possibleRuns + 1 >= maximumTries;
  }

  /**
   * Relays complete events, and resumes at another engine when the stream is
   * interrupted.
   */
  private async *relay(
    state: GenerationState,
    started: StartedGeneration,
  ): AsyncGenerator<Uint8Array> {
    let {response, reservation} = started;
    try {
      for (;;) {
        const interruption = yield* relayEvents(
          this.parts.clock,
          state,
          response,
          reservation,
          this.baselineEventInterval,
        );
        if (interruption === undefined) return;
        reservation.load.release();
        this.recordInterruptedStream(state, reservation, interruption);
        const resumed = await this.resume(state, interruption.error);
        if (resumed === undefined) throw interruption.error;
        ({response, reservation} = resumed);
      }
    } finally {
      reservation.load.release();
      this.parts.onLoadChanged?.();
    }
  }

  private recordInterruptedStream(
    state: GenerationState,
    reservation: EngineReservation,
    {error, progress}: StreamInterruption,
  ): void {
    const {health, document} = reservation.upstream;
    const {reason} = error;
    this.parts.observer(state.call.id, {
      kind: 'interrupted',
      upstream: document.name,
      reason,
      ...progress,
    });
    if (reason === 'cancelled') return;
    state.avoidedUpstreams.add(document.name);
    health.recordFailure(this.parts.clock.now());
  }

  private async resume(
    state: GenerationState,
    interruption: InterruptedResponseError,
  ): Promise<StartedGeneration | undefined> {
    const {observer} = this.parts;
    const {call, signal} = state;
    if (!(call.route.target.resumable ?? false) || signal.aborted)
      return undefined;
    if (!this.acquireRetry(state, interruption.reason, true)) return undefined;
    state.shouldSkipPrefillStage = false;
    const started = await this.start(state);
    this.releaseReusableCache(state);
    if (started.isErr) {
      observer(call.id, {
        kind: 'retry-withheld',
        reason: interruption.reason,
        limit: 'capacity',
      });
      return undefined;
    }
    if (started.value.response.status !== 200) {
      started.value.reservation.load.release();
      return undefined;
    }
    observer(call.id, {
      kind: 'resumed',
      upstream: started.value.reservation.upstream.document.name,
      afterEvent: state.lastEventId ?? 0,
    });
    return started.value;
  }

  private queueFor(name: string): ReservationQueue {
    const existing = this.queues.get(name);
    if (existing !== undefined) return existing;
    const created = new ReservationQueue(this.parts, () =>
      this.latestPools.get(name)!,
    );
    this.queues.set(name, created);
    return created;
  }
}
