/**
 * Runs one attempt on its reserved engines: prefill, KV cache transfer, decode.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {
  DecodedToken,
  EngineAttempt,
  PrefillResult,
  UpstreamError,
} from '../upstreams/engine.js';
import {StallMonitor} from '../stall-monitor.js';
import type {Abandonment} from '../stall-monitor.js';
import {AbortScope, lateTimerMilliseconds} from './abort-scope.js';
import type {AttemptCleaner} from './attempt-cleaner.js';
import {CacheTransfer} from './cache-transfer.js';
import type {TransferResult} from './cache-transfer.js';
import {describeOrigin} from './completion-origin.js';
import type {CompletionOrigin} from './completion-origin.js';
import type {PlacedRequest} from './engine-candidates.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import {findBeside} from './next-attempt.js';
import type {
  AttemptResult,
  AttemptTokens,
  FindNextAttempt,
  NextAttempt,
} from './next-attempt.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {readTokens} from './token-stream.js';
import type {StreamResult} from './token-stream.js';

/** Progress of a completion over all its attempts. */
export interface CompletionProgress {
  promptTokens: number;
  /** Number of tokens that the caller has received. */
  deliveredTokens: number;
  isDecodeStarted: boolean;
  /** What wrote the first token; undefined before it. */
  origin: CompletionOrigin | undefined;
}

/** Dependencies of an attempt. */
export interface AttemptRunnerParts {
  readonly clock: Clock;
  readonly placer: Placer;
  readonly links: LinkView;
  readonly cleaner: AttemptCleaner;
  /** Time without a token after which a connection counts as silent. */
  readonly silenceMilliseconds: number;
  readonly configuration: () => Configuration;
}

const prefillTimeoutBaseMilliseconds = 500;
const pauseCheckIntervalMilliseconds = 100;
/** Timeouts allow this multiple of the estimated duration. */
const timeoutFactor = 3;
/**
 * Lower bound of the expected duration when the speed of a prefill is measured.
 */
const minimumExpectedPrefillMilliseconds = 200;
/** Tokens needed before the decode speed is measured. */
const minimumObservedTokens = 4;
/** Silent connections in a row after which a decode counts as stalled. */
const silentConnectionsOfStall = 2;

export class AttemptRunner {
  private readonly contactedEngines = new Set<EngineState>();
  private startedAt = 0;
  private decodeStartedAt = 0;
  private isStalled = false;
  private hasDecodedToken = false;
  /** Prefilled tokens that no decode engine has imported yet. */
  private untransferredTokens = 0;
  /** What was sought beside the attempt when it failed. */
  private adopted: Promise<NextAttempt | undefined> | undefined;

  constructor(
    private readonly parts: AttemptRunnerParts,
    private readonly request: PlacedRequest,
    private readonly attempt: EngineAttempt,
    private readonly placement: Placement,
    private readonly progress: CompletionProgress,
    private readonly findNext: FindNextAttempt,
  ) {}

  /** Yields the tokens that the caller has not received yet. */
  async *run(signal: AbortSignal): AttemptTokens {
    const result = yield* this.runStages(signal);
    if (result.kind !== 'failed') return result;
    const next = await this.adopted;
    return next === undefined
      ? result
      : {kind: 'replaced', error: result.error, next};
  }

  private async *runStages(signal: AbortSignal): AttemptTokens {
    this.startedAt = this.parts.clock.now();
    this.parts.cleaner.register(this.attempt);
    let isComplete = false;
    try {
      const prefillResult = await this.prefill(signal);
      if (prefillResult.isErr) return prefillResult.error;
      const transferResult = await this.transferCache(
        prefillResult.value,
        signal,
      );
      if (transferResult.kind !== 'complete') return transferResult;
      this.untransferredTokens = 0;
      const result = yield* this.decode(signal);
      isComplete = result.kind === 'complete';
      return result;
    } finally {
      this.placement.close();
      if (this.untransferredTokens > 0)
        this.request.observer?.prefillWasted(this.untransferredTokens);
      // Engines free memory themselves after a finished transfer or decode.
      this.parts.cleaner.release(
        this.attempt,
        isComplete ? [] : this.contactedEngines,
      );
    }
  }

  /** Resolves with an error that ends the attempt. */
  private async prefill(
    signal: AbortSignal,
  ): Promise<Result<PrefillResult, AttemptResult>> {
    const {prefill} = this.placement;
    this.contactedEngines.add(prefill);
    const scope = new AbortScope(signal);
    const monitor = this.monitorPrefill(prefill, signal);
    void this.resumeAfterPauses(monitor, scope.signal);
    const item = await monitor.wait(
      prefill.engine.prefill(
        {
          ...this.attempt,
          model: this.request.model,
          account: this.request.account,
          cacheScope: this.request.account,
          prompt: this.request.prompt,
          priority: priorityOf(this.request),
        },
        scope.signal,
      ),
    );
    if (item.kind === 'ready' && item.value.isErr)
      this.adopted = monitor.adopt();
    monitor.close();
    scope.close();
    this.placement.releasePrefill();
    if (item.kind !== 'ready') return Result.err(this.abandon(prefill, item));
    if (item.value.isErr) {
      const {error} = item.value;
      this.recordError(prefill, error);
      return Result.err({kind: 'failed', error});
    }
    this.recordPrefill(prefill, item.value.value);
    return Result.ok(item.value.value);
  }

  private monitorPrefill(
    prefill: EngineState,
    signal: AbortSignal,
  ): StallMonitor<NextAttempt> {
    const {prefillMilliseconds} = this.placement.estimate;
    return this.monitorEngine(
      prefill,
      prefillTimeoutBaseMilliseconds + timeoutFactor * prefillMilliseconds,
      signal,
      // The prefill may be lost, so that others may use its engines.
      () => {
        this.placement.releasePrefill();
        this.placement.releaseDecode();
      },
    );
  }

  /** Counts the time without an answer anew after the process stood still. */
  private async resumeAfterPauses(
    monitor: StallMonitor<NextAttempt>,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const wakesAt = clock.now() + pauseCheckIntervalMilliseconds;
      await clock.sleep(pauseCheckIntervalMilliseconds, signal);
      if (clock.now() - wakesAt > lateTimerMilliseconds) monitor.resume();
    }
  }

  private recordPrefill(prefill: EngineState, result: PrefillResult): void {
    const {clock, links} = this.parts;
    const {promptTokens, cachedTokens, bytes} = result;
    this.isStalled = false;
    this.placement.reserveDecode();
    prefill.health.recordSuccess();
    prefill.health.recordDuration(
      clock.now(),
      clock.now() - this.startedAt,
      Math.max(
        minimumExpectedPrefillMilliseconds,
        this.placement.estimate.prefillMilliseconds,
      ),
    );
    this.untransferredTokens = promptTokens - cachedTokens;
    this.progress.promptTokens = promptTokens;
    links.recordSize(promptTokens, bytes);
  }

  private async transferCache(
    result: PrefillResult,
    signal: AbortSignal,
  ): Promise<TransferResult> {
    const transfer = new CacheTransfer(
      this.parts,
      this.request,
      this.attempt,
      this.placement,
      this.findNext,
      state => this.contactedEngines.add(state),
      (state, error) => this.recordError(state, error),
    );
    return transfer.run(result, signal);
  }

  private async *decode(signal: AbortSignal): AttemptTokens {
    const {decode} = this.placement;
    this.progress.isDecodeStarted = true;
    const origin = describeOrigin(this.parts.configuration(), decode.upstream);
    const scope = new AbortScope(signal);
    const tokensExpectedAt = this.startDecodeTime(decode);
    const monitor = this.monitorDecode(
      decode,
      tokensExpectedAt,
      signal,
      scope.signal,
    );
    const tokens = this.readDecodedTokens(
      decode,
      tokensExpectedAt,
      monitor,
      scope.signal,
    );
    try {
      for (;;) {
        const item = await monitor.wait(tokens.next());
        if (item.kind !== 'ready') return this.abandon(decode, item);
        if (item.value.done === true) {
          const result = item.value.value;
          if (result.kind === 'failed') this.adopted = monitor.adopt();
          return this.recordDecodeResult(decode, result);
        }
        const {offset, text} = item.value.value;
        monitor.suspend();
        this.hasDecodedToken = true;
        this.recordDecodeContinued(decode);
        yield {offset, text, origin};
        monitor.resume();
      }
    } finally {
      monitor.close();
      // Closes the connection when the attempt ends early; the value is unused.
      scope.close();
      await tokens.return({kind: 'complete'});
    }
  }

  /** Returns the clock time from which missing tokens count as silence. */
  private startDecodeTime(decode: EngineState): number {
    this.decodeStartedAt = this.parts.clock.now();
    const firstOffset = this.progress.deliveredTokens;
    if (firstOffset === 0) return this.decodeStartedAt;
    const {cost} = this.parts.placer;
    const regenerationMilliseconds = cost.decodeMilliseconds(
      decode,
      firstOffset,
    );
    return this.decodeStartedAt + timeoutFactor * regenerationMilliseconds;
  }

  private readDecodedTokens(
    decode: EngineState,
    tokensExpectedAt: number,
    monitor: StallMonitor<NextAttempt>,
    signal: AbortSignal,
  ): AsyncGenerator<DecodedToken, StreamResult> {
    const {clock, silenceMilliseconds} = this.parts;
    return readTokens(
      {
        clock,
        engine: decode.engine,
        silenceMilliseconds,
        tokensExpectedAt,
        onCheck: nextOffset => this.recordDecodeProgress(decode, nextOffset),
        onDuplicate: () => monitor.recordActivity(),
        onProcessPause: () => {
          if (clock.now() >= tokensExpectedAt) monitor.resume();
        },
      },
      {
        ...this.attempt,
        maximumTokens: this.request.maximumTokens,
        offset: this.progress.deliveredTokens,
        priority: priorityOf(this.request),
      },
      signal,
    );
  }

  /** Watches the decode from one silence before `tokensExpectedAt`. */
  private monitorDecode(
    decode: EngineState,
    tokensExpectedAt: number,
    signal: AbortSignal,
    decodeSignal: AbortSignal,
  ): StallMonitor<NextAttempt> {
    const {clock, silenceMilliseconds} = this.parts;
    const monitor = this.monitorEngine(
      decode,
      silentConnectionsOfStall * silenceMilliseconds,
      signal,
    );
    const watchAt = tokensExpectedAt - silenceMilliseconds;
    if (watchAt <= clock.now()) return monitor;
    monitor.suspend();
    void clock.sleep(watchAt - clock.now(), decodeSignal).then(() => {
      if (!this.hasDecodedToken) monitor.resume();
    });
    return monitor;
  }

  /** Seeks a further attempt while the engine makes no progress. */
  private monitorEngine(
    state: EngineState,
    stallMilliseconds: number,
    signal: AbortSignal,
    onStall = () => {},
  ): StallMonitor<NextAttempt> {
    return new StallMonitor<NextAttempt>({
      clock: this.parts.clock,
      stallMilliseconds,
      // The deadline of the request aborts the attempt.
      deadline: Infinity,
      findReplacement: searchSignal => {
        this.recordStalled(state);
        onStall();
        return findBeside(this.findNext, searchSignal, signal);
      },
      releaseReplacement: next => next.close(),
    });
  }

  private abandon(
    state: EngineState,
    abandonment: Abandonment<NextAttempt>,
  ): AttemptResult {
    const error: UpstreamError = {kind: 'silent', upstream: state.engine.id};
    switch (abandonment.kind) {
      case 'replaced':
        return {kind: 'replaced', error, next: abandonment.replacement};
      case 'overdue':
        return {kind: 'failed', error};
    }
  }

  /** Ejects the engine once for each stall, so that others are chosen. */
  private recordStalled(state: EngineState): void {
    if (this.isStalled) return;
    this.isStalled = true;
    this.recordError(state, {kind: 'silent', upstream: state.engine.id});
  }

  private recordDecodeContinued(decode: EngineState): void {
    if (!this.isStalled) return;
    this.isStalled = false;
    decode.health.recordSuccess();
  }

  private recordDecodeResult(
    decode: EngineState,
    result: StreamResult,
  ): StreamResult {
    if (result.kind === 'failed') this.recordError(decode, result.error);
    else decode.health.recordSuccess();
    return result;
  }

  private recordDecodeProgress(decode: EngineState, nextOffset: number): void {
    if (nextOffset < minimumObservedTokens) return;
    const elapsed = this.parts.clock.now() - this.decodeStartedAt;
    decode.health.recordDuration(
      this.parts.clock.now(),
      elapsed,
      nextOffset * decode.report.decodeStepMilliseconds,
    );
    const remainingTokens = this.request.maximumTokens - nextOffset;
    this.placement.recordProgress(
      this.parts.placer.cost.decodeMilliseconds(decode, remainingTokens),
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

function priorityOf({route}: PlacedRequest): number {
  return route.spec.service?.kind === 'deferrable' ? 0 : 1;
}
