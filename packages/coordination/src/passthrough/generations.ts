/**
 * Forwards generations and relays their events. An interrupted stream is resumed
 * at another engine if its route allows it.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {noUpstream} from './call-failures.js';
import type {
  RoutedCall,
  GenerationRequirements,
  PassthroughResponse,
} from './call.js';
import {cancellationCauseOf} from './cancellation.js';
import type {CallSends} from './call-sends.js';
import {cacheBytesOf} from './domain-router.js';
import {relayEvents} from './event-relay.js';
import type {StreamInterruption} from './event-relay.js';
import {GenerationAttempts} from './generation-attempts.js';
import type {UpstreamLosses} from './upstream-losses.js';
import type {StartedGeneration} from './generation-attempts.js';
import {eventStreamStatus} from './generation-run.js';
import type {GenerationState} from './generation-run.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {choosePoolByWeight} from './passthrough-parts.js';
import {BaselineDuration} from './reference-time.js';
import type {EngineReservation} from './reservation-queue.js';
import {endAttempt} from './takeover.js';
import {StreamContinuations, isContinuation} from './stream-continuations.js';
import type {GenerationTarget} from './stream-continuations.js';

type CallResult = Result<PassthroughResponse, RequestFailure>;

/** Lowest status that reports a failure of the engine. */
const firstServerErrorStatus = 500;

/** Time without an event after which another engine is sought. */
const streamStallMilliseconds = 1000;

export class GenerationForwarder {
  private readonly baselineEventInterval = new BaselineDuration();
  private readonly attempts: GenerationAttempts;
  private readonly continuations: StreamContinuations;

  constructor(
    private readonly parts: PassthroughParts,
    private readonly upstreamLosses: UpstreamLosses,
  ) {
    this.attempts = new GenerationAttempts(parts, this.upstreamLosses);
    this.continuations = new StreamContinuations(parts);
  }

  close(): void {
    this.attempts.close();
  }

  /** Number of calls that wait for memory. */
  get waitingCallCount(): number {
    return this.attempts.waitingCallCount;
  }

  /** Forwards `call`. `signal` is aborted when the caller disconnects. */
  async forward(
    call: RoutedCall,
    generation: GenerationRequirements,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const target = await this.findTarget(call);
    if (target.isErr) return Result.err(target.error);
    const {pool, softwareVersion} = target.value;
    this.attempts.updatePool(pool);
    sends.recordCall(pool.name);
    this.recordDemand(pool, call, generation);
    const state: GenerationState = {
      call,
      generation,
      pool,
      signal,
      avoidedUpstreams: new Set(),
      attempts: 0,
      sends,
      attemptEvents: 0,
      isSuspect: false,
      possibleRuns: 0,
      shouldSkipPrefillStage: false,
      reusableCache: undefined,
      isInterrupted: false,
      lastEventId: call.lastEventId,
      softwareVersion,
      isVersionUncertain: false,
      versionCheck: Promise.resolve(),
      lastError: undefined,
    };
    const started = await this.attempts.start(state);
    this.attempts.releaseReusableCache(state);
    if (started.isErr) return Result.err(started.error.failure);
    const {response} = started.value;
    this.parts.sendGate.exemptFromStop(call);
    const body =
      response.status === eventStreamStatus
        ? this.relay(state, started.value)
        : this.relayUnchanged(started.value);
    return Result.ok({...response, body});
  }

  /** Records the work of a call, which has not been placed yet. */
  private recordDemand(
    pool: PoolDocument,
    {body}: RoutedCall,
    generation: GenerationRequirements,
  ): void {
    const {domains} = this.parts;
    if (domains === undefined) return;
    const {promptTokens, maximumOutputTokens, expectedOutputTokens} =
      generation;
    const output = Math.min(
      maximumOutputTokens,
      expectedOutputTokens ?? maximumOutputTokens,
    );
    const events = output / (pool.spec.engine?.tokensPerEvent ?? 1);
    const memoryTokens = promptTokens + output / 2;
    const cacheBytes = cacheBytesOf(pool, promptTokens);
    domains.recordCall(pool, 'prefill', promptTokens, cacheBytes);
    domains.recordCall(
      pool,
      'decode',
      memoryTokens * events,
      body.length,
      memoryTokens,
    );
  }

  /** Finds what may run a call: any engine of a pool, or only some of them. */
  private async findTarget(
    call: RoutedCall,
  ): Promise<Result<GenerationTarget, RequestFailure>> {
    if (isContinuation(call)) return this.continuations.find(call);
    const pool = choosePoolByWeight(this.parts, call);
    return pool === undefined
      ? Result.err(noUpstream)
      : Result.ok({pool, softwareVersion: undefined});
  }

  /**
   * Relays complete events, and resumes at another engine when the stream is
   * interrupted.
   */
  private async *relay(
    state: GenerationState,
    started: StartedGeneration,
  ): AsyncGenerator<Uint8Array> {
    let current = started;
    try {
      for (;;) {
        const interruption = yield* this.relayAttempt(state, current);
        if (interruption === undefined) return;
        this.recordInterruptedStream(state, current.reservation, interruption);
        if (interruption.error.reason === 'broken')
          await this.upstreamLosses.record(state, current.reservation.upstream);
        const resumed = await this.resume(state, interruption);
        if (resumed === undefined) throw interruption.error;
        current = resumed;
      }
    } finally {
      this.attempts.releaseReusableCache(state);
      this.parts.onLoadChanged?.();
    }
  }

  /** Relays a response that is no event stream. */
  private async *relayUnchanged({
    response,
    reservation,
    attempt,
  }: StartedGeneration): AsyncGenerator<Uint8Array> {
    const {clock, onLoadChanged} = this.parts;
    if (response.status >= firstServerErrorStatus)
      reservation.upstream.health.recordFailure(clock.now());
    try {
      yield* response.body;
    } finally {
      attempt.close();
      reservation.load.release();
      onLoadChanged?.();
    }
  }

  /** Relays the events of one engine, and ends the attempt there. */
  private async *relayAttempt(
    state: GenerationState,
    {response, reservation, document, attempt}: StartedGeneration,
  ): AsyncGenerator<Uint8Array, StreamInterruption | undefined> {
    const {clock, speeds} = this.parts;
    const {baselineEventInterval: baselineInterval} = this;
    state.attemptEvents = 0;
    const monitor = this.attempts.monitorAttempt(state, reservation.upstream, {
      stallMilliseconds: streamStallMilliseconds,
      isReplaceable: state.call.route.target.resumable ?? false,
      signal: state.signal,
      // A caller that reads slowly holds up the relay.
      onAbandoned: () => attempt.close(),
    });
    try {
      return yield* relayEvents({
        clock,
        state,
        response,
        reservation,
        monitor,
        baselineInterval,
        speeds,
        onBegin: () =>
          this.continuations.recordBegin(state, document, reservation),
        onFirstEvent: () => this.upstreamLosses.recordSuccess(state),
      });
    } finally {
      monitor.close();
      attempt.close();
      reservation.load.release();
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
      cause: cancellationCauseOf(state.signal),
      softwareVersion: document.spec.softwareVersion ?? '',
      ...progress,
    });
    if (reason === 'cancelled') return;
    state.avoidedUpstreams.add(document.name);
    health.recordFailure(this.parts.clock.now());
  }

  /** Resolves with undefined if the stream does not go on. */
  private async resume(
    state: GenerationState,
    {error: {reason}, takeover: pendingTakeover}: StreamInterruption,
  ): Promise<StartedGeneration | undefined> {
    const {observer} = this.parts;
    const {call, signal} = state;
    const takeover = await pendingTakeover;
    if (!(call.route.target.resumable ?? false) || signal.aborted) {
      takeover?.close();
      return undefined;
    }
    await state.versionCheck;
    if (state.isVersionUncertain) {
      takeover?.close();
      observer(call.id, {kind: 'retry-withheld', reason, limit: 'version'});
      return undefined;
    }
    const started =
      (await takeover?.started) ?? (await this.startAgain(state, reason));
    if (started === undefined) return undefined;
    const {reservation, document} = started;
    state.shouldSkipPrefillStage = false;
    observer(call.id, {
      kind: 'resumed',
      upstream: reservation.upstream.document.name,
      afterEvent: state.lastEventId ?? 0,
      softwareVersion: document.spec.softwareVersion ?? '',
    });
    return started;
  }

  /** Starts a stream again that no engine goes on with. */
  private async startAgain(
    state: GenerationState,
    reason: string,
  ): Promise<StartedGeneration | undefined> {
    const {observer} = this.parts;
    const {call} = state;
    if (!(await this.attempts.acquireRetry(state, reason))) return undefined;
    state.shouldSkipPrefillStage = false;
    state.isInterrupted = true;
    const started = await this.attempts.start(state);
    this.attempts.releaseReusableCache(state);
    if (started.isErr) {
      const {step, reason: stepReason} = started.error;
      observer(call.id, {kind: 'not-resumed', step, reason: stepReason});
      const limit = this.attempts.isVersionServed(state)
        ? 'capacity'
        : 'version';
      observer(call.id, {kind: 'retry-withheld', reason, limit});
      return undefined;
    }
    if (started.value.response.status === eventStreamStatus)
      return started.value;
    endAttempt(started.value);
    return undefined;
  }
}
