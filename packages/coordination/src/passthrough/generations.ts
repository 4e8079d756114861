/**
 * Generations: memory of a decode engine is reserved, the prompt is read at a
 * prefill engine, and the decode engine fetches the cache and streams. A stream
 * that breaks off goes on at another engine where its route allows that.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {noUpstream} from './call-failures.js';
import type {
  AdmittedCall,
  BrokenAnswerError,
  Generation,
  PassthroughAnswer,
  PassthroughError,
} from './call.js';
import {hasArrived, provesCallNotRun} from './call.js';
import {relayEvents, streamSilenceOf} from './event-relay.js';
import {
  failureOf,
  fullFailure,
  goneFailure,
  memoryOf,
} from './generation-run.js';
import type {GenerationRun, KeptCache} from './generation-run.js';
import {MemoryQueue, canDecode} from './memory-queue.js';
import type {Place} from './memory-queue.js';
import {noteFailure} from './note-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {drawPool} from './passthrough-parts.js';
import {PrefillStage} from './prefill-stage.js';
import {ReferenceTime} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

type Answer = Result<PassthroughAnswer, RequestFailure>;

/** Sendings to decode engines for one call, refused ones included. */
const maximumSendings = 4;

/** Share of the wait of a caller after which a refusal is still of use. */
const queuedTargets = 2.7;

/** Longest wait for memory of routes without a target. */
const usualQueueMilliseconds = 2500;

/** The same before the first byte, where a call may run again. */
const startSilenceMilliseconds = 2000;

interface Started {
  readonly answer: PassthroughAnswer;
  readonly place: Place;
}

export class Generations {
  private readonly queues = new Map<string, MemoryQueue>();
  private readonly pools = new Map<string, PoolDocument>();
  private readonly usualGap = new ReferenceTime();
  private readonly prefills: PrefillStage;

  constructor(private readonly parts: PassthroughParts) {
    this.prefills = new PrefillStage(parts);
  }

  close(): void {
    for (const queue of this.queues.values()) queue.close();
  }

  /** Calls that wait for memory. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, {length}) => sum + length, 0);
  }

  /** Runs `call`; `signal` is aborted when its caller has gone. */
  async run(
    call: AdmittedCall,
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Answer> {
    const pool = drawPool(call.route, this.parts.random);
    if (pool === undefined) return Result.err(noUpstream);
    this.pools.set(pool.name, pool);
    this.parts.retryBudget.countCall(pool.name);
    const run: GenerationRun = {
      call,
      generation,
      pool,
      signal,
      avoided: new Set(),
      sendings: 0,
      prefills: 0,
      runs: 0,
      readsPromptItself: false,
      keptCache: undefined,
      lastEvent: call.lastEventId,
      lastError: undefined,
    };
    const started = await this.start(run);
    this.releaseKept(run);
    if (started.isErr) return Result.err(started.error);
    const {answer} = started.value;
    return Result.ok({...answer, body: this.relay(run, started.value)});
  }

  /** Finds an engine that answers; tries again where that is allowed. */
  private async start(
    run: GenerationRun,
  ): Promise<Result<Started, RequestFailure>> {
    const {signal} = run;
    for (;;) {
      const placed = await this.place(run);
      if (placed.isErr) return Result.err(placed.error);
      const place = placed.value;
      const cache = await this.prefills.read(run, place);
      if (signal.aborted) {
        this.releasePlace(place);
        run.keptCache = cache;
        return Result.err(goneFailure(run));
      }
      const answer = await this.send(run, place, cache);
      if (answer.isOk) return Result.ok({answer: answer.value, place});
      if (signal.aborted) return Result.err(goneFailure(run));
      if (!this.mayTryAgain(run, answer.error.kind, hasArrived(answer.error)))
        return Result.err(failureOf(run));
    }
  }

  /** Only a sending that arrived makes the next one count as a repeat. */
  private mayTryAgain(
    run: GenerationRun,
    reason: string,
    isRepeat: boolean,
  ): boolean {
    const {clock, retryBudget: retries, observer} = this.parts;
    const {call, pool} = run;
    const {maximumTries, repeatable} = call.route.target;
    if (clock.now() >= call.deadline) return false;
    if (run.runs >= (repeatable ? maximumTries : 1)) return false;
    if (run.sendings >= maximumSendings) return false;
    if (isRepeat && !retries.tryTake(pool.name)) {
      observer(call.id, {kind: 'retry-withheld', reason});
      return false;
    }
    observer(call.id, {kind: 'retried', reason, tries: run.sendings});
    return true;
  }

  private async place(
    run: GenerationRun,
  ): Promise<Result<Place, RequestFailure>> {
    const {call, generation, signal, avoided, pool} = run;
    if (this.liveDecoders(run).length === 0) avoided.clear();
    const giveUpAt = Math.min(call.deadline, this.queueLimit(run));
    const tokens = memoryOf(generation);
    const placed = await this.queueOf(pool.name).reserve(
      call,
      tokens,
      giveUpAt,
      avoided,
      signal,
    );
    if (placed.isErr)
      return Result.err(
        placed.error === 'cancelled' ? goneFailure(run) : fullFailure(run),
      );
    return Result.ok(placed.value);
  }

  /** Later than this a place is no longer waited for. */
  private queueLimit({call, lastEvent}: GenerationRun): number {
    const {targetMilliseconds} = call.route;
    const patience =
      targetMilliseconds === undefined
        ? usualQueueMilliseconds
        : targetMilliseconds * queuedTargets;
    const from =
      lastEvent === call.lastEventId ? call.arrivedAt : this.parts.clock.now();
    return from + patience;
  }

  private liveDecoders({pool, avoided}: GenerationRun): TrackedUpstream[] {
    const now = this.parts.clock.now();
    return this.parts.upstreams
      .liveOf(pool)
      .filter(
        ({document, health}) =>
          canDecode(document.labels ?? {}) &&
          health.isUsable(now) &&
          !avoided.has(document.name),
      );
  }

  private async send(
    run: GenerationRun,
    place: Place,
    cache: KeptCache | undefined,
  ): Promise<Result<PassthroughAnswer, PassthroughError>> {
    const {clock, transport, observer} = this.parts;
    const {call, signal} = run;
    const engine = place.upstream;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    run.sendings += 1;
    const sent = await transport.send(
      engine.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: true,
        headersTimeoutMilliseconds: this.isLastRun(run)
          ? remainingMilliseconds
          : Math.min(remainingMilliseconds, startSilenceMilliseconds),
        bodyIdleTimeoutMilliseconds: streamSilenceOf(
          call,
          remainingMilliseconds,
        ),
        lastEventId: run.lastEvent,
        cache: cache?.source,
        reservationId:
          startedAt < place.reservedUntil ? place.reservation : undefined,
      },
      signal,
    );
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: engine.document.name,
      outcome: sent.isOk ? String(sent.value.status) : sent.error.kind,
      took: now - startedAt,
    });
    if (sent.isOk) {
      run.runs += 1;
      return sent;
    }
    run.lastError = sent.error;
    if (!provesCallNotRun(sent.error)) run.runs += 1;
    this.releasePlace(place);
    this.noteNotStarted(run, engine, cache, sent.error, now);
    return sent;
  }

  private noteNotStarted(
    run: GenerationRun,
    engine: TrackedUpstream,
    cache: KeptCache | undefined,
    error: PassthroughError,
    now: number,
  ): void {
    // Neither can have fetched the prompt.
    const isMissed =
      error.kind === 'misdirected' || error.kind === 'unreachable';
    if (isMissed) run.keptCache = cache;
    else if (cache !== undefined)
      void this.parts.transport.releaseCache(cache.source);
    // A refusal after a reservation mostly means that the cache was gone.
    if (cache !== undefined && error.kind === 'refused') {
      this.prefills.noteLost(cache.source.upstream.name);
      run.readsPromptItself = true;
      return;
    }
    run.avoided.add(engine.document.name);
    noteFailure(engine, error, now);
  }

  private releaseKept(run: GenerationRun): void {
    if (run.keptCache === undefined) return;
    void this.parts.transport.releaseCache(run.keptCache.source);
    run.keptCache = undefined;
  }

  private isLastRun({call, runs}: GenerationRun): boolean {
    const {repeatable, maximumTries} = call.route.target;
    return !repeatable || runs + 1 >= maximumTries;
  }

  private releasePlace({upstream, reservation, load}: Place): void {
    load.end();
    if (reservation === undefined) return;
    const {transport} = this.parts;
    void transport.releaseReservation(upstream.document, reservation);
  }

  /** Passes whole events on; goes on elsewhere when the engine breaks off. */
  private async *relay(
    run: GenerationRun,
    started: Started,
  ): AsyncGenerator<Uint8Array> {
    let {answer, place} = started;
    try {
      for (;;) {
        const broken = yield* relayEvents(
          this.parts.clock,
          run,
          answer,
          place,
          this.usualGap,
        );
        if (broken === undefined) return;
        place.load.end();
        this.noteBroken(run, place, broken);
        const resumed = await this.resume(run, broken);
        if (resumed === undefined) throw broken;
        ({answer, place} = resumed);
      }
    } finally {
      place.load.end();
      this.parts.onLoadChanged?.();
    }
  }

  private noteBroken(
    run: GenerationRun,
    place: Place,
    broken: BrokenAnswerError,
  ): void {
    const {health, document} = place.upstream;
    if (broken.reason === 'cancelled') return;
    run.avoided.add(document.name);
    health.recordFailure(this.parts.clock.now());
  }

  private async resume(
    run: GenerationRun,
    broken: BrokenAnswerError,
  ): Promise<Started | undefined> {
    const {observer} = this.parts;
    const {call, signal} = run;
    if (!(call.route.target.resumable ?? false) || signal.aborted)
      return undefined;
    if (!this.mayTryAgain(run, broken.reason, true)) return undefined;
    run.readsPromptItself = false;
    const started = await this.start(run);
    this.releaseKept(run);
    if (started.isErr) return undefined;
    if (started.value.answer.status !== 200) {
      started.value.place.load.end();
      return undefined;
    }
    observer(call.id, {
      kind: 'resumed',
      upstream: started.value.place.upstream.document.name,
      afterEvent: run.lastEvent ?? 0,
    });
    return started.value;
  }

  private queueOf(name: string): MemoryQueue {
    const known = this.queues.get(name);
    if (known !== undefined) return known;
    const made = new MemoryQueue(this.parts, () => this.pools.get(name)!);
    this.queues.set(name, made);
    return made;
  }
}
