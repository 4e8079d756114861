/**
 * Attempts of generations at engines. Memory of a decode engine is reserved
 * first. A prefill engine then computes the KV cache of the prompt, and the
 * decode engine fetches the cache and streams the output.
 */

import {Result} from 'true-myth';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {
  compareLaterEntry,
  compareStatedStart,
} from '../decisions/answering-process.js';
import {upstreamId} from '../ids.js';
import {AbortScope} from '../placement/abort-scope.js';
import type {RequestFailure} from '../requests/failure.js';
import {withResumption} from './call-failures.js';
import type {
  RoutedCall,
  PassthroughResponse,
  PassthroughError,
  TransportResult,
} from './call.js';
import {mayHaveBeenSent, provesCallNotRun, sendOutcomeOf} from './call.js';
import type {UpstreamLosses} from './upstream-losses.js';
import {
  attemptFailureOf,
  queueFailureOf,
  disconnectFailureOf,
  eventStreamStatus,
  estimateMemoryTokens,
  outputProgressOf,
  retryRequestOf,
  versionFailureOf,
} from './generation-run.js';
import type {GenerationState, PrefilledCache} from './generation-run.js';
import {
  ReservationQueue,
  decodeVersionsOf,
  meetsRequirements,
} from './reservation-queue.js';
import type {EngineReservation} from './reservation-queue.js';
import {RetryGate} from './retry-gate.js';
import {recordAttemptFailure} from './record-attempt-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {PrefillStage} from './prefill-stage.js';
import {watchSilence} from './silence-watch.js';
import {isServed} from './stream-continuation.js';
import {sendRefusalOf} from './send-refusal.js';
import {StallMonitor} from '../stall-monitor.js';
import type {StartStep} from './call-events.js';
import type {RunObserver, Takeover} from './takeover.js';
import {TakeoverSearch} from './takeover-search.js';
import type {GenerationStarter} from './takeover-search.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * Multiple of the first-token target after which a waiting call is refused. Up
 * to this time, a refusal is still useful to the caller.
 */
const queueTimeoutTargetFactor = 2.7;

/** Queue timeout of routes without a first-token target. */
const defaultQueueTimeoutMilliseconds = 2500;

/**
 * Time without the head of a response after which another engine is sought, if
 * another attempt is allowed.
 */
const headStallMilliseconds = 2000;

/**
 * Time for which an engine gets no reservation after its process turned out to be
 * another one than the list names. The next list comes within 0.8 s.
 */
const otherProcessBackoffMilliseconds = 200;

/** Size and lifetime of a reservation that only asks for the start of a process. */
const startQueryTokens = 1;
const startQueryMilliseconds = 50;

/** A generation whose engine has begun its response. */
export interface StartedGeneration {
  readonly response: PassthroughResponse;
  readonly reservation: EngineReservation;
  /** The engine as it was known when the attempt was sent. */
  readonly document: UpstreamDocument;
  /** Owns the attempt, which ends when the scope is closed. */
  readonly attempt: AbortScope;
  /** Whether a takeover has waited for its first event. */
  readonly isOpened?: boolean;
}

/** Why no engine has begun the response of a generation. */
export interface StartFailure {
  readonly step: StartStep;
  /** What the step failed for, for logs. */
  readonly reason: string;
  readonly failure: RequestFailure;
}

/** How a generation is started beside attempts that still go on. */
export interface StartOptions {
  /** Ends the start, or the attempt that came of it. */
  readonly signal: AbortSignal;
  /** Engines of the attempts that still go on. */
  readonly silentEngines: ReadonlySet<string>;
  /** Reservation for the first attempt, if there is one. */
  readonly reservation?: EngineReservation;
  /** Receives how far each run has come. */
  readonly run?: RunObserver;
}

interface FailedAttempt {
  readonly error: PassthroughError;
  /** The start at another engine that goes on, if there is one. */
  readonly takeover: Takeover | undefined;
}

interface AwaitedHead {
  readonly result: Result<PassthroughResponse, PassthroughError>;
  readonly takeover: Promise<Takeover | undefined>;
}

export interface MonitorOptions extends Pick<StartOptions, 'signal' | 'run'> {
  readonly stallMilliseconds: number;
  /** Whether the call may go on at another engine. */
  readonly isReplaceable: boolean;
  /** Engines of other attempts that still go on. */
  readonly silentEngines?: ReadonlySet<string>;
  /** Called when the attempt is given up. */
  readonly onAbandoned?: () => void;
}

const noEngines: ReadonlySet<string> = new Set();

export class GenerationAttempts implements GenerationStarter {
  private readonly queues = new Map<string, ReservationQueue>();
  private readonly latestPools = new Map<string, PoolDocument>();
  private readonly prefillStage: PrefillStage;
  private readonly retryGate: RetryGate;

  constructor(
    private readonly parts: PassthroughParts,
    private readonly upstreamLosses: UpstreamLosses,
  ) {
    this.retryGate = new RetryGate(parts);
    this.prefillStage = new PrefillStage(parts);
  }

  close(): void {
    for (const queue of this.queues.values()) queue.close();
  }

  /** Number of calls that wait for memory. */
  get waitingCallCount(): number {
    return [...this.queues.values()].reduce((sum, {length}) => sum + length, 0);
  }

  /** Records the newest document of a pool. */
  updatePool(pool: PoolDocument): void {
    this.latestPools.set(pool.name, pool);
  }

  /** Finds an engine that answers, with retries where they are allowed. */
  async start(
    state: GenerationState,
    options: StartOptions = {signal: state.signal, silentEngines: noEngines},
  ): Promise<Result<StartedGeneration, StartFailure>> {
    try {
      return await this.startCovered(state, options);
    } finally {
      state.sends.settle();
    }
  }

  /** Like `start`, and leaves retries that were not needed to its caller. */
  private async startCovered(
    state: GenerationState,
    options: StartOptions,
  ): Promise<Result<StartedGeneration, StartFailure>> {
    const {signal, silentEngines} = options;
    const failed = (step: StartStep, failure: RequestFailure) =>
      Result.err<StartedGeneration, StartFailure>({
        step,
        reason: this.failureReasonOf(state, step, failure),
        failure,
      });
    const {clock, releases, upstreams} = this.parts;
    let granted = options.reservation;
    let queuedAt = this.queuedAtOf(state, options);
    for (;;) {
      const reserved: Result<EngineReservation, RequestFailure> =
        granted === undefined
          ? await this.reserve(state, signal, queuedAt, silentEngines)
          : Result.ok(granted);
      if (reserved.isErr) return failed('reserve', reserved.error);
      const reservation = reserved.value;
      if (!this.isVerifiable(state, reservation)) {
        const {upstream, statedStart} = reservation;
        this.reportOtherProcess(state, upstream.document, statedStart);
        releases.releaseReservation(reservation);
        return failed('version', versionFailureOf(state, 'version-unverified'));
      }
      if (!this.isUsable(state, reservation)) {
        releases.releaseReservation(reservation);
        granted = undefined;
        queuedAt = clock.now();
        continue;
      }
      const cache = await this.prefillStage.prefill(state, reservation, signal);
      const stopped = signal.aborted
        ? disconnectFailureOf(state)
        : sendRefusalOf(this.parts, this.upstreamLosses, state);
      if (stopped !== undefined) {
        releases.releaseReservation(reservation);
        this.keepCache(state, cache);
        return failed('gate', stopped);
      }
      if (
        !(await this.retryGate.acquireRun(retryRequestOf(state, 'prefill')))
      ) {
        releases.releaseReservation(reservation);
        this.keepCache(state, cache);
        return failed('budget', queueFailureOf(state, true));
      }
      if (
        !this.isUsable(state, reservation) ||
        !upstreams.acquireRequest(reservation.upstream.document)
      ) {
        // After it had granted the reservation, the engine left or asked for a pause, an
        // evacuation of its failure domain began, or the list named another process.
        // The call did not wait in the queue meanwhile.
        releases.releaseReservation(reservation);
        this.keepCache(state, cache);
        granted = undefined;
        queuedAt = clock.now();
        continue;
      }
      granted = undefined;
      const started = await this.sendAttempt(
        state,
        reservation,
        cache,
        options,
      );
      if (started.isOk) return Result.ok(started.value);
      const {error, takeover} = started.error;
      const takenOver = await takeover?.started;
      if (takenOver !== undefined) return Result.ok(takenOver);
      if (signal.aborted) return failed('run', disconnectFailureOf(state));
      if (!(await this.acquireRetry(state, error.kind)))
        return failed('run', attemptFailureOf(state));
      queuedAt =
        error.kind === 'withheld'
          ? clock.now()
          : this.queuedAtOf(state, options);
    }
  }

  /** A refusal of a call that may have run does not name its reason. */
  private failureReasonOf(
    {call, lastError}: GenerationState,
    step: StartStep,
    {code}: RequestFailure,
  ): string {
    switch (step) {
      case 'reserve':
      case 'gate':
        return this.parts.sendGate.failureOf(call)?.code ?? code;
      case 'run':
        return lastError?.kind ?? code;
      case 'version':
      case 'budget':
        return code;
    }
  }

  /** Acquires permission for another attempt. */
  async acquireRetry(state: GenerationState, reason: string): Promise<boolean> {
    const request = retryRequestOf(state, reason);
    if (!state.isSuspect) return this.retryGate.acquire(request);
    this.retryGate.reportWithheld(request, 'prompt');
    return false;
  }

  /**
   * Reserves memory at none of `silentEngines`. The queue timeout counts from the clock
   * time `queuedAt`.
   */
  async reserve(
    state: GenerationState,
    signal: AbortSignal,
    queuedAt: number,
    silentEngines: ReadonlySet<string>,
  ): Promise<Result<EngineReservation, RequestFailure>> {
    const {call, generation, pool, softwareVersion} = state;
    const refusal = sendRefusalOf(this.parts, this.upstreamLosses, state);
    if (refusal !== undefined) return Result.err(refusal);
    const isAnyUsable = this.usableDecodeEngines(state).some(
      ({document}) => !silentEngines.has(document.name),
    );
    if (!isAnyUsable) state.avoidedUpstreams.clear();
    if (state.isVersionUncertain || !this.isVersionServed(state))
      return Result.err(versionFailureOf(state));
    const avoidedUpstreams =
      silentEngines.size === 0
        ? state.avoidedUpstreams
        : new Set([...state.avoidedUpstreams, ...silentEngines]);
    const queueDeadline = Math.min(
      call.deadline,
      queuedAt + queueTimeoutOf(call),
    );
    const tokens = estimateMemoryTokens(generation);
    const output =
      this.parts.usesMemoryForecast === true
        ? outputProgressOf(state)
        : undefined;
    const reserved = await this.queueFor(pool.name).reserve(
      call,
      tokens,
      queueDeadline,
      {avoidedUpstreams, softwareVersion},
      signal,
      output,
    );
    const laterRefusal = sendRefusalOf(this.parts, this.upstreamLosses, state);
    if (laterRefusal !== undefined) {
      if (reserved.isOk) this.parts.releases.releaseReservation(reserved.value);
      return Result.err(laterRefusal);
    }
    if (reserved.isOk) return Result.ok(reserved.value);
    if (reserved.error === 'cancelled')
      return Result.err(disconnectFailureOf(state));
    if (!this.isVersionServed(state))
      return Result.err(versionFailureOf(state));
    const pause = this.queueFor(pool.name).remainingPause();
    const isAnyReachable =
      pause !== undefined || this.usableDecodeEngines(state).length > 0;
    const failure = queueFailureOf(state, isAnyReachable);
    const isFull = failure.code === 'queue-full' && output !== undefined;
    const wait = isFull
      ? (pause ?? this.queueFor(pool.name).retryAfter(call, output))
      : pause;
    return Result.err(withResumption(failure, wait));
  }

  /**
   * Returns whether the engine of `reservation` may run the call. It may not if it
   * left since it granted the reservation. It may not go on with a stream if its
   * process is another one than the list names, or if the list names another version
   * since the reservation was requested.
   */
  private isUsable(
    state: GenerationState,
    {upstream, document: chosen, statedStart}: EngineReservation,
  ): boolean {
    const {call, softwareVersion} = state;
    const isHere = this.parts.sendGate.refusalOf(call, chosen) === undefined;
    if (softwareVersion === undefined) return isHere;
    const {document} = upstream;
    const hasVersion =
      (document.spec.softwareVersion ?? '') === softwareVersion;
    if (hasVersion && compareStatedStart(document, statedStart) !== 'other')
      return isHere;
    this.reportOtherProcess(state, document, statedStart);
    state.avoidedUpstreams.add(document.name);
    upstream.reservationBackoffUntil =
      this.parts.clock.now() + otherProcessBackoffMilliseconds;
    return false;
  }

  /**
   * Returns whether anything will tell which process answers: its statement, or the
   * next list.
   */
  private isVerifiable(
    {softwareVersion}: GenerationState,
    {upstream, statedStart}: EngineReservation,
  ): boolean {
    return (
      softwareVersion === undefined ||
      compareStatedStart(upstream.document, statedStart) !== 'unknown' ||
      this.parts.versionHistory.isListRecent
    );
  }

  /**
   * Resolves with whether the process that answered has the version of the stream.
   * A process that states the same start before and after its answer has given it.
   * Waits for the next list if the engine states no start.
   */
  private async isVersionVerified(
    {softwareVersion}: GenerationState,
    document: UpstreamDocument,
    {statedStart, upstream}: EngineReservation,
  ): Promise<boolean> {
    if (softwareVersion === undefined) return true;
    const {spec} = upstream.document;
    if ((spec.softwareVersion ?? '') !== softwareVersion) return false;
    if (spec.startedAt === undefined) return true;
    if (compareStatedStart(document, statedStart) === 'same') {
      const laterStart = await this.askForStart(document);
      const later = compareStatedStart(document, laterStart);
      if (later !== 'unknown') return later === 'same';
    }
    const list = await this.parts.versionHistory.nextList();
    const later = list?.get(document.name);
    return compareLaterEntry(document.spec, later) === 'same';
  }

  /**
   * Resolves with the start that an engine states now; undefined if it states none.
   * Only the answer to a reservation has it, so one is asked for that soon expires.
   */
  private async askForStart(
    document: UpstreamDocument,
  ): Promise<number | undefined> {
    const {transport, requestLimits, upstreams} = this.parts;
    const {name} = document;
    if (!requestLimits.canSend(name, 1) || !upstreams.acquireRequest(document))
      return undefined;
    requestLimits.acquire(name, 1);
    const reserved = await transport.reserve(
      document,
      startQueryTokens,
      startQueryMilliseconds,
      new AbortController().signal,
    );
    return reserved.isOk ? reserved.value.startedAt : undefined;
  }

  private reportOtherProcess(
    {call}: GenerationState,
    {name, spec}: UpstreamDocument,
    statedStart: number | undefined,
  ): void {
    this.parts.observer(call.id, {
      kind: 'other-process',
      upstream: name,
      softwareVersion: spec.softwareVersion ?? '',
      listedStart: spec.startedAt ?? 0,
      statedStart: statedStart ?? 0,
    });
  }

  /** The queue timeout starts again when a generation goes on elsewhere. */
  private queuedAtOf(
    {call, isInterrupted}: GenerationState,
    {silentEngines}: StartOptions,
  ): number {
    return isInterrupted || silentEngines.size > 0
      ? this.parts.clock.now()
      : call.receivedAt;
  }

  private usableDecodeEngines(state: GenerationState): TrackedUpstream[] {
    const now = this.parts.clock.now();
    return this.parts.upstreams
      .acceptingOf(state.pool, state.call)
      .filter(
        ({document, health}) =>
          meetsRequirements(document, state) && health.isUsable(now),
      );
  }

  /** Whether the version that began the stream, if it has begun, still serves. */
  isVersionServed({call, pool, softwareVersion}: GenerationState): boolean {
    const {upstreams} = this.parts;
    return (
      softwareVersion === undefined ||
      isServed(softwareVersion, decodeVersionsOf(upstreams, pool, call))
    );
  }

  private async sendAttempt(
    state: GenerationState,
    reservation: EngineReservation,
    cache: PrefilledCache | undefined,
    options: StartOptions,
  ): Promise<Result<StartedGeneration, FailedAttempt>> {
    const {clock, transport, requestLimits, observer, sendGate} = this.parts;
    const {call} = state;
    const engine = reservation.upstream;
    const {document} = engine;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    state.attempts += 1;
    state.possibleRuns += 1;
    const attempt = new AbortScope(options.signal);
    requestLimits.sendAcquired(document.name);
    const send = state.sends.begin(state.pool.name, 'run');
    const sent = transport.send(
      document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: true,
        headersTimeoutMilliseconds: remainingMilliseconds,
        lastEventId: state.lastEventId,
        cache: cache?.source,
        reservationId:
          startedAt < reservation.reservedUntil
            ? reservation.reservationId
            : undefined,
      },
      attempt.signal,
    );
    const watched = {call, upstream: engine, needsNewConnection: true};
    void watchSilence(clock, {...watched, head: sent});
    const head = await this.awaitHead(state, engine, sent, options);
    const isStream =
      head.result.isOk && head.result.value.status === eventStreamStatus;
    if (isStream) options.run?.accepted();
    const isVerified =
      !isStream || (await this.isVersionVerified(state, document, reservation));
    if (isStream && isVerified) options.run?.verified();
    if (!isVerified)
      this.reportOtherProcess(state, document, reservation.statedStart);
    const result = isVerified ? head.result : unverifiedResult(document);
    const now = clock.now();
    const outcome = result.isOk
      ? String(result.value.status)
      : result.error.kind;
    send.end(sendOutcomeOf(result), outcome);
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: engine.document.name,
      outcome,
      took: now - startedAt,
    });
    if (result.isOk) {
      const response = result.value;
      return Result.ok({response, reservation, document, attempt});
    }
    attempt.close();
    options.run?.failed();
    const {error} = result;
    if (provesCallNotRun(error)) state.possibleRuns -= 1;
    else sendGate.exemptFromStop(call);
    this.parts.releases.releaseUsedReservation(reservation);
    this.releaseUnusedCache(state, cache, error);
    if (!options.signal.aborted) {
      state.lastError = error;
      this.handleFailedAttempt(state, engine, cache, error, now);
      if (error.kind === 'broken') await this.recordLoss(state, engine);
    }
    return Result.err({error, takeover: await head.takeover});
  }

  /** Records an engine that broke before its first event. */
  private async recordLoss(
    state: GenerationState,
    engine: TrackedUpstream,
  ): Promise<void> {
    // An attempt that still goes on may have events.
    const lost = {...state, attemptEvents: 0};
    await this.upstreamLosses.record(lost, engine);
    state.isSuspect ||= lost.isSuspect;
  }

  /** Waits for the head of the response, or until another engine streams. */
  private async awaitHead(
    state: GenerationState,
    engine: TrackedUpstream,
    sent: TransportResult<PassthroughResponse>,
    options: StartOptions,
  ): Promise<AwaitedHead> {
    const none = Promise.resolve(undefined);
    if (this.isLastAttempt(state)) return {result: await sent, takeover: none};
    const monitor = this.monitorAttempt(state, engine, {
      stallMilliseconds: headStallMilliseconds,
      isReplaceable: state.call.route.target.repeatable,
      signal: options.signal,
      silentEngines: options.silentEngines,
      run: options.run,
    });
    const head = await monitor.wait(sent);
    if (head.kind === 'ready') {
      const result = head.value;
      const takeover = result.isErr ? monitor.adopt() : none;
      monitor.close();
      return {result, takeover};
    }
    monitor.close();
    const upstream = upstreamId(engine.document.name);
    return {
      result: Result.err({kind: 'silent', upstream}),
      takeover:
        head.kind === 'replaced' ? Promise.resolve(head.replacement) : none,
    };
  }

  /** Watches an attempt at `engine` that another engine may take over. */
  monitorAttempt(
    state: GenerationState,
    engine: TrackedUpstream,
    options: MonitorOptions,
  ): StallMonitor<Takeover> {
    const {stallMilliseconds, isReplaceable, onAbandoned} = options;
    const search = new TakeoverSearch(this.parts, this.retryGate, this, state, {
      ...options,
      silentEngines: new Set([
        ...(options.silentEngines ?? noEngines),
        engine.document.name,
      ]),
    });
    return new StallMonitor({
      clock: this.parts.clock,
      stallMilliseconds,
      deadline: state.call.deadline,
      findReplacement: (signal, commit) =>
        isReplaceable
          ? search.find(signal, commit)
          : Promise.resolve(undefined),
      // The other engine runs the generation already, and sends what arrives now again.
      graceMilliseconds: 0,
      releaseReplacement: takeover => takeover.close(),
      onAbandoned,
    });
  }

  /** A call that was not sent, or misdirected, cannot have fetched the KV cache. */
  private releaseUnusedCache(
    state: GenerationState,
    cache: PrefilledCache | undefined,
    error: PassthroughError,
  ): void {
    const canReuseCache =
      error.kind === 'misdirected' || !mayHaveBeenSent(error);
    if (canReuseCache) this.keepCache(state, cache);
    else if (cache !== undefined)
      this.parts.releases.releaseCache(cache.source);
  }

  private handleFailedAttempt(
    state: GenerationState,
    engine: TrackedUpstream,
    cache: PrefilledCache | undefined,
    error: PassthroughError,
    now: number,
  ): void {
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

  /** Keeps a cache for the next attempt; another start may have kept one as well. */
  private keepCache(
    state: GenerationState,
    cache: PrefilledCache | undefined,
  ): void {
    if (cache === undefined) return;
    this.releaseReusableCache(state);
    state.reusableCache = cache;
  }

  releaseReusableCache(state: GenerationState): void {
    if (state.reusableCache === undefined) return;
    this.parts.releases.releaseCache(state.reusableCache.source);
    state.reusableCache = undefined;
  }

  /** Whether the attempt that was sent last is the last one that is allowed. */
  private isLastAttempt({call, possibleRuns}: GenerationState): boolean {
    const {repeatable, maximumTries} = call.route.target;
    return !repeatable || possibleRuns >= maximumTries;
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

function unverifiedResult({
  name,
}: UpstreamDocument): Result<PassthroughResponse, PassthroughError> {
  return Result.err({kind: 'unverified', upstream: upstreamId(name)});
}

/** Time for which a call waits for memory. */
function queueTimeoutOf({route}: RoutedCall): number {
  const {firstTokenTargetMilliseconds} = route;
  return firstTokenTargetMilliseconds === undefined
    ? defaultQueueTimeoutMilliseconds
    : firstTokenTargetMilliseconds * queueTimeoutTargetFactor;
}
