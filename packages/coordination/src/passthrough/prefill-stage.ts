/**
 * Has prompts read at prefill engines, which keep the cache until the decode
 * engine fetches it.
 */

import type {GenerationRun, KeptCache} from './generation-run.js';
import {leastBy} from './least-by.js';
import type {Place} from './memory-queue.js';
import {noteFailure} from './note-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {ReferenceTime} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Engines that are asked to read one prompt. */
const maximumEngines = 2;

/** Part of the time that an engine keeps a prompt; the rest is for the way. */
const safeHoldPart = 0.6;

/** Longest wait for a prompt to be read before another engine is asked. */
const prefillSilenceMilliseconds = 1500;

/** Time without caches of an engine after one of them could not be fetched. */
const lostCacheMilliseconds = 2000;

/** What other hosts told of waiting prompts is mostly over when it is known. */
const toldPromptWeight = 0.3;

export class PrefillStage {
  private readonly usualTime = new ReferenceTime();
  /** Until when caches of an engine are not counted on. */
  private readonly lostCaches = new Map<string, number>();

  constructor(private readonly parts: PassthroughParts) {}

  /** Has the prompt read; undefined when the decode engine must read it. */
  async read(run: GenerationRun, place: Place): Promise<KeptCache | undefined> {
    const {retryBudget: retries} = this.parts;
    const kept = this.takeKept(run);
    if (kept !== undefined) return kept;
    if (run.readsPromptItself) return undefined;
    const tried = new Set<string>();
    for (let tries = 0; tries < maximumEngines; tries += 1) {
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

  /** The prompt that an earlier sending left, unless it is about to lapse. */
  private takeKept(run: GenerationRun): KeptCache | undefined {
    const kept = run.keptCache;
    run.keptCache = undefined;
    if (kept === undefined) return undefined;
    if (this.parts.clock.now() < kept.usableUntil) return kept;
    void this.parts.transport.releaseCache(kept.source);
    return undefined;
  }

  private choosePrefill(
    run: GenerationRun,
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
    run: GenerationRun,
    engine: TrackedUpstream,
    place: Place,
  ): Promise<KeptCache | undefined> {
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
        headersTimeoutMilliseconds: Math.min(
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
      const ratio = this.usualTime.observe((now - startedAt) / queuedTokens);
      engine.health.recordTime(now, ratio);
      const held = run.pool.spec.engine?.cacheHoldMilliseconds ?? 0;
      return {
        source: {upstream: engine.document, handle: handle.value},
        usableUntil: now + held * safeHoldPart,
      };
    }
    noteFailure(engine, handle.error, now);
    return undefined;
  }

  /** Notes that a cache of `engine` was gone before it was fetched. */
  noteLost(engine: string): void {
    const until = this.parts.clock.now() + lostCacheMilliseconds;
    this.lostCaches.set(engine, until);
  }
}
