/**
 * Generations: memory of a decode engine is reserved, the prompt is read at a
 * prefill engine, and the decode engine fetches the cache and streams. A stream
 * that breaks off goes on at another engine where its route allows that.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  callerGone,
  noUpstream,
  queueFull,
  upstreamFailed,
  upstreamTimeout,
} from './call-failures.js';
import type {
  AdmittedCall,
  CacheSource,
  Generation,
  PassthroughAnswer,
  PassthroughError,
} from './call.js';
import {BrokenAnswerError, provesCallNotRun} from './call.js';
import {EventFrames} from './event-frames.js';
import {MemoryQueue} from './memory-queue.js';
import type {Place} from './memory-queue.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {drawPool} from './passthrough-parts.js';
import {leastBy} from './plain-calls.js';
import {ReferenceTime} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

type Answer = Result<PassthroughAnswer, RequestFailure>;

/** Sendings to decode engines for one call, refused ones included. */
const maximumSendings = 4;

/** Share of the wait of a caller after which a refusal is still of use. */
const queuedTargets = 2.7;

/** Longest wait for memory of routes without a target. */
const usualQueueMilliseconds = 2500;

/** Estimates of the output are low in half of the cases. */
const outputMargin = 0.1;

/** Time without a byte after which a resumable stream is looked for elsewhere. */
const streamSilenceMilliseconds = 1000;

/** The same before the first byte, where a call may run again. */
const startSilenceMilliseconds = 2000;

/** Longest wait for a prompt to be read before another engine is asked. */
const prefillSilenceMilliseconds = 1500;

/** Time without caches of an engine after one of them could not be fetched. */
const lostCacheMilliseconds = 2000;

/** What other hosts told of waiting prompts is mostly over when it is known. */
const toldPromptWeight = 0.3;

/** State of one call over all its sendings. */
interface Run {
  readonly call: AdmittedCall;
  readonly generation: Generation;
  readonly pool: PoolDocument;
  readonly signal: AbortSignal;
  readonly avoided: Set<string>;
  sendings: number;
  prefills: number;
  /** Engines that may have run the call. */
  runs: number;
  readsPromptItself: boolean;
  lastEvent: number | undefined;
  lastError: PassthroughError | undefined;
}

interface Started {
  readonly answer: PassthroughAnswer;
  readonly place: Place;
}

export class Generations {
  private readonly queues = new Map<string, MemoryQueue>();
  private readonly pools = new Map<string, PoolDocument>();
  private readonly usualPrefill = new ReferenceTime();
  private readonly usualGap = new ReferenceTime();
  /** Until when caches of an engine are not counted on. */
  private readonly lostCaches = new Map<string, number>();

  constructor(private readonly parts: PassthroughParts) {}

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
    this.parts.retries.countCall(pool.name);
    const run: Run = {
      call,
      generation,
      pool,
      signal,
      avoided: new Set(),
      sendings: 0,
      prefills: 0,
      runs: 0,
      readsPromptItself: false,
      lastEvent: call.lastEvent,
      lastError: undefined,
    };
    const started = await this.start(run);
    if (started.isErr) return Result.err(started.error);
    const {answer} = started.value;
    return Result.ok({...answer, body: this.relay(run, started.value)});
  }

  /** Finds an engine that answers; tries again where that is allowed. */
  private async start(run: Run): Promise<Result<Started, RequestFailure>> {
    const {signal} = run;
    for (;;) {
      const placed = await this.place(run);
      if (placed.isErr) return Result.err(placed.error);
      const place = placed.value;
      const cache = await this.prefill(run, place);
      if (signal.aborted) {
        this.releasePlace(place);
        if (cache !== undefined) void this.parts.transport.releaseCache(cache);
        return Result.err(goneFailure(run));
      }
      const answer = await this.send(run, place, cache);
      if (answer.isOk) return Result.ok({answer: answer.value, place});
      if (signal.aborted) return Result.err(goneFailure(run));
      if (!this.mayTryAgain(run, answer.error.kind))
        return Result.err(failureOf(run));
    }
  }

  private mayTryAgain(run: Run, reason: string): boolean {
    const {clock, retries, observer} = this.parts;
    const {call, pool} = run;
    const {maximumTries, repeatable} = call.route.target;
    if (clock.now() >= call.deadline) return false;
    if (run.runs >= (repeatable ? maximumTries : 1)) return false;
    if (run.sendings >= maximumSendings) return false;
    if (!retries.tryTake(pool.name)) {
      observer(call.id, {kind: 'retry-withheld', reason});
      return false;
    }
    observer(call.id, {kind: 'retried', reason, tries: run.sendings});
    return true;
  }

  private async place(run: Run): Promise<Result<Place, RequestFailure>> {
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
  private queueLimit({call, lastEvent}: Run): number {
    const {targetMilliseconds} = call.route;
    const patience =
      targetMilliseconds === undefined
        ? usualQueueMilliseconds
        : targetMilliseconds * queuedTargets;
    const from =
      lastEvent === call.lastEvent ? call.arrivedAt : this.parts.clock.now();
    return from + patience;
  }

  private liveDecoders({pool, avoided}: Run): TrackedUpstream[] {
    const now = this.parts.clock.now();
    return this.parts.upstreams
      .liveOf(pool)
      .filter(
        ({document, health}) =>
          document.labels?.['stage'] !== 'prefill' &&
          health.isUsable(now) &&
          !avoided.has(document.name),
      );
  }

  /** Has the prompt read; undefined when the decode engine must read it. */
  private async prefill(
    run: Run,
    place: Place,
  ): Promise<CacheSource | undefined> {
    const {retries} = this.parts;
    if (run.readsPromptItself) return undefined;
    const tried = new Set<string>();
    for (let tries = 0; tries < 2; tries += 1) {
      const engine = this.choosePrefill(run, tried);
      if (engine === undefined || run.signal.aborted) return undefined;
      // Only the first reading of a call is free of the retry budget.
      if (run.prefills > 0 && !retries.tryTake(run.pool.name)) return undefined;
      tried.add(engine.document.name);
      const cache = await this.prefillAt(run, engine, place);
      if (cache !== undefined) return cache;
    }
    return undefined;
  }

  private choosePrefill(
    run: Run,
    tried: ReadonlySet<string>,
  ): TrackedUpstream | undefined {
    const {clock, upstreams, random, observer} = this.parts;
    const now = clock.now();
    const candidates = upstreams
      .liveOf(run.pool)
      .filter(
        ({document, health}) =>
          document.labels?.['stage'] === 'prefill' &&
          health.isUsable(now) &&
          !tried.has(document.name) &&
          (this.lostCaches.get(document.name) ?? 0) <= now,
      );
    const {promptTokens} = run.generation;
    const chosen = leastBy(candidates, ({document, own, health}) => {
      const told = upstreams.toldLoad(document.name).promptTokens;
      const queued = own.promptTokens + told * toldPromptWeight + promptTokens;
      const failing = 1 + 4 * health.failureShare(now);
      return (
        queued * health.slowness(now) * failing * (1 + 0.1 * random.next())
      );
    });
    if (chosen !== undefined)
      observer(run.call.id, {
        kind: 'chosen',
        purpose: 'prefill',
        upstream: chosen.document.name,
        candidates: candidates.length,
        load: chosen.own.promptTokens,
        slowness: chosen.health.slowness(now),
        waited: now - run.call.arrivedAt,
      });
    return chosen;
  }

  private async prefillAt(
    run: Run,
    engine: TrackedUpstream,
    place: Place,
  ): Promise<CacheSource | undefined> {
    const {clock, transport, upstreams, observer} = this.parts;
    const {call, generation, signal} = run;
    const {promptTokens} = generation;
    const startedAt = clock.now();
    const queuedTokens = engine.own.promptTokens + promptTokens;
    const load = {calls: 1, promptTokens};
    const held = upstreams.addLoad(engine, load);
    engine.health.recordStart(startedAt);
    run.prefills += 1;
    const remaining = call.deadline - startedAt;
    const handle = await transport.prefill(
      engine.document,
      call,
      {
        remainingMilliseconds: remaining,
        needsNewConnection: false,
        silenceMilliseconds: Math.min(
          remaining,
          prefillSilenceMilliseconds,
          Math.max(0, place.reservedUntil - startedAt),
        ),
      },
      signal,
    );
    held.end();
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'prefill',
      upstream: engine.document.name,
      outcome: handle.isOk ? 'read' : handle.error.kind,
      took: now - startedAt,
    });
    if (handle.isOk) {
      engine.health.recordSuccess(now);
      const ratio = this.usualPrefill.observe((now - startedAt) / queuedTokens);
      engine.health.recordTime(now, ratio);
      return {upstream: engine.document, handle: handle.value};
    }
    this.noteFailure(engine, handle.error, now);
    return undefined;
  }

  private async send(
    run: Run,
    place: Place,
    cache: CacheSource | undefined,
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
        silenceMilliseconds: this.isLastRun(run)
          ? remainingMilliseconds
          : Math.min(remainingMilliseconds, startSilenceMilliseconds),
        bodySilenceMilliseconds: streamSilenceOf(call, remainingMilliseconds),
        lastEvent: run.lastEvent,
        cache,
        reservation:
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
    this.noteLostCache(run, engine, cache, sent.error, now);
    return sent;
  }

  /** A refusal after a reservation mostly means that the cache was gone. */
  private noteLostCache(
    run: Run,
    engine: TrackedUpstream,
    cache: CacheSource | undefined,
    error: PassthroughError,
    now: number,
  ): void {
    if (cache !== undefined) {
      void this.parts.transport.releaseCache(cache);
      if (error.kind === 'refused') {
        const until = now + lostCacheMilliseconds;
        this.lostCaches.set(cache.upstream.name, until);
        run.readsPromptItself = true;
        return;
      }
    }
    run.avoided.add(engine.document.name);
    this.noteFailure(engine, error, now);
  }

  private isLastRun({call, runs}: Run): boolean {
    const {repeatable, maximumTries} = call.route.target;
    return !repeatable || runs + 1 >= maximumTries;
  }

  private noteFailure(
    engine: TrackedUpstream,
    error: PassthroughError,
    now: number,
  ): void {
    switch (error.kind) {
      case 'unreachable':
        engine.health.recordUnreachable(now);
        break;
      case 'refused':
      case 'misdirected':
      case 'broken':
      case 'silent':
        engine.health.recordFailure(now);
        break;
      case 'cancelled':
    }
  }

  private releasePlace({upstream, reservation, load}: Place): void {
    load.end();
    if (reservation === undefined) return;
    const {transport} = this.parts;
    void transport.releaseReservation(upstream.document, reservation);
  }

  /** Passes whole events on; goes on elsewhere when the engine breaks off. */
  private async *relay(run: Run, started: Started): AsyncGenerator<Uint8Array> {
    let {answer, place} = started;
    try {
      for (;;) {
        const broken = yield* this.relayOne(run, answer, place);
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

  private noteBroken(run: Run, place: Place, broken: BrokenAnswerError): void {
    const {health, document} = place.upstream;
    if (broken.reason === 'cancelled') return;
    run.avoided.add(document.name);
    health.recordFailure(this.parts.clock.now());
  }

  private async resume(
    run: Run,
    broken: BrokenAnswerError,
  ): Promise<Started | undefined> {
    const {observer} = this.parts;
    const {call, signal} = run;
    if (!(call.route.target.resumable ?? false) || signal.aborted)
      return undefined;
    if (!this.mayTryAgain(run, broken.reason)) return undefined;
    run.readsPromptItself = false;
    const started = await this.start(run);
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

  /** Passes one engine's events on; returns why it broke off, if it did. */
  private async *relayOne(
    run: Run,
    answer: PassthroughAnswer,
    {upstream, load}: Place,
  ): AsyncGenerator<Uint8Array, BrokenAnswerError | undefined> {
    const {clock} = this.parts;
    const {promptTokens} = run.generation;
    const tokensPerEvent = run.pool.spec.engine?.tokensPerEvent ?? 1;
    const frames = new EventFrames();
    const startedAt = clock.now();
    let events = 0;
    try {
      for await (const chunk of answer.body) {
        for (const {bytes, id} of frames.push(chunk)) {
          if (id !== undefined) {
            // A resumed run may repeat what the caller has.
            if (run.lastEvent !== undefined && id <= run.lastEvent) continue;
            run.lastEvent = id;
          }
          events += 1;
          load.setMemory(promptTokens + events * tokensPerEvent);
          yield bytes;
        }
      }
    } catch (error) {
      if (error instanceof BrokenAnswerError) return error;
      throw error;
    }
    if (frames.pendingBytes > 0)
      return new BrokenAnswerError(upstreamIdOf(upstream), 'broken');
    const now = clock.now();
    upstream.health.recordSuccess(now);
    if (events > 1) {
      const gap = (now - startedAt) / events;
      upstream.health.recordTime(now, this.usualGap.observe(gap));
    }
    return undefined;
  }

  private queueOf(name: string): MemoryQueue {
    const known = this.queues.get(name);
    if (known !== undefined) return known;
    const made = new MemoryQueue(this.parts, () => this.pools.get(name)!);
    this.queues.set(name, made);
    return made;
  }
}

/** Longest silence of a stream between two events. */
function streamSilenceOf({route}: AdmittedCall, rest: number): number {
  return route.target.resumable === true
    ? Math.min(streamSilenceMilliseconds, rest)
    : rest;
}

function upstreamIdOf({document}: TrackedUpstream) {
  return document.name as BrokenAnswerError['upstream'];
}

/** Memory that a generation will need, by the caller's estimate. */
function memoryOf(generation: Generation): number {
  const {promptTokens, maximumOutputTokens, expectedOutputTokens} = generation;
  const expected = (expectedOutputTokens ?? maximumOutputTokens) * outputMargin;
  return promptTokens + Math.min(maximumOutputTokens, expected);
}

function goneFailure({runs}: Run): RequestFailure {
  return runs === 0 ? {...callerGone, ran: 'not-run'} : callerGone;
}

function fullFailure({runs}: Run): RequestFailure {
  return runs === 0 ? queueFull : upstreamFailed;
}

function failureOf({runs, lastError}: Run): RequestFailure {
  if (runs === 0) return queueFull;
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}
