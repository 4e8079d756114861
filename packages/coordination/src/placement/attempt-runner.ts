/** Runs one attempt on reserved engines: prefill, transfer, decode. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  CompletionEvent,
  CompletionRequest,
} from '../requests/completion.js';
import type {
  EngineAttempt,
  PrefillResult,
  UpstreamError,
} from '../upstreams/engine.js';
import {callWithin} from './abort-scope.js';
import type {AttemptCleaner} from './attempt-cleaner.js';
import {CacheTransfer} from './cache-transfer.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {readTokens} from './token-stream.js';

/** What a completion has come to over all its attempts. */
export interface CompletionProgress {
  promptTokens: number;
  /** Tokens that the caller has. */
  delivered: number;
  isDecodeStarted: boolean;
}

/** How an attempt ended. */
export type AttemptEnd =
  | {readonly kind: 'complete'}
  | {readonly kind: 'lost'; readonly error: UpstreamError};

type TokenEvent = Extract<CompletionEvent, {kind: 'token'}>;

/** What an attempt works with. */
export interface AttemptRunnerParts {
  readonly clock: Clock;
  readonly placer: Placer;
  readonly links: LinkView;
  readonly cleaner: AttemptCleaner;
  readonly silenceMilliseconds: number;
}

const leastPrefillTimeoutMilliseconds = 500;
/** An estimate may be exceeded this many times before a call is given up. */
const timeoutFactor = 3;
/** Shortest expected time that the pace of a prefill is measured against. */
const leastPacedMilliseconds = 200;
/** Tokens after which the pace of a decode is known. */
const leastPacedTokens = 4;

export class AttemptRunner {
  private readonly touched = new Set<EngineState>();
  private decodeStartedAt = 0;
  /** Tokens computed that no decode engine has yet. */
  private unmovedTokens = 0;

  constructor(
    private readonly parts: AttemptRunnerParts,
    private readonly request: CompletionRequest,
    private readonly attempt: EngineAttempt,
    private readonly placement: Placement,
    private readonly progress: CompletionProgress,
  ) {}

  /** Yields the tokens that the caller does not have yet. */
  async *run(signal: AbortSignal): AsyncGenerator<TokenEvent, AttemptEnd> {
    this.parts.cleaner.register(this.attempt);
    let isComplete = false;
    try {
      const computed = await this.prefill(signal);
      if (computed.isErr) return {kind: 'lost', error: computed.error};
      const moved = await this.move(computed.value, signal);
      if (moved.isErr) return {kind: 'lost', error: moved.error};
      this.unmovedTokens = 0;
      const end = yield* this.decode(signal);
      isComplete = end.kind === 'complete';
      return end;
    } finally {
      this.placement.close();
      if (this.unmovedTokens > 0)
        this.request.observer?.prefillWasted(this.unmovedTokens);
      // Engines free by themselves what was moved on or decoded to its end.
      this.parts.cleaner.release(this.attempt, isComplete ? [] : this.touched);
    }
  }

  private async prefill(
    signal: AbortSignal,
  ): Promise<Result<PrefillResult, UpstreamError>> {
    const {clock, links} = this.parts;
    const {prefill, estimate} = this.placement;
    const startedAt = clock.now();
    this.touched.add(prefill);
    const computed = await callWithin(
      clock,
      leastPrefillTimeoutMilliseconds +
        timeoutFactor * estimate.prefillMilliseconds,
      signal,
      prefill.engine.id,
      ended =>
        prefill.engine.prefill(
          {
            ...this.attempt,
            model: this.request.model,
            account: this.request.account,
            cacheScope: this.request.account,
            prompt: this.request.prompt,
            priority: priorityOf(this.request),
          },
          ended,
        ),
    );
    this.placement.endPrefill();
    if (computed.isErr) {
      this.recordError(prefill, computed.error);
      return computed;
    }
    prefill.health.recordSuccess();
    prefill.health.recordPace(
      clock.now(),
      clock.now() - startedAt,
      Math.max(leastPacedMilliseconds, estimate.prefillMilliseconds),
    );
    const {promptTokens, cachedTokens, bytes} = computed.value;
    this.unmovedTokens = promptTokens - cachedTokens;
    this.progress.promptTokens = promptTokens;
    links.recordSize(promptTokens, bytes);
    return computed;
  }

  private async move(
    result: PrefillResult,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>> {
    const transfer = new CacheTransfer(
      this.parts,
      this.request,
      this.attempt,
      this.placement,
      state => this.touched.add(state),
      (state, error) => this.recordError(state, error),
    );
    return transfer.run(result, signal);
  }

  private async *decode(
    signal: AbortSignal,
  ): AsyncGenerator<TokenEvent, AttemptEnd> {
    const {clock, silenceMilliseconds} = this.parts;
    const {decode} = this.placement;
    this.progress.isDecodeStarted = true;
    this.decodeStartedAt = clock.now();
    const firstOffset = this.progress.delivered;
    const regenerating =
      firstOffset === 0
        ? 0
        : this.parts.placer.cost.decodeMilliseconds(decode, firstOffset);
    const tokens = readTokens(
      {
        clock,
        engine: decode.engine,
        silenceMilliseconds,
        quietUntil: clock.now() + timeoutFactor * regenerating,
        onCheck: next => this.recordPace(decode, next),
      },
      {
        ...this.attempt,
        maximumTokens: this.request.maximumTokens,
        offset: firstOffset,
        priority: priorityOf(this.request),
      },
      signal,
    );
    try {
      for (;;) {
        const item = await tokens.next();
        if (item.done === true) return this.endDecode(decode, item.value);
        const {offset, text} = item.value;
        this.progress.delivered += 1;
        yield {kind: 'token', offset, text};
      }
    } finally {
      await tokens.return({kind: 'complete'});
    }
  }

  private endDecode(decode: EngineState, end: AttemptEnd): AttemptEnd {
    if (end.kind === 'lost') this.recordError(decode, end.error);
    else decode.health.recordSuccess();
    return end;
  }

  private recordPace(decode: EngineState, next: number): void {
    if (next < leastPacedTokens) return;
    const elapsed = this.parts.clock.now() - this.decodeStartedAt;
    decode.health.recordPace(
      this.parts.clock.now(),
      elapsed,
      next * decode.report.decodeStepMilliseconds,
    );
    const left = this.request.maximumTokens - next;
    this.placement.recordProgress(
      this.parts.placer.cost.decodeMilliseconds(decode, left),
    );
  }

  private recordError(state: EngineState, error: UpstreamError): void {
    switch (error.kind) {
      case 'unreachable':
      case 'silent':
      case 'broken':
      case 'malformed':
        return state.health.recordFailure(this.parts.clock.now());
      case 'refused':
      case 'cancelled':
        return;
    }
  }
}

function priorityOf({route}: CompletionRequest): number {
  return route.spec.service?.kind === 'deferrable' ? 0 : 1;
}
