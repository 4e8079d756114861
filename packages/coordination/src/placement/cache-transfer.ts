/**
 * Transfers a KV cache to a decode engine. When that engine fails or is full,
 * another one is chosen, until the cache expires on the prefill engine. A silent
 * transfer goes on, because its engine may only be slow, until another decode
 * engine or, once the cache has expired, engines and a retry for a further attempt
 * are secured. The deadline of the request bounds the wait.
 */

import type {Clock} from '../clock.js';
import type {
  EngineAttempt,
  PrefillResult,
  UpstreamError,
} from '../upstreams/engine.js';
import {StallMonitor} from '../stall-monitor.js';
import {AbortScope} from './abort-scope.js';
import type {AttemptCleaner} from './attempt-cleaner.js';
import type {PlacedRequest} from './engine-candidates.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import type {
  AttemptResult,
  FindNextAttempt,
  NextAttempt,
} from './next-attempt.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {ReplacementSearch} from './replacement-search.js';

/** Dependencies of a transfer. */
export interface CacheTransferParts {
  readonly clock: Clock;
  readonly placer: Placer;
  readonly links: LinkView;
  readonly cleaner: AttemptCleaner;
}

/** Outcome of a transfer. */
export type TransferResult = AttemptResult;

/** A transfer that another decode engine takes over. */
interface MovedTransfer {
  readonly kind: 'moved';
  readonly decode: EngineState;
}

/** What a silent transfer is given up for. */
type Replacement =
  /** Another decode engine, which can still fetch the cache. */
  | {readonly kind: 'decode'; readonly decode: EngineState}
  | {readonly kind: 'attempt'; readonly next: NextAttempt};

const timeoutBaseMilliseconds = 150;
/** A transfer counts as silent after this multiple of its estimated duration. */
const timeoutFactor = 3;
const fullEngineRetryIntervalMilliseconds = 10;
/** Interval at which a retry is sought after a silent transfer was lost. */
const retrySearchIntervalMilliseconds = 250;
/** Refusal code of an engine without a free decode slot. */
const noDecodeSlotCode = 'no-decode-slot';
/** Refusal codes that mean that the prefill result is no longer available. */
const sourceUnavailableCodes = ['expired', 'source-unreachable'];

export class CacheTransfer {
  private readonly failedEngines = new Set<EngineState>();
  private readonly fullEngines = new Set<EngineState>();
  /** Whether a decode engine was silent, which may have fetched the cache. */
  private hasBeenSilent = false;

  constructor(
    private readonly parts: CacheTransferParts,
    private readonly request: PlacedRequest,
    private readonly attempt: EngineAttempt,
    private readonly placement: Placement,
    private readonly findNext: FindNextAttempt,
    private readonly onContact: (state: EngineState) => void,
    private readonly onError: (
      state: EngineState,
      error: UpstreamError,
    ) => void,
  ) {}

  async run(
    result: PrefillResult,
    signal: AbortSignal,
  ): Promise<TransferResult> {
    const {clock} = this.parts;
    const expiresAt = clock.now() + result.expiresInMilliseconds;
    for (;;) {
      const {decode} = this.placement;
      const transferred = await this.transferTo(
        decode,
        result,
        expiresAt,
        signal,
      );
      switch (transferred.kind) {
        case 'complete':
        case 'replaced':
          return transferred;
        case 'moved':
          this.failedEngines.add(decode);
          this.parts.cleaner.cancelAt(this.attempt, decode);
          this.placement.replaceDecode(transferred.decode);
          continue;
        case 'failed':
      }
      if (signal.aborted) return transferred;
      const isLost =
        this.recordSourceError(transferred.error) ||
        !(await this.recordAndChooseNext(
          decode,
          transferred.error,
          expiresAt,
          signal,
        ));
      if (isLost) return this.failOrReplace(transferred, signal);
    }
  }

  private recordAndChooseNext(
    decode: EngineState,
    error: UpstreamError,
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    this.recordDecodeError(decode, error);
    return this.chooseNextDecode(expiresAt, signal);
  }

  /**
   * Ends a transfer that failed. One that was silent waits for engines and a retry
   * for a further attempt.
   */
  private async failOrReplace(
    failure: TransferResult & {kind: 'failed'},
    signal: AbortSignal,
  ): Promise<TransferResult> {
    const {clock} = this.parts;
    if (!this.hasBeenSilent) return failure;
    this.placement.releaseDecode();
    while (!signal.aborted) {
      const next = await this.findNext(signal);
      if (next !== undefined)
        return {kind: 'replaced', error: failure.error, next};
      await clock.sleep(retrySearchIntervalMilliseconds, signal);
    }
    return failure;
  }

  private async transferTo(
    decode: EngineState,
    result: PrefillResult,
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<TransferResult | MovedTransfer> {
    const {clock, links} = this.parts;
    const {prefill} = this.placement;
    const startedAt = clock.now();
    const scope = new AbortScope(signal);
    this.onContact(decode);
    this.placement.startTransfer();
    const search = this.searchReplacement(decode, expiresAt, signal);
    const monitor = this.monitorTransfer(decode, search);
    const request = {
      ...this.attempt,
      sourceAddress: prefill.engine.address,
      handle: result.handle,
    };
    const transferred = await monitor.wait(
      decode.engine.importCache(request, scope.signal),
    );
    if (transferred.kind === 'ready' && transferred.value.isErr) search.keep();
    monitor.close();
    scope.close();
    const {id: upstream} = decode.engine;
    const silence: UpstreamError = {kind: 'silent', upstream};
    switch (transferred.kind) {
      case 'overdue':
        return {kind: 'failed', error: silence};
      case 'replaced':
        return replacedBy(transferred.replacement, silence);
      case 'ready':
    }
    if (transferred.value.isErr) {
      const {error} = transferred.value;
      const replacement = await search.kept();
      return replacement === undefined
        ? {kind: 'failed', error}
        : replacedBy(replacement, error);
    }
    // A silent engine that has the cache after all takes its slot again.
    this.placement.reserveDecode();
    this.placement.startTransfer();
    links.recordTransfer(
      prefill,
      decode,
      result.promptTokens,
      clock.now() - startedAt,
    );
    return {kind: 'complete'};
  }

  private searchReplacement(
    decode: EngineState,
    expiresAt: number,
    signal: AbortSignal,
  ): ReplacementSearch<Replacement> {
    return new ReplacementSearch<Replacement>({
      signal,
      seek: searchSignal =>
        this.findReplacement(decode, expiresAt, searchSignal),
      release: replacement => {
        if (replacement.kind === 'attempt') replacement.next.close();
      },
    });
  }

  /** Seeks a replacement once the transfer to `decode` is silent. */
  private monitorTransfer(
    decode: EngineState,
    search: ReplacementSearch<Replacement>,
  ): StallMonitor<Replacement> {
    const {clock} = this.parts;
    const {transferMilliseconds} = this.placement.estimate;
    let isSilent = false;
    return new StallMonitor<Replacement>({
      clock,
      stallMilliseconds:
        timeoutBaseMilliseconds + timeoutFactor * transferMilliseconds,
      // The deadline of the request aborts the attempt.
      deadline: Infinity,
      findReplacement: signal => {
        if (!isSilent) this.recordSilence(decode);
        isSilent = true;
        return search.find(signal);
      },
      releaseReplacement: replacement => search.release(replacement),
    });
  }

  /** Ejects a silent engine and frees the slot there, so that others are chosen. */
  private recordSilence(decode: EngineState): void {
    this.hasBeenSilent = true;
    this.onError(decode, {kind: 'silent', upstream: decode.engine.id});
    this.placement.releaseDecode();
  }

  private async findReplacement(
    decode: EngineState,
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<Replacement | undefined> {
    const {clock, placer} = this.parts;
    const {prefill, estimate} = this.placement;
    if (clock.now() + estimate.transferMilliseconds < expiresAt) {
      const excluded = new Set([
        decode,
        ...this.failedEngines,
        ...this.fullEngines,
      ]);
      const next = placer.chooseDecode(this.request, prefill, excluded);
      return next && {kind: 'decode', decode: next};
    }
    const next = await this.findNext(signal);
    return next && {kind: 'attempt', next};
  }

  /**
   * Records a failed prefill engine. Returns true when the prefill result can
   * no longer be transferred.
   */
  private recordSourceError(error: UpstreamError): boolean {
    if (error.kind !== 'refused') return false;
    if (error.code === 'source-unreachable')
      this.onError(this.placement.prefill, {
        kind: 'unreachable',
        upstream: this.placement.prefill.engine.id,
      });
    return sourceUnavailableCodes.includes(error.code);
  }

  private recordDecodeError(decode: EngineState, error: UpstreamError): void {
    if (error.kind === 'refused' && error.code === noDecodeSlotCode) {
      decode.recordRefusal(this.parts.clock.now());
      this.fullEngines.add(decode);
      return;
    }
    this.onError(decode, error);
    this.failedEngines.add(decode);
    this.parts.cleaner.cancelAt(this.attempt, decode);
  }

  /**
   * Chooses the next decode engine, possibly the one that was full, after a
   * pause. Returns false when no engine remains, the KV cache would expire
   * first, or the signal is aborted.
   */
  private async chooseNextDecode(
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, placer} = this.parts;
    for (;;) {
      const excluded = new Set([...this.failedEngines, ...this.fullEngines]);
      const nextDecode = placer.chooseDecode(
        this.request,
        this.placement.prefill,
        excluded,
      );
      const remainingMilliseconds =
        expiresAt - clock.now() - this.placement.estimate.transferMilliseconds;
      if (signal.aborted || remainingMilliseconds <= 0) return false;
      if (nextDecode !== undefined) {
        this.placement.replaceDecode(nextDecode);
        return true;
      }
      const hasNoFullEngine = this.fullEngines.size === 0;
      if (hasNoFullEngine) return false;
      await clock.sleep(fullEngineRetryIntervalMilliseconds, signal);
      const retriedDecode = [...this.fullEngines].find(
        state => !this.failedEngines.has(state),
      );
      this.fullEngines.clear();
      if (retriedDecode === undefined) return false;
      if (placer.candidates.isDecodeAvailable(this.request, retriedDecode)) {
        if (retriedDecode !== this.placement.decode)
          this.placement.replaceDecode(retriedDecode);
        return true;
      }
    }
  }
}

function replacedBy(
  replacement: Replacement,
  error: UpstreamError,
): TransferResult | MovedTransfer {
  switch (replacement.kind) {
    case 'decode':
      return {kind: 'moved', decode: replacement.decode};
    case 'attempt':
      return {kind: 'replaced', error, next: replacement.next};
  }
}
