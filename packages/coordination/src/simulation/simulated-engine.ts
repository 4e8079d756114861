/**
 * An in-process simulation of a model engine that runs on any clock. It has a
 * prefill queue with a prefix cache, prefill results that expire, KV cache
 * transfers over a link with limited bandwidth, batched decode in a fixed number
 * of slots, delayed load reports, and fault injection.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import {DelayedReports} from './delayed-reports.js';
import {defaultSimulatedEngineOptions} from './simulated-engine-options.js';
import type {
  SimulatedEngineFault,
  SimulatedEngineOptions,
} from './simulated-engine-options.js';
import {SimulatedPrefixCache} from './simulated-prefix-cache.js';
import type {
  CacheEventPage,
  DecodeRequest,
  DecodedToken,
  EngineAttempt,
  ImportRequest,
  LoadReport,
  PrefillRequest,
  PrefillResult,
  RunningAttempt,
} from '../upstreams/engine.js';

/** The result of an engine operation, or an error code. */
export type EngineAnswer<Value> = Result<Value, string>;

interface HeldAttempt extends EngineAttempt {
  readonly startedAt: number;
  state: RunningAttempt['state'];
  /** Number of KV cache tokens held. */
  tokens: number;
  /** Number of tokens decoded so far. */
  producedTokens: number;
  maximumTokens: number;
}

const stallPollIntervalMilliseconds = 10;

export class SimulatedEngine {
  fault: SimulatedEngineFault = {kind: 'none'};
  /** Incremented when open connections break or become silent permanently. */
  connectionEpoch = 0;
  /** Whether connections of earlier epochs are broken rather than silent. */
  areOldConnectionsBroken = false;
  /** Number of prompt tokens computed, without those found in the cache. */
  prefilledTokens = 0;
  /** Number of prompt tokens computed by attempt, without cached ones. */
  readonly computedTokens = new Map<string, number>();
  /** Attempts that were decoded to the end. */
  readonly finishedAttempts = new Set<string>();
  decodedTokens = 0;
  readonly attempts = new Map<string, HeldAttempt>();
  private readonly stepWaiters = new Set<() => void>();
  private readonly cache: SimulatedPrefixCache;
  /** Time in milliseconds at which all queued prefills are finished. */
  private prefillIdleAt = 0;
  /** Time in milliseconds at which all queued transfers are finished. */
  private transferLinkIdleAt = 0;
  private queuedPrefillTokens = 0;
  private isDecodeLoopRunning = false;
  private readonly delayedReports: DelayedReports;

  constructor(
    readonly id: UpstreamId,
    readonly clock: Clock,
    readonly options: SimulatedEngineOptions = defaultSimulatedEngineOptions,
  ) {
    this.delayedReports = new DelayedReports(options.reportLagMilliseconds);
    this.cache = new SimulatedPrefixCache(options.cacheBlocks);
  }

  /** Number of KV cache tokens held by all attempts. */
  get heldTokens(): number {
    let sum = 0;
    for (const {tokens} of this.attempts.values()) sum += tokens;
    return sum;
  }

  /** Sets the fault. A dead engine loses its attempts and its cache. */
  fail(fault: SimulatedEngineFault): void {
    this.fault = fault;
    if (fault.kind !== 'dead') return;
    this.breakConnections();
    this.attempts.clear();
    this.cache.clear();
    this.queuedPrefillTokens = 0;
    this.prefillIdleAt = 0;
    this.notifyStepWaiters();
  }

  /** Makes open connections silent permanently. New connections work. */
  silenceConnections(): void {
    this.connectionEpoch += 1;
    this.areOldConnectionsBroken = false;
    this.notifyStepWaiters();
  }

  /** Breaks open connections. */
  breakConnections(): void {
    this.connectionEpoch += 1;
    this.areOldConnectionsBroken = true;
    this.notifyStepWaiters();
  }

  load(): LoadReport {
    return this.delayedReports.recordAndReadDelayed(
      this.measureLoad(),
      this.clock.now(),
    );
  }

  async prefill(request: PrefillRequest): Promise<EngineAnswer<PrefillResult>> {
    const {options, clock} = this;
    const tokens = options.countTokens(request.prompt);
    const attempt = this.addAttempt(request, 'prefilling', tokens);
    const blocks = options.promptBlocks(request.cacheScope, request.prompt);
    const cachedTokens =
      this.cache.countCachedPrefix(blocks) * options.cacheBlockTokens;
    const uncachedTokens = tokens - cachedTokens;
    const milliseconds =
      (uncachedTokens / options.prefillTokensPerSecond) * 1000;
    const now = clock.now();
    this.prefillIdleAt =
      Math.max(now, this.prefillIdleAt) + milliseconds * this.slowdownFactor();
    this.queuedPrefillTokens += uncachedTokens;
    await clock.sleep(this.prefillIdleAt - now);
    while (this.fault.kind === 'stalled')
      await clock.sleep(stallPollIntervalMilliseconds);
    if (this.attempts.get(request.attempt) !== attempt) {
      this.queuedPrefillTokens = Math.max(
        0,
        this.queuedPrefillTokens - uncachedTokens,
      );
      return Result.err('cancelled');
    }
    this.queuedPrefillTokens = Math.max(
      0,
      this.queuedPrefillTokens - uncachedTokens,
    );
    this.prefilledTokens += uncachedTokens;
    this.computedTokens.set(request.attempt, uncachedTokens);
    for (const block of blocks) this.cache.store(request.cacheScope, block);
    attempt.state = 'prefilled';
    const lifetimeMilliseconds = options.prefillResultMilliseconds;
    void clock.sleep(lifetimeMilliseconds).then(() => this.release(attempt));
    return Result.ok({
      handle: request.attempt,
      promptTokens: tokens,
      cachedTokens,
      bytes: tokens * options.bytesPerToken,
      expiresInMilliseconds: lifetimeMilliseconds,
    });
  }

  /**
   * Transfers a KV cache over the engine's transfer link and returns its number
   * of tokens.
   */
  async exportCache(handle: string): Promise<EngineAnswer<number>> {
    const attempt = this.attempts.get(handle);
    if (this.fault.kind === 'dead') return Result.err('source-unreachable');
    if (attempt?.state !== 'prefilled') return Result.err('expired');
    const {bytesPerToken, linkBytesPerSecond} = this.options;
    const bytes = attempt.tokens * bytesPerToken;
    const now = this.clock.now();
    this.transferLinkIdleAt =
      Math.max(now, this.transferLinkIdleAt) +
      (bytes / linkBytesPerSecond) * 1000;
    await this.clock.sleep(this.transferLinkIdleAt - now);
    while (this.fault.kind === 'silent' || this.fault.kind === 'stalled')
      await this.clock.sleep(stallPollIntervalMilliseconds);
    if (this.attempts.get(handle) !== attempt) return Result.err('expired');
    this.release(attempt);
    return Result.ok(attempt.tokens);
  }

  async importCache(
    request: ImportRequest,
    source: SimulatedEngine,
  ): Promise<EngineAnswer<void>> {
    if (this.countUsedDecodeSlots() >= this.options.decodeSlots)
      return Result.err('no-decode-slot');
    const attempt = this.addAttempt(request, 'imported', 0);
    const exported = await source.exportCache(request.handle);
    while (this.fault.kind === 'stalled')
      await this.clock.sleep(stallPollIntervalMilliseconds);
    if (exported.isErr) this.release(attempt);
    if (exported.isErr) return Result.err(exported.error);
    if (this.attempts.get(request.attempt) !== attempt)
      return Result.err('cancelled');
    attempt.tokens = exported.value;
    return Result.ok(undefined);
  }

  /** Yields decoded tokens, or undefined if the attempt no longer exists. */
  async *decode(
    request: DecodeRequest,
    isOpen: () => boolean,
  ): AsyncGenerator<DecodedToken | undefined> {
    const attempt = this.attempts.get(request.attempt);
    if (attempt === undefined) return yield undefined;
    attempt.state = 'decoding';
    attempt.maximumTokens = request.maximumTokens;
    void this.runDecodeLoop();
    for (
      let offset = request.offset;
      offset < attempt.maximumTokens;
      offset += 1
    ) {
      while (attempt.producedTokens <= offset) {
        if (!isOpen()) return;
        if (this.attempts.get(request.attempt) !== attempt)
          return yield undefined;
        await this.waitForStep();
      }
      if (!isOpen()) return;
      const last = offset + 1 === attempt.maximumTokens;
      if (last) this.finish(attempt);
      yield {
        request: request.request,
        attempt: request.attempt,
        offset,
        text: `${request.request}:${offset} `,
        last,
      };
    }
  }

  cancel({attempt}: EngineAttempt): void {
    const held = this.attempts.get(attempt);
    if (held !== undefined) this.release(held);
  }

  running(): RunningAttempt[] {
    return [...this.attempts.values()].map(
      ({request, attempt, owner, state, startedAt}) => ({
        request,
        attempt,
        owner,
        state,
        ageMilliseconds: this.clock.now() - startedAt,
      }),
    );
  }

  cacheEvents(afterSequence: number): CacheEventPage {
    return this.cache.eventsAfter(afterSequence);
  }

  /** Resolves after the next decode step or connection change. */
  waitForStep(): Promise<void> {
    return new Promise(resolve => this.stepWaiters.add(resolve));
  }

  /** Wakes all tasks in `waitForStep`, which then check for faults again. */
  notifyStepWaiters(): void {
    const waiters = [...this.stepWaiters];
    this.stepWaiters.clear();
    for (const wake of waiters) wake();
  }

  private async runDecodeLoop(): Promise<void> {
    if (this.isDecodeLoopRunning) return;
    this.isDecodeLoopRunning = true;
    while (this.hasUnfinishedDecode()) {
      const {decodeStepMilliseconds} = this.options;
      await this.clock.sleep(decodeStepMilliseconds * this.slowdownFactor());
      if (this.fault.kind === 'stalled') continue;
      for (const attempt of this.attempts.values()) {
        if (attempt.state !== 'decoding') continue;
        if (attempt.producedTokens >= attempt.maximumTokens) continue;
        attempt.producedTokens += 1;
        attempt.tokens += 1;
        this.decodedTokens += 1;
      }
      this.notifyStepWaiters();
    }
    this.isDecodeLoopRunning = false;
  }

  private hasUnfinishedDecode(): boolean {
    for (const {state, producedTokens, maximumTokens} of this.attempts.values())
      if (state === 'decoding' && producedTokens < maximumTokens) return true;
    return false;
  }

  private finish(attempt: HeldAttempt): void {
    this.finishedAttempts.add(attempt.attempt);
    this.release(attempt);
  }

  private measureLoad(): LoadReport {
    return {
      ageMilliseconds: 0,
      queuedPrefillTokens: this.queuedPrefillTokens,
      prefillTokensPerSecond: this.options.prefillTokensPerSecond,
      decodeSlots: this.options.decodeSlots,
      decodeSlotsUsed: this.countUsedDecodeSlots(),
      decodeStepMilliseconds: this.options.decodeStepMilliseconds,
      heldTokens: this.heldTokens,
    };
  }

  private countUsedDecodeSlots(): number {
    let count = 0;
    for (const {state} of this.attempts.values())
      if (state === 'imported' || state === 'decoding') count += 1;
    return count;
  }

  private addAttempt(
    {request, attempt, owner}: EngineAttempt,
    state: RunningAttempt['state'],
    tokens: number,
  ): HeldAttempt {
    const held: HeldAttempt = {
      request,
      attempt,
      owner,
      startedAt: this.clock.now(),
      state,
      tokens,
      producedTokens: 0,
      maximumTokens: 0,
    };
    this.attempts.set(attempt, held);
    return held;
  }

  private release(attempt: HeldAttempt): void {
    if (this.attempts.get(attempt.attempt) === attempt)
      this.attempts.delete(attempt.attempt);
  }

  private slowdownFactor(): number {
    return this.fault.kind === 'slow' ? this.fault.factor : 1;
  }
}
