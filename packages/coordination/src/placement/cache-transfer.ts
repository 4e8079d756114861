/**
 * Transfers a KV cache to a decode engine. When that engine fails or is full,
 * another one is chosen, until the cache expires on the prefill engine. A silent
 * transfer goes on, because its engine may only be slow or have the cache already,
 * until another decode engine has the cache or a further attempt its first token.
 * The deadline of the request bounds the wait.
 */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  EngineAttempt,
  PrefillResult,
  UpstreamError,
} from '../upstreams/engine.js';
import {StallMonitor} from '../stall-monitor.js';
import type {Abandonment} from '../stall-monitor.js';
import {AbortScope} from './abort-scope.js';
import type {AttemptCleaner} from './attempt-cleaner.js';
import type {PlacedRequest} from './engine-candidates.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import {findBeside} from './next-attempt.js';
import type {
  AttemptResult,
  FindNextAttempt,
  NextAttempt,
} from './next-attempt.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';

/** Dependencies of a transfer. */
export interface CacheTransferParts {
  readonly clock: Clock;
  readonly placer: Placer;
  readonly links: LinkView;
  readonly cleaner: AttemptCleaner;
}

/** Outcome of a transfer. */
export type TransferResult = AttemptResult;

/** The transfer is to be tried at `decode` too. */
interface WidenedTransfer {
  readonly kind: 'widened';
  readonly decode: EngineState;
}

/** What a silent transfer is not the only hope of. */
type Replacement =
  /** Another decode engine, which may still fetch the cache. */
  | {readonly kind: 'decode'; readonly decode: EngineState}
  | {readonly kind: 'attempt'; readonly next: NextAttempt};

/** A decode engine that was asked to fetch the cache. */
interface OpenImport {
  readonly decode: EngineState;
  readonly startedAt: number;
  readonly scope: AbortScope;
  readonly outcome: Promise<ImportOutcome>;
}

interface ImportOutcome {
  readonly decode: EngineState;
  readonly result: Result<void, UpstreamError>;
}

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
  private readonly openImports = new Map<EngineState, OpenImport>();
  private readonly failedEngines = new Set<EngineState>();
  private readonly fullEngines = new Set<EngineState>();
  /** Engines that were silent, one of which may have fetched the cache. */
  private readonly silentEngines = new Set<EngineState>();
  /** Whether no further decode engine can fetch the cache. */
  private isSourceLost = false;

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
    try {
      return await this.transfer(result, signal);
    } finally {
      for (const {scope} of this.openImports.values()) scope.close();
    }
  }

  private async transfer(
    result: PrefillResult,
    signal: AbortSignal,
  ): Promise<TransferResult> {
    const expiresAt = this.parts.clock.now() + result.expiresInMilliseconds;
    for (;;) {
      const {decode} = this.placement;
      this.startImport(decode, result, signal);
      const transferred = await this.waitForImports(result, expiresAt, signal);
      switch (transferred.kind) {
        case 'complete':
        case 'replaced':
          return transferred;
        case 'widened':
          this.placement.replaceDecode(transferred.decode);
          continue;
        case 'failed':
      }
      if (signal.aborted) return transferred;
      const canGoOn =
        !this.isSourceLost && (await this.chooseNextDecode(expiresAt, signal));
      if (!canGoOn) return this.failOrReplace(transferred, signal);
    }
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
    if (this.silentEngines.size === 0) return failure;
    this.placement.releaseDecode();
    while (!signal.aborted) {
      const next = await this.findNext(signal);
      if (next !== undefined)
        return {kind: 'replaced', error: failure.error, next};
      await clock.sleep(retrySearchIntervalMilliseconds, signal);
    }
    return failure;
  }

  private startImport(
    decode: EngineState,
    {handle}: PrefillResult,
    signal: AbortSignal,
  ): void {
    const scope = new AbortScope(signal);
    this.onContact(decode);
    this.placement.startTransfer();
    const request = {
      ...this.attempt,
      sourceAddress: this.placement.prefill.engine.address,
      handle,
    };
    this.openImports.set(decode, {
      decode,
      scope,
      startedAt: this.parts.clock.now(),
      outcome: decode.engine
        .importCache(request, scope.signal)
        .then(result => ({decode, result})),
    });
  }

  /** Waits for the first decode engine that has the cache. */
  private async waitForImports(
    result: PrefillResult,
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<TransferResult | WidenedTransfer> {
    const monitor = this.monitorImports(expiresAt, signal);
    try {
      for (;;) {
        const outcomes = [...this.openImports.values()].map(
          ({outcome}) => outcome,
        );
        const item = await monitor.wait(Promise.race(outcomes));
        if (item.kind !== 'ready')
          return abandonedFor(item, this.placement.decode);
        const {decode} = item.value;
        const ended = this.endImport(decode);
        if (item.value.result.isOk) {
          this.complete(ended, result);
          return {kind: 'complete'};
        }
        const {error} = item.value.result;
        if (signal.aborted) return {kind: 'failed', error};
        this.recordImportError(decode, error);
        if (this.openImports.size > 0) {
          this.placement.releaseDecode();
          continue;
        }
        const replacement = await monitor.adopt();
        return replacement === undefined
          ? {kind: 'failed', error}
          : replacedBy(replacement, error);
      }
    } finally {
      monitor.close();
    }
  }

  private endImport(decode: EngineState): OpenImport {
    const ended = this.openImports.get(decode)!;
    this.openImports.delete(decode);
    ended.scope.close();
    return ended;
  }

  /** Cancels the transfers to other engines than the one that has the cache. */
  private complete(
    {decode, startedAt}: OpenImport,
    {promptTokens}: PrefillResult,
  ): void {
    const {clock, links, cleaner} = this.parts;
    for (const other of [...this.openImports.keys()]) {
      this.endImport(other);
      cleaner.cancelAt(this.attempt, other);
    }
    // An engine that was silent has its slot again.
    if (decode === this.placement.decode) this.placement.reserveDecode();
    else this.placement.replaceDecode(decode);
    this.placement.startTransfer();
    links.recordTransfer(
      this.placement.prefill,
      decode,
      promptTokens,
      clock.now() - startedAt,
    );
  }

  /** Seeks a replacement once the transfers are silent. */
  private monitorImports(
    expiresAt: number,
    signal: AbortSignal,
  ): StallMonitor<Replacement> {
    const {clock} = this.parts;
    const {transferMilliseconds} = this.placement.estimate;
    return new StallMonitor<Replacement>({
      clock,
      stallMilliseconds:
        timeoutBaseMilliseconds + timeoutFactor * transferMilliseconds,
      // The deadline of the request aborts the attempt.
      deadline: Infinity,
      findReplacement: searchSignal => {
        this.recordSilence();
        return this.findReplacement(expiresAt, searchSignal, signal);
      },
      releaseReplacement: replacement => {
        if (replacement.kind === 'attempt') replacement.next.close();
      },
    });
  }

  /** Ejects silent engines and frees the slot there, so that others are chosen. */
  private recordSilence(): void {
    for (const decode of this.openImports.keys()) {
      if (this.silentEngines.has(decode)) continue;
      this.silentEngines.add(decode);
      this.onError(decode, {kind: 'silent', upstream: decode.engine.id});
    }
    this.placement.releaseDecode();
  }

  private async findReplacement(
    expiresAt: number,
    searchSignal: AbortSignal,
    signal: AbortSignal,
  ): Promise<Replacement | undefined> {
    const {clock, placer} = this.parts;
    const {prefill, estimate} = this.placement;
    const isExpiring = clock.now() + estimate.transferMilliseconds >= expiresAt;
    if (!this.isSourceLost && !isExpiring) {
      const excluded = new Set([
        ...this.openImports.keys(),
        ...this.failedEngines,
      ]);
      const next = placer.chooseDecode(this.request, prefill, excluded);
      return next && {kind: 'decode', decode: next};
    }
    const next = await findBeside(this.findNext, searchSignal, signal);
    return next && {kind: 'attempt', next};
  }

  private recordImportError(decode: EngineState, error: UpstreamError): void {
    this.recordSourceError(error);
    if (!this.isSourceLost) this.recordDecodeError(decode, error);
  }

  /** Records whether the prefill engine has failed or has lost the cache. */
  private recordSourceError(error: UpstreamError): void {
    if (error.kind !== 'refused') return;
    const {prefill} = this.placement;
    if (error.code === 'source-unreachable')
      this.onError(prefill, {kind: 'unreachable', upstream: prefill.engine.id});
    this.isSourceLost ||= sourceUnavailableCodes.includes(error.code);
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

function abandonedFor(
  abandonment: Abandonment<Replacement>,
  {engine}: EngineState,
): TransferResult | WidenedTransfer {
  const error: UpstreamError = {kind: 'silent', upstream: engine.id};
  switch (abandonment.kind) {
    case 'replaced':
      return replacedBy(abandonment.replacement, error);
    case 'overdue':
      return {kind: 'failed', error};
  }
}

function replacedBy(
  replacement: Replacement,
  error: UpstreamError,
): TransferResult | WidenedTransfer {
  switch (replacement.kind) {
    case 'decode':
      return {kind: 'widened', decode: replacement.decode};
    case 'attempt':
      return {kind: 'replaced', error, next: replacement.next};
  }
}
