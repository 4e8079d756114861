/**
 * Computes the KV caches of prompts at prefill engines, which keep a cache
 * until the decode engine fetches it.
 */

import {crashTraitsOf} from './crash-traits.js';
import {retryRequestOf} from './generation-run.js';
import type {GenerationState, PrefilledCache} from './generation-run.js';
import {cacheBytesOf, inDecidedDomain} from './domain-router.js';
import {drawByCost} from './draw-by-cost.js';
import {minBy} from './min-by.js';
import type {EngineReservation} from './reservation-queue.js';
import {recordAttemptFailure} from './record-attempt-failure.js';
import {sendOutcomeOf} from './call.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {RetryGate} from './retry-gate.js';
import {BaselineDuration} from './reference-time.js';
import {watchSilence} from './silence-watch.js';
import {reportLeftDomain} from './report-left-domain.js';
import {slownessAmong} from './upstream-slowness.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Maximum prefill attempts before each attempt at a decode engine. */
const maximumPrefillAttempts = 2;

/**
 * Fraction of the engine's hold time for which a cache is used. The rest covers
 * the transfer.
 */
const usableHoldFraction = 0.6;

/** Timeout of a prefill before another engine is tried. */
const prefillTimeoutMilliseconds = 1500;

/**
 * Time for which an engine is not used for prefills after one of its caches
 * could not be fetched.
 */
const lostCacheBackoffMilliseconds = 2000;

/** Weight of the last prefill in the share of those that were refused. */
const refusalGain = 0.3;

/** Time in which this share halves. */
const refusalHalfLifeMilliseconds = 2000;

/** Share of refused prefills from which the next one is expected to be refused. */
const likelyRefusalShare = 0.4;

/** Sends of a call whose prefill is refused: the prefill, and a run without it. */
const sendsAfterRefusal = 2;

/**
 * Weight of the prompt tokens that other hosts report. Most of these prompts
 * are finished when the report arrives.
 */
const reportedPromptWeight = 0.3;

export class PrefillStage {
  private readonly baselineDurationPerToken = new BaselineDuration();
  /**
   * Clock time until which each engine is not used, because one of its caches
   * was lost.
   */
  private readonly cacheBackoffUntil = new Map<string, number>();
  /** Share of recent prefills that engines refused, as of a clock time. */
  private refusals = {share: 0, at: 0};

  private readonly retryGate: RetryGate;

  constructor(private readonly parts: PassthroughParts) {
    this.retryGate = new RetryGate(parts);
  }

  /**
   * Computes the KV cache of the prompt; undefined if the decode engine must
   * compute it. `signal` ends the attempt that the cache is for.
   */
  async prefill(
    state: GenerationState,
    reservation: EngineReservation,
    signal = state.signal,
  ): Promise<PrefilledCache | undefined> {
    const {quarantine} = this.parts;
    const traits = crashTraitsOf(state.call);
    const reusable = this.takeReusableCache(state);
    if (reusable !== undefined) return reusable;
    if (state.shouldSkipPrefillStage) return undefined;
    const triedEngines = new Set<string>();
    const sendsUntil = Math.min(reservation.reservedUntil, state.call.deadline);
    const canSend = () =>
      !signal.aborted && this.parts.clock.now() < sendsUntil;
    for (let index = 0; index < maximumPrefillAttempts; index += 1) {
      const engine = this.choosePrefillEngine(
        state,
        triedEngines,
        reservation.upstream.document.spec.failureDomain,
      );
      if (engine === undefined || !canSend()) return undefined;
      if (quarantine.findQuarantined(traits) !== undefined) return undefined;
      // After a refused prefill, the run would need a retry that there is not. The
      // decode engine computes the prompt instead.
      if (
        this.refusedShare() >= likelyRefusalShare &&
        !state.sends.canCover(state.pool.name, sendsAfterRefusal)
      )
        return undefined;
      const isAllowed = await this.retryGate.acquirePrefill(
        retryRequestOf(state, 'prefill'),
      );
      if (!isAllowed || !canSend()) return undefined;
      triedEngines.add(engine.document.name);
      const cache = await this.prefillAt(state, engine, reservation, signal);
      if (cache !== undefined) return cache;
    }
    return undefined;
  }

  /**
   * Takes the cache left by an earlier attempt, unless it is about to expire or
   * lies in an evacuated failure domain.
   */
  private takeReusableCache(
    state: GenerationState,
  ): PrefilledCache | undefined {
    const reusable = state.reusableCache;
    state.reusableCache = undefined;
    if (reusable === undefined) return undefined;
    const isUsable =
      this.parts.clock.now() < reusable.usableUntil &&
      !this.parts.upstreams.isEvacuated(reusable.source.upstream);
    if (isUsable) return reusable;
    this.parts.releases.releaseCache(reusable.source);
    return undefined;
  }

  private choosePrefillEngine(
    state: GenerationState,
    triedEngines: ReadonlySet<string>,
    decodeDomain: string,
  ): TrackedUpstream | undefined {
    const {clock, upstreams, requestLimits, random, observer, domains} =
      this.parts;
    const now = clock.now();
    const usable = upstreams
      .acceptingOf(state.pool, state.call)
      .filter(
        ({document, health}) =>
          document.labels?.['stage'] === 'prefill' &&
          health.isUsable(now) &&
          !triedEngines.has(document.name) &&
          requestLimits.canSend(document.name, 1) &&
          (this.cacheBackoffUntil.get(document.name) ?? 0) <= now,
      );
    const {promptTokens} = state.generation;
    // The cache is moved to the decode engine, whose domain is therefore home.
    const decision = domains?.choose(state.pool, 'prefill', state.call.id, {
      from: decodeDomain,
    });
    const candidates =
      decision === undefined
        ? usable
        : inDecidedDomain(usable, decision, decodeDomain);
    const slownessOf = slownessAmong(candidates, 'prefill', this.parts, now);
    const costOf = (upstream: TrackedUpstream) => {
      const {document, localLoad, health} = upstream;
      const reportedTokens = upstreams.reportedLoad(document.name).promptTokens;
      const queued =
        localLoad.promptTokens +
        reportedTokens * reportedPromptWeight +
        promptTokens;
      const failurePenalty = 1 + 4 * health.failureShare(now);
      return (
        queued *
        slownessOf(upstream) *
        failurePenalty *
        requestLimits.penaltyOf(document.name)
      );
    };
    const chosen =
      this.parts.speeds === undefined
        ? minBy(candidates, each => costOf(each) * (1 + 0.1 * random.next()))
        : drawByCost(candidates, costOf, random);
    if (chosen !== undefined && decision !== undefined)
      reportLeftDomain(this.parts, state.call, decision, chosen.document, {
        purpose: 'prefill',
        home: decodeDomain,
        bytes: cacheBytesOf(state.pool, promptTokens),
      });
    if (chosen !== undefined)
      observer(state.call.id, {
        kind: 'chosen',
        purpose: 'prefill',
        upstream: chosen.document.name,
        candidates: candidates.length,
        load: chosen.localLoad.promptTokens,
        slowness: slownessOf(chosen),
        waited: now - state.call.arrivedAt,
      });
    return chosen;
  }

  private async prefillAt(
    state: GenerationState,
    engine: TrackedUpstream,
    reservation: EngineReservation,
    signal: AbortSignal,
  ): Promise<PrefilledCache | undefined> {
    const {clock, transport, upstreams, observer} = this.parts;
    const {call, generation} = state;
    const {promptTokens} = generation;
    const startedAt = clock.now();
    const queuedTokens = engine.localLoad.promptTokens + promptTokens;
    const {name} = engine.document;
    const reportedTokens =
      upstreams.reportedLoad(name).promptTokens * reportedPromptWeight;
    const promptLoad = {calls: 1, promptTokens};
    const load = upstreams.addLoad(engine, promptLoad);
    engine.health.recordAttempt(startedAt);
    this.parts.requestLimits.acquire(engine.document.name, 1);
    const send = state.sends.begin(state.pool.name, 'prefill');
    const remainingMilliseconds = call.deadline - startedAt;
    const sent = transport.prefill(
      engine.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: false,
        headersTimeoutMilliseconds: Math.min(
          remainingMilliseconds,
          prefillTimeoutMilliseconds,
          Math.max(0, reservation.reservedUntil - startedAt),
        ),
      },
      signal,
    );
    const watched = {call, upstream: engine, needsNewConnection: false};
    void watchSilence(clock, {...watched, head: sent});
    const handle = await sent;
    load.release();
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'prefill',
      upstream: engine.document.name,
      outcome: handle.isOk ? 'read' : handle.error.kind,
      took: now - startedAt,
    });
    if (handle.isOk) send.end('prefilled', 'read');
    else send.end(sendOutcomeOf(handle), handle.error.kind);
    this.recordRefusal(handle.isErr && handle.error.kind === 'refused', now);
    if (handle.isOk) {
      engine.health.recordSuccess(now);
      const ratio = this.baselineDurationPerToken.record(
        (now - startedAt) / queuedTokens,
      );
      engine.health.recordDurationRatio(now, ratio);
      this.parts.speeds?.record(
        name,
        'prefill',
        queuedTokens + reportedTokens,
        now - startedAt,
        now,
      );
      // An evacuation may have begun during the prefill.
      if (upstreams.isEvacuated(engine.document)) return undefined;
      const holdMilliseconds =
        state.pool.spec.engine?.cacheHoldMilliseconds ?? 0;
      return {
        source: {upstream: engine.document, handle: handle.value},
        usableUntil: now + holdMilliseconds * usableHoldFraction,
      };
    }
    if (!signal.aborted) recordAttemptFailure(engine, handle.error, now);
    return undefined;
  }

  private refusedShare(): number {
    const {share, at} = this.refusals;
    const age = this.parts.clock.now() - at;
    return share * 2 ** (-age / refusalHalfLifeMilliseconds);
  }

  private recordRefusal(isRefused: boolean, now: number): void {
    const share = this.refusedShare();
    const target = isRefused ? 1 : 0;
    this.refusals = {share: share + (target - share) * refusalGain, at: now};
  }

  /** Records that a cache of `engine` was lost before it was fetched. */
  recordLostCache(engine: string): void {
    const until = this.parts.clock.now() + lostCacheBackoffMilliseconds;
    this.cacheBackoffUntil.set(engine, until);
  }
}
