/**
 * A small model engine in one process, on any clock: a prefill queue with a
 * prefix cache, results that expire, transfers over a link of limited rate,
 * batched decode in a fixed number of slots, lagging reports, and faults.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import {DelayedReports} from './delayed-reports.js';
import {defaultSimulatedEngineOptions} from './simulated-engine-options.js';
import type {
  EngineFault,
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

/** An answer of the engine, or the code of its refusal. */
export type EngineAnswer<Value> = Result<Value, string>;

interface HeldAttempt extends EngineAttempt {
  readonly startedAt: number;
  state: RunningAttempt['state'];
  tokens: number;
  produced: number;
  wanted: number;
}

const stallPollMilliseconds = 10;

export class SimulatedEngine {
  fault: EngineFault = {kind: 'none'};
  /** Grows when open connections break or go silent for good. */
  connectionEpoch = 0;
  /** True when the connections of earlier epochs broke. */
  areOldConnectionsBroken = false;
  /** Tokens computed, and those of them whose answer was decoded to its end. */
  prefilledTokens = 0;
  readonly computedTokens = new Map<string, number>();
  readonly finishedAttempts = new Set<string>();
  decodedTokens = 0;
  readonly attempts = new Map<string, HeldAttempt>();
  private readonly wakers = new Set<() => void>();
  private readonly cache: SimulatedPrefixCache;
  private prefillFreeAt = 0;
  private linkFreeAt = 0;
  private queuedTokens = 0;
  private isStepping = false;
  private readonly reports: DelayedReports;

  constructor(
    readonly id: UpstreamId,
    readonly clock: Clock,
    readonly options: SimulatedEngineOptions = defaultSimulatedEngineOptions,
  ) {
    this.reports = new DelayedReports(options.reportLagMilliseconds);
    this.cache = new SimulatedPrefixCache(options.cacheBlocks);
  }

  /** Tokens of KV cache that attempts hold. */
  get heldTokens(): number {
    let sum = 0;
    for (const {tokens} of this.attempts.values()) sum += tokens;
    return sum;
  }

  /** Sets a fault; an engine that dies forgets everything. */
  fail(fault: EngineFault): void {
    this.fault = fault;
    if (fault.kind !== 'dead') return;
    this.breakConnections();
    this.attempts.clear();
    this.cache.clear();
    this.queuedTokens = 0;
    this.prefillFreeAt = 0;
    this.wakeAll();
  }

  /** Makes open connections silent for good; new ones work. */
  silenceConnections(): void {
    this.connectionEpoch += 1;
    this.areOldConnectionsBroken = false;
    this.wakeAll();
  }

  /** Breaks open connections. */
  breakConnections(): void {
    this.connectionEpoch += 1;
    this.areOldConnectionsBroken = true;
    this.wakeAll();
  }

  load(): LoadReport {
    return this.reports.delay(this.currentLoad(), this.clock.now());
  }

  async prefill(request: PrefillRequest): Promise<EngineAnswer<PrefillResult>> {
    const {options, clock} = this;
    const tokens = options.countTokens(request.prompt);
    const attempt = this.admit(request, 'prefilling', tokens);
    const blocks = options.promptBlocks(request.cacheScope, request.prompt);
    const cachedTokens =
      this.cache.countLeading(blocks) * options.cacheBlockTokens;
    const cost = tokens - cachedTokens;
    const milliseconds = (cost / options.prefillTokensPerSecond) * 1000;
    const now = clock.now();
    this.prefillFreeAt =
      Math.max(now, this.prefillFreeAt) + milliseconds * this.slowFactor();
    this.queuedTokens += cost;
    await clock.sleep(this.prefillFreeAt - now);
    while (this.fault.kind === 'stalled')
      await clock.sleep(stallPollMilliseconds);
    if (this.attempts.get(request.attempt) !== attempt) {
      this.queuedTokens = Math.max(0, this.queuedTokens - cost);
      return Result.err('cancelled');
    }
    this.queuedTokens = Math.max(0, this.queuedTokens - cost);
    this.prefilledTokens += cost;
    this.computedTokens.set(request.attempt, cost);
    for (const block of blocks) this.cache.store(request.cacheScope, block);
    attempt.state = 'prefilled';
    const lifetime = options.prefillResultMilliseconds;
    void clock.sleep(lifetime).then(() => this.release(attempt));
    return Result.ok({
      handle: request.attempt,
      promptTokens: tokens,
      cachedTokens,
      bytes: tokens * options.bytesPerToken,
      expiresInMilliseconds: lifetime,
    });
  }

  /** Sends a KV cache over the engine's link; gives its tokens. */
  async exportCache(handle: string): Promise<EngineAnswer<number>> {
    const attempt = this.attempts.get(handle);
    if (this.fault.kind === 'dead') return Result.err('source-unreachable');
    if (attempt?.state !== 'prefilled') return Result.err('expired');
    const {bytesPerToken, linkBytesPerSecond} = this.options;
    const bytes = attempt.tokens * bytesPerToken;
    const now = this.clock.now();
    this.linkFreeAt =
      Math.max(now, this.linkFreeAt) + (bytes / linkBytesPerSecond) * 1000;
    await this.clock.sleep(this.linkFreeAt - now);
    while (this.fault.kind === 'silent' || this.fault.kind === 'stalled')
      await this.clock.sleep(stallPollMilliseconds);
    if (this.attempts.get(handle) !== attempt) return Result.err('expired');
    this.release(attempt);
    return Result.ok(attempt.tokens);
  }

  async importCache(
    request: ImportRequest,
    source: SimulatedEngine,
  ): Promise<EngineAnswer<void>> {
    if (this.countSlots() >= this.options.decodeSlots)
      return Result.err('no-decode-slot');
    const attempt = this.admit(request, 'imported', 0);
    const moved = await source.exportCache(request.handle);
    while (this.fault.kind === 'stalled')
      await this.clock.sleep(stallPollMilliseconds);
    if (moved.isErr) this.release(attempt);
    if (moved.isErr) return Result.err(moved.error);
    if (this.attempts.get(request.attempt) !== attempt)
      return Result.err('cancelled');
    attempt.tokens = moved.value;
    return Result.ok(undefined);
  }

  /** Yields tokens as steps make them; undefined when the attempt is gone. */
  async *decode(
    request: DecodeRequest,
    isOpen: () => boolean,
  ): AsyncGenerator<DecodedToken | undefined> {
    const attempt = this.attempts.get(request.attempt);
    if (attempt === undefined) return yield undefined;
    attempt.state = 'decoding';
    attempt.wanted = request.maximumTokens;
    void this.step();
    for (let offset = request.offset; offset < attempt.wanted; offset += 1) {
      while (attempt.produced <= offset) {
        if (!isOpen()) return;
        if (this.attempts.get(request.attempt) !== attempt)
          return yield undefined;
        await this.nextStep();
      }
      if (!isOpen()) return;
      const last = offset + 1 === attempt.wanted;
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

  /** Resolves at the next step, or when connections change. */
  nextStep(): Promise<void> {
    return new Promise(resolve => this.wakers.add(resolve));
  }

  /** Wakes all that wait, so that they look at the faults again. */
  wakeAll(): void {
    const wakers = [...this.wakers];
    this.wakers.clear();
    for (const wake of wakers) wake();
  }

  private async step(): Promise<void> {
    if (this.isStepping) return;
    this.isStepping = true;
    while (this.isDecoding()) {
      const {decodeStepMilliseconds} = this.options;
      await this.clock.sleep(decodeStepMilliseconds * this.slowFactor());
      if (this.fault.kind === 'stalled') continue;
      for (const attempt of this.attempts.values()) {
        if (attempt.state !== 'decoding') continue;
        if (attempt.produced >= attempt.wanted) continue;
        attempt.produced += 1;
        attempt.tokens += 1;
        this.decodedTokens += 1;
      }
      this.wakeAll();
    }
    this.isStepping = false;
  }

  private isDecoding(): boolean {
    for (const {state, produced, wanted} of this.attempts.values())
      if (state === 'decoding' && produced < wanted) return true;
    return false;
  }

  private finish(attempt: HeldAttempt): void {
    this.finishedAttempts.add(attempt.attempt);
    this.release(attempt);
  }

  private currentLoad(): LoadReport {
    return {
      ageMilliseconds: 0,
      queuedPrefillTokens: this.queuedTokens,
      prefillTokensPerSecond: this.options.prefillTokensPerSecond,
      decodeSlots: this.options.decodeSlots,
      decodeSlotsUsed: this.countSlots(),
      decodeStepMilliseconds: this.options.decodeStepMilliseconds,
      heldTokens: this.heldTokens,
    };
  }

  private countSlots(): number {
    let count = 0;
    for (const {state} of this.attempts.values())
      if (state === 'imported' || state === 'decoding') count += 1;
    return count;
  }

  private admit(
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
      produced: 0,
      wanted: 0,
    };
    this.attempts.set(attempt, held);
    return held;
  }

  private release(attempt: HeldAttempt): void {
    if (this.attempts.get(attempt.attempt) === attempt)
      this.attempts.delete(attempt.attempt);
  }

  private slowFactor(): number {
    return this.fault.kind === 'slow' ? this.fault.factor : 1;
  }
}
