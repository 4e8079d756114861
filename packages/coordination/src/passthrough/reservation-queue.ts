/**
 * Queue of calls that wait for memory of the decode engines of one pool. Memory
 * is reserved at the engine before the KV cache of the prompt is computed,
 * which avoids wasted prefills. The load reported by other hosts determines the
 * order of the engines. An engine that appears full gets a request only every
 * `fullEngineRetryMilliseconds`.
 */

import {setMaxListeners} from 'node:events';
import {Result} from 'true-myth';
import {
  expectedRemainingTokens,
  fitInMemory,
} from '../decisions/memory-forecast.js';
import type {MemoryFit} from '../decisions/memory-forecast.js';
import {
  allEnginesAtHome,
  homeEnginesOf,
  roomForOthers,
} from '../decisions/home-engines.js';
import type {HomeEngines} from '../decisions/home-engines.js';
import {
  QueueForecast,
  retryAfterMilliseconds,
} from '../decisions/queue-admission.js';
import {compareWaitingCalls, isWithheld} from '../decisions/waiting-order.js';
import type {BlockedCall, WaitingCall} from '../decisions/waiting-order.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {isHandoverPossible} from './call-handover.js';
import type {RoutedCall} from './call.js';
import {canDecode} from './can-decode.js';
import {crashTraitsOf} from './crash-traits.js';
import type {OutputProgress} from './generation-run.js';
import {minBy} from './min-by.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {isServed} from './stream-continuation.js';
import {reportLeftDomain} from './report-left-domain.js';
import {slownessAmong} from './upstream-slowness.js';
import {maximumPauseMilliseconds} from './upstream-table.js';
import type {
  LoadHandle,
  TrackedUpstream,
  UpstreamTable,
} from './upstream-table.js';

/** Engine memory reserved for one call. */
export interface EngineReservation {
  readonly upstream: TrackedUpstream;
  /** The engine as it was known when the reservation was requested. */
  readonly document: UpstreamDocument;
  /** Undefined if the engines of the pool take no reservations. */
  readonly reservationId: string | undefined;
  /** Clock time until which the engine keeps the reservation. */
  readonly reservedUntil: number;
  /**
   * Start of the process that granted the reservation, as it states it; undefined
   * if it does not.
   */
  readonly statedStart: number | undefined;
  /**
   * The call's entry in the local load accounting. Changes to it are not sent
   * to the engine.
   */
  readonly load: LoadHandle;
}

/** What an engine must meet to take a call. */
export interface EngineRequirements {
  readonly avoidedUpstreams: ReadonlySet<string>;
  /** Version that began the stream; undefined if it has not begun. */
  readonly softwareVersion: string | undefined;
}

interface QueuedCall {
  readonly call: RoutedCall;
  /** Memory that is reserved, or that the call uses at first if it is forecast. */
  readonly tokens: number;
  /**
   * Tokens that the call is expected to generate; undefined in pools without a
   * memory forecast.
   */
  readonly remainingTokens: number | undefined;
  /** Number of urgencies of the pool that come before the one of the call. */
  readonly urgencyRank: number;
  readonly signal: AbortSignal;
  readonly requirements: EngineRequirements;
  readonly queueDeadline: number;
  readonly settle: (
    result: Result<EngineReservation, 'expired' | 'cancelled'>,
  ) => void;
  isReserving: boolean;
  /**
   * Wait that was forecast when the call began to wait; undefined without a
   * forecast.
   */
  forecastMilliseconds: number | undefined;
  readonly queuedAt: number;
  /** Whether it was decided whether the call may wait. */
  isAdmitted: boolean;
}

const neverAborted = new AbortController().signal;
// Each pending reservation adds one listener.
setMaxListeners(0, neverAborted);

/** Estimated time for the prefill and the first token after it. */
const estimatedStartMilliseconds = 250;

/** Cost of an engine outside of the domain decided on; less than that of a full one. */
const otherDomainCost = 5;

/** Minimum backoff after an engine refused a reservation. */
const refusalBackoffMilliseconds = 50;

/**
 * Interval at which an engine that appears full by the reported load is tried
 * anyway.
 */
const fullEngineRetryMilliseconds = 2000;

/** Interval at which the queue is checked when no load changes. */
const pollIntervalMilliseconds = 50;

/**
 * Events of output by which each running call is expected to grow before one of
 * them ends.
 */
const growthEventsPerCall = 12;

/**
 * Size of the blocks in which engines allocate memory. A reservation is rounded
 * up to whole blocks, plus one block as a margin.
 */
const memoryBlockTokens = 16;

/**
 * Calls that found no engine after which no further call is tried. Each keeps one
 * engine free, and looking for engines for a whole queue takes long.
 */
const maximumBlockedCalls = 8;

/**
 * Events by which the running calls grow while the engine holds a reservation.
 * This memory must not be reserved, or the engine preempts calls in favour of
 * the reservation.
 */
const growthEventsWhileReserved = 6;

export class ReservationQueue {
  private readonly waiting = new Set<QueuedCall>();
  private readonly forecast = new QueueForecast();
  private home: HomeEngines = allEnginesAtHome;
  private pendingTimer = new AbortController();
  private readonly unsubscribe: () => void;

  constructor(
    private readonly parts: PassthroughParts,
    private readonly currentPool: () => PoolDocument,
  ) {
    this.unsubscribe = parts.upstreams.subscribeCapacity(() =>
      this.schedule(0),
    );
  }

  close(): void {
    this.unsubscribe();
    this.pendingTimer.abort();
  }

  get length(): number {
    return this.waiting.size;
  }

  /**
   * Waits until memory for `tokens` is reserved, at most until `queueDeadline`.
   * If `output` is set, the memory comes from a forecast instead.
   */
  reserve(
    call: RoutedCall,
    tokens: number,
    queueDeadline: number,
    requirements: EngineRequirements,
    signal: AbortSignal,
    output?: OutputProgress,
  ): Promise<Result<EngineReservation, 'expired' | 'cancelled'>> {
    return new Promise(resolve => {
      const entry: QueuedCall = {
        call,
        tokens: roundToBlocks(
          output === undefined
            ? tokens
            : output.promptTokens + output.generatedTokens,
        ),
        remainingTokens:
          output &&
          expectedRemainingTokens(output.estimate, output.generatedTokens),
        signal,
        requirements,
        queueDeadline,
        urgencyRank: output?.urgencyRank ?? 0,
        isReserving: false,
        forecastMilliseconds: undefined,
        queuedAt: this.parts.clock.now(),
        isAdmitted: false,
        settle: result => {
          signal.removeEventListener('abort', onAbort);
          this.waiting.delete(entry);
          resolve(result);
        },
      };
      const onAbort = () => entry.settle(Result.err('cancelled'));
      signal.addEventListener('abort', onAbort);
      this.waiting.add(entry);
      if (signal.aborted) return onAbort();
      if (output !== undefined)
        this.forecast.recordArrival(
          call.urgency,
          entry.tokens,
          this.parts.clock.now(),
        );
      this.dispatch();
    });
  }

  /**
   * Time until a decode engine can be asked, in milliseconds; undefined unless
   * all of them have asked for a pause or have reached the limit that they
   * named.
   */
  remainingPause(): number | undefined {
    const wait = this.waitByPosition()(0);
    return wait > 0 ? wait : undefined;
  }

  /**
   * Time after which a refused call should come back, in milliseconds; `output` is
   * that of its reservation.
   */
  retryAfter(call: RoutedCall, {urgencyRank}: OutputProgress): number {
    const now = this.parts.clock.now();
    const tokens = [...this.waiting]
      .filter(entry => entry.call.urgency <= call.urgency)
      .reduce((sum, entry) => sum + entry.tokens, 0);
    return retryAfterMilliseconds(
      {
        drainMilliseconds: this.forecast.drainMilliseconds(
          call.urgency,
          tokens,
          now,
        ),
        urgencyRank,
        timeLeftMilliseconds: call.deadline - now,
      },
      this.parts.random.next(),
    );
  }

  /** Returns the remaining pause for a call behind a number of other calls. */
  private waitByPosition(): (ahead: number) => number {
    const {upstreams, requestLimits} = this.parts;
    const pool = this.currentPool();
    const isEligible = ({document}: TrackedUpstream) =>
      canDecode(document.labels ?? {});
    const pause = upstreams.remainingPauseOf(pool, isEligible);
    if (pause !== undefined) return () => pause;
    const engines = upstreams
      .acceptingOf(pool)
      .filter(isEligible)
      .map(({document}) => document.name);
    if (!engines.every(engine => requestLimits.isLimited(engine)))
      return () => 0;
    const requests = this.requestsPerCall();
    return ahead => requestLimits.shortestWait(engines, requests, ahead);
  }

  /** Requests of one call to its decode engine: a reservation and the run. */
  private requestsPerCall(): number {
    const {engine} = this.currentPool().spec;
    return (engine?.reservationMilliseconds ?? 0) > 0 ? 2 : 1;
  }

  private schedule(milliseconds: number): void {
    if (this.waiting.size === 0) return;
    this.pendingTimer.abort();
    const timer = new AbortController();
    this.pendingTimer = timer;
    void this.parts.clock.sleep(milliseconds, timer.signal).then(() => {
      if (!timer.signal.aborted) this.dispatch();
    });
  }

  /**
   * Requests reservations for the first calls in the queue while an engine may
   * have capacity.
   */
  private dispatch(): void {
    const now = this.parts.clock.now();
    const waitBehind = this.waitByPosition();
    const pause = waitBehind(0);
    const isOutOfReach = this.parts.upstreams.isOutOfReach(this.currentPool());
    // A call that no engine will take before its deadline is refused at once, and
    // one that another host can take ends its wait.
    let ahead = 0;
    for (const entry of [...this.waiting]) {
      if (entry.isReserving) continue;
      if (
        now + waitBehind(ahead) >= entry.queueDeadline ||
        this.isQuarantined(entry) ||
        this.parts.sendGate.failureOf(entry.call) !== undefined ||
        (isOutOfReach && isHandoverPossible(this.parts, entry.call)) ||
        !this.isVersionServed(entry) ||
        this.parts.upstreams.exclusionOf(this.currentPool(), entry.call) !==
          undefined
      )
        entry.settle(Result.err('expired'));
      else ahead += 1;
    }
    const blocked: BlockedCall<TrackedUpstream>[] = [];
    const ordered = this.inPriorityOrder(now);
    const isForecast = ordered.some(
      ({remainingTokens}) => remainingTokens !== undefined,
    );
    if (isForecast) this.home = this.findHome();
    for (const entry of ordered) {
      const upstream = this.chooseEngine(entry, now, blocked);
      if (upstream === undefined && entry.remainingTokens !== undefined) {
        blocked.push(this.blockedCall(entry, now));
        if (blocked.length < maximumBlockedCalls) continue;
        break;
      }
      // No call overtakes one that waits for memory, because large calls would
      // starve.
      if (upstream === undefined) {
        // One with requirements waits for fewer engines than the others.
        const {avoidedUpstreams, softwareVersion} = entry.requirements;
        const isAnyEngineAllowed =
          avoidedUpstreams.size === 0 &&
          softwareVersion === undefined &&
          !this.parts.upstreams.isChoiceRestricted(entry.call);
        if (isAnyEngineAllowed) break;
        continue;
      }
      entry.isReserving = true;
      void this.reserveAt(entry, upstream);
    }
    if (isForecast) this.refuseHopeless(now);
    this.forecast.recordBacklog(
      [...this.waiting].some(({isReserving}) => !isReserving),
      now,
    );
    // While all engines have asked for a pause, there is nothing to check.
    this.schedule(
      Math.max(
        pollIntervalMilliseconds,
        Math.min(pause, maximumPauseMilliseconds),
      ),
    );
  }

  /**
   * Refuses the calls that will not start in time by the forecast, with those that
   * arrived earlier and whose forecast has worsened.
   */
  private refuseHopeless(now: number): void {
    let tokensAhead = 0;
    for (const entry of this.inPriorityOrder(now)) {
      if (entry.remainingTokens === undefined) continue;
      const queued = {
        ...waitingCallOf(entry, now),
        tokens: entry.tokens,
        timeoutMilliseconds: entry.queueDeadline - now,
        isAdmitted: entry.isAdmitted,
      };
      const admission = this.forecast.admit(queued, tokensAhead, now);
      const {kind, startMilliseconds} = admission;
      if (kind === 'wait') {
        if (!entry.isAdmitted) entry.forecastMilliseconds = startMilliseconds;
        entry.isAdmitted = true;
        tokensAhead += entry.tokens;
        continue;
      }
      this.parts.observer(entry.call.id, {
        kind: 'queue-refused',
        forecast: startMilliseconds,
        waited: now - entry.queuedAt,
        urgency: entry.call.urgency,
        tokensAhead,
      });
      entry.settle(Result.err('expired'));
    }
  }

  private isQuarantined({call}: QueuedCall): boolean {
    const traits = crashTraitsOf(call);
    return this.parts.quarantine.findQuarantined(traits) !== undefined;
  }

  private isVersionServed({requirements, call}: QueuedCall): boolean {
    const {softwareVersion} = requirements;
    return (
      softwareVersion === undefined ||
      isServed(
        softwareVersion,
        decodeVersionsOf(this.parts.upstreams, this.currentPool(), call),
      )
    );
  }

  /**
   * Calls that can still meet their target come first, ordered by urgency and
   * arrival, or as `compareWaitingCalls` says where memory is forecast.
   */
  private inPriorityOrder(now: number): QueuedCall[] {
    const waiting = [...this.waiting].filter(({isReserving}) => !isReserving);
    if (waiting.some(({remainingTokens}) => remainingTokens !== undefined))
      return waiting
        .map(entry => ({entry, state: waitingCallOf(entry, now)}))
        .sort((left, right) => compareWaitingCalls(left.state, right.state))
        .map(({entry}) => entry);
    const isLate = ({call}: QueuedCall) =>
      call.route.firstTokenTargetMilliseconds !== undefined &&
      now - call.arrivedAt + estimatedStartMilliseconds >
        call.route.firstTokenTargetMilliseconds;
    return waiting
      .map(entry => ({entry, late: Number(isLate(entry))}))
      .sort(
        (left, right) =>
          left.late - right.late ||
          left.entry.call.urgency - right.entry.call.urgency ||
          left.entry.call.arrivedAt - right.entry.call.arrivedAt,
      )
      .map(({entry}) => entry);
  }

  private chooseEngine(
    entry: QueuedCall,
    now: number,
    blocked: readonly BlockedCall<TrackedUpstream>[],
  ): TrackedUpstream | undefined {
    const {tokens, requirements, call} = entry;
    const {upstreams, requestLimits, random, observer} = this.parts;
    const pool = this.currentPool();
    const requests = this.requestsPerCall();
    const capacityTokens = pool.spec.engine?.memoryTokens ?? Infinity;
    const waitingCall = waitingCallOf(entry, now);
    const isForecast = entry.remainingTokens !== undefined;
    const eligible = upstreams
      .acceptingOf(pool, call)
      .filter(
        upstream =>
          meetsRequirements(upstream.document, requirements) &&
          !isWithheld(upstream, waitingCall, blocked),
      )
      .map(upstream => {
        const reported = upstreams.reportedLoad(upstream.document.name);
        const usedTokens =
          upstream.localLoad.memoryTokens + reported.memoryTokens;
        const calls = upstream.localLoad.calls + reported.calls;
        const hasCapacity = this.hasCapacity(upstream, entry, {
          memoryTokens: usedTokens,
          calls,
        });
        return {upstream, usedTokens, calls, hasCapacity};
      })
      .filter(
        ({upstream, hasCapacity}) =>
          now >= upstream.reservationBackoffUntil &&
          upstream.health.isUsable(now) &&
          requestLimits.canSend(upstream.document.name, requests) &&
          (hasCapacity ||
            (!isForecast &&
              now - upstream.lastReservationAttemptAt >=
                fullEngineRetryMilliseconds)),
      );
    const atHome = eligible.filter(({upstream}) => this.isAtHome(upstream));
    const candidates = isForecast && atHome.length > 0 ? atHome : eligible;
    const engines = candidates.map(({upstream}) => upstream);
    const slownessOf = slownessAmong(engines, 'decode', this.parts, now);
    const decision = this.parts.domains?.choose(pool, 'decode', call.id);
    const isElsewhere = ({document}: TrackedUpstream) =>
      decision !== undefined && document.spec.failureDomain !== decision.domain;
    const chosen = minBy(
      candidates,
      ({upstream, usedTokens, hasCapacity}) =>
        ((usedTokens + tokens) / capacityTokens) *
          slownessOf(upstream) *
          (1 + 4 * upstream.health.failureShare(now)) *
          requestLimits.penaltyOf(upstream.document.name) +
        (hasCapacity ? 0 : 10) +
        (isElsewhere(upstream) ? otherDomainCost : 0) +
        0.02 * random.next(),
    );
    if (chosen === undefined) return undefined;
    chosen.upstream.lastReservationAttemptAt = now;
    if (decision !== undefined)
      reportLeftDomain(this.parts, call, decision, chosen.upstream.document, {
        purpose: 'reserve',
        home: this.parts.failureDomain,
        bytes: call.body.length,
      });
    observer(call.id, {
      kind: 'chosen',
      purpose: 'reserve',
      upstream: chosen.upstream.document.name,
      candidates: candidates.length,
      load: chosen.calls,
      slowness: slownessOf(chosen.upstream),
      waited: now - call.arrivedAt,
    });
    return chosen.upstream;
  }

  private hasCapacity(
    upstream: TrackedUpstream,
    entry: QueuedCall,
    used: {readonly memoryTokens: number; readonly calls: number},
  ): boolean {
    const pool = this.currentPool();
    const {memoryTokens = Infinity, slots = Infinity} = pool.spec.engine ?? {};
    if (entry.remainingTokens !== undefined) {
      // The forecast is never below the use now, which is known without it.
      const isFull =
        used.calls > 0 && used.memoryTokens + entry.tokens > memoryTokens;
      return !isFull && this.forecastFit(upstream, entry).kind === 'fits';
    }
    return (
      used.memoryTokens +
        entry.tokens +
        growthHeadroomTokens(used.calls, pool) <=
        memoryTokens && used.calls < slots
    );
  }

  /**
   * Memory to reserve. With a forecast, this includes expected growth at engines
   * where other hosts place calls: the engine then refuses what does not fit
   * beside calls that they have placed since their last report.
   */
  private reservedTokens(entry: QueuedCall, upstream: TrackedUpstream): number {
    if (entry.remainingTokens === undefined) return entry.tokens;
    const {upstreams} = this.parts;
    const fit = this.forecastFit(upstream, entry);
    if (fit.kind === 'full') return entry.tokens;
    const calls =
      upstream.localLoad.calls +
      upstreams.reportedLoad(upstream.document.name).calls;
    const {tokensPerEvent = 1} = this.currentPool().spec.engine ?? {};
    const growth = calls * tokensPerEvent * growthEventsWhileReserved;
    const added = Math.max(0, fit.addedTokens - growth - entry.tokens);
    const unseenFraction = this.isAtHome(upstream)
      ? this.home.foreignFraction
      : 1;
    return roundToBlocks(entry.tokens + unseenFraction * added);
  }

  private forecastFit(upstream: TrackedUpstream, entry: QueuedCall): MemoryFit {
    const {tokens, remainingTokens = 0, urgencyRank, call} = entry;
    const waitingCall = waitingCallOf(entry, this.parts.clock.now());
    const {timeLeftMilliseconds} = waitingCall;
    const {firstTokenTargetMilliseconds = Infinity} = call.route;
    const unseenCalls = roomForOthers(
      {
        urgencyRank,
        timeLeftMilliseconds,
        targetMilliseconds: firstTokenTargetMilliseconds,
      },
      this.isAtHome(upstream),
      this.home.foreignFraction,
    );
    const {engine} = this.currentPool().spec;
    return fitInMemory(
      {
        capacityTokens: engine?.memoryTokens ?? Infinity,
        slots: engine?.slots ?? Infinity,
        running: [
          ...this.parts.upstreams.runningCalls(upstream),
          {
            calls: unseenCalls,
            memoryTokens: unseenCalls * tokens,
            remainingTokens,
          },
        ],
      },
      {calls: 1, memoryTokens: tokens, remainingTokens},
    );
  }

  /** Home engines among the decode engines of the pool. */
  private findHome(): HomeEngines {
    const {self, members, upstreams} = this.parts;
    if (self === undefined) return allEnginesAtHome;
    const others = members().filter(({isLive}) => isLive);
    const engines = upstreams
      .liveOf(this.currentPool())
      .filter(({document}) => canDecode(document.labels ?? {}));
    return homeEnginesOf(
      self,
      others.map(({host}) => host),
      engines.map(({document}) => document.name),
    );
  }

  private isAtHome({document}: TrackedUpstream): boolean {
    return this.home === allEnginesAtHome || this.home.names.has(document.name);
  }

  /** Keeps the engine with the least used memory free for a call. */
  private blockedCall(
    entry: QueuedCall,
    now: number,
  ): BlockedCall<TrackedUpstream> {
    const {upstreams} = this.parts;
    const canUse = ({document}: TrackedUpstream) =>
      meetsRequirements(document, entry.requirements);
    const usable = upstreams
      .acceptingOf(this.currentPool())
      .filter(upstream => canUse(upstream) && upstream.health.isUsable(now));
    const keptEngine = minBy(
      usable,
      ({document, localLoad}) =>
        localLoad.memoryTokens +
        upstreams.reportedLoad(document.name).memoryTokens,
    );
    return {call: waitingCallOf(entry, now), canUse, keptEngine};
  }

  private async reserveAt(
    entry: QueuedCall,
    upstream: TrackedUpstream,
  ): Promise<void> {
    const {clock, transport, upstreams, random, observer} = this.parts;
    const {tokens, remainingTokens, call} = entry;
    const lifetimeMilliseconds =
      this.currentPool().spec.engine?.reservationMilliseconds ?? 0;
    const reservedTokens = this.reservedTokens(entry, upstream);
    const load = upstreams.addLoad(upstream, {
      calls: 1,
      memoryTokens: tokens,
      remainingTokens,
    });
    this.parts.onLoadChanged?.();
    const startedAt = clock.now();
    upstream.health.recordAttempt(startedAt);
    const {document} = upstream;
    const {name} = document;
    this.parts.requestLimits.acquire(name, this.requestsPerCall(), 1);
    const recordStart = () => {
      if (remainingTokens === undefined) return;
      const now = clock.now();
      this.forecast.recordStart(tokens, now);
      const {forecastMilliseconds: forecast, queuedAt} = entry;
      if (forecast !== undefined && forecast < Infinity)
        observer(call.id, {
          kind: 'queue-left',
          forecast,
          waited: now - queuedAt,
        });
    };
    if (lifetimeMilliseconds === 0) {
      recordStart();
      entry.settle(
        Result.ok({
          upstream,
          document: upstream.document,
          reservationId: undefined,
          reservedUntil: Infinity,
          statedStart: undefined,
          load,
        }),
      );
      return;
    }
    const reserved = await transport.reserve(
      upstream.document,
      reservedTokens,
      lifetimeMilliseconds,
      // Not aborted with the call: a reservation that is granted must be released.
      neverAborted,
    );
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'reserve',
      upstream: upstream.document.name,
      outcome: reserved.isOk ? 'reserved' : reserved.error.kind,
      took: now - startedAt,
    });
    entry.isReserving = false;
    if (reserved.isOk) {
      recordStart();
      const reservedUntil = startedAt + lifetimeMilliseconds;
      const {id: reservationId, startedAt: statedStart} = reserved.value;
      const reservation = {
        upstream,
        document,
        reservationId,
        reservedUntil,
        statedStart,
        load,
      };
      if (entry.signal.aborted)
        this.parts.releases.releaseReservation(reservation);
      else entry.settle(Result.ok(reservation));
      return;
    }
    load.release();
    // The request of the run is not sent.
    this.parts.requestLimits.refund(name);
    switch (reserved.error.kind) {
      case 'refused':
        upstream.reservationBackoffUntil =
          now + refusalBackoffMilliseconds * (1 + random.next());
        break;
      case 'misdirected':
        upstream.health.recordMisdirected(now);
        break;
      case 'silent':
        // Whether the link passes bytes is not known yet.
        upstream.health.requireTrials(now);
        upstream.health.recordSilence(now);
        break;
      case 'withheld':
        break;
      case 'unreachable':
      case 'broken':
      case 'unverified':
        // An engine that breaks off a reservation counts as unreachable.
        upstream.health.recordUnreachable(now);
        break;
      case 'cancelled':
        entry.settle(Result.err('cancelled'));
    }
    this.schedule(0);
  }
}

function roundToBlocks(tokens: number): number {
  return (Math.ceil(tokens / memoryBlockTokens) + 1) * memoryBlockTokens;
}

/**
 * State of a call for the order. A stream that has begun has met its target, so it
 * is late only when its wait is over.
 */
function waitingCallOf(
  {call, requirements, queueDeadline}: QueuedCall,
  now: number,
): WaitingCall {
  const hasBegun = requirements.softwareVersion !== undefined;
  const target = call.route.firstTokenTargetMilliseconds ?? Infinity;
  return {
    urgency: call.urgency,
    hasBegun,
    timeLeftMilliseconds: hasBegun
      ? queueDeadline - now
      : call.arrivedAt +
        target -
        estimatedStartMilliseconds -
        pollIntervalMilliseconds -
        now,
  };
}

/** Memory that running calls are expected to take before one of them ends. */
function growthHeadroomTokens(calls: number, pool: PoolDocument): number {
  return calls * growthEventsPerCall * (pool.spec.engine?.tokensPerEvent ?? 1);
}

/** Returns whether an engine may take a call with `requirements`. */
export function meetsRequirements(
  {name, labels = {}, spec}: UpstreamDocument,
  {avoidedUpstreams, softwareVersion}: EngineRequirements,
): boolean {
  return (
    canDecode(labels) &&
    !avoidedUpstreams.has(name) &&
    (softwareVersion === undefined ||
      softwareVersion === (spec.softwareVersion ?? ''))
  );
}

/** Versions of the decode engines of `pool` that may serve `call`. */
export function decodeVersionsOf(
  upstreams: UpstreamTable,
  pool: PoolDocument,
  call: RoutedCall,
): ReadonlySet<string> {
  return new Set(
    upstreams
      .liveOf(pool, call)
      .filter(({document}) => canDecode(document.labels ?? {}))
      .map(({document}) => document.spec.softwareVersion ?? ''),
  );
}
