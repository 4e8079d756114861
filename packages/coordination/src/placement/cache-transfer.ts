/**
 * Moves a KV cache to a decode engine, and to another one when the first does
 * not take it, while the prefill engine still has it.
 */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {
  EngineAttempt,
  PrefillResult,
  UpstreamError,
} from '../upstreams/engine.js';
import {callWithin} from './abort-scope.js';
import type {AttemptCleaner} from './attempt-cleaner.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';

/** What a transfer works with. */
export interface CacheTransferParts {
  readonly clock: Clock;
  readonly placer: Placer;
  readonly links: LinkView;
  readonly cleaner: AttemptCleaner;
}

const leastTimeoutMilliseconds = 150;
const timeoutFactor = 3;
/** Pause before engines that were full are asked again. */
const fullPauseMilliseconds = 10;
/** Code of an engine without a free decode slot. */
const noSlotCode = 'no-decode-slot';
/** Codes that say that the prefill result is gone. */
const sourceGoneCodes = ['expired', 'source-unreachable'];

export class CacheTransfer {
  private readonly failed = new Set<EngineState>();
  private readonly full = new Set<EngineState>();

  constructor(
    private readonly parts: CacheTransferParts,
    private readonly request: CompletionRequest,
    private readonly attempt: EngineAttempt,
    private readonly placement: Placement,
    private readonly onTouch: (state: EngineState) => void,
    private readonly onError: (
      state: EngineState,
      error: UpstreamError,
    ) => void,
  ) {}

  async run(
    result: PrefillResult,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>> {
    const {clock} = this.parts;
    const expiresAt = clock.now() + result.expiresInMilliseconds;
    for (;;) {
      const {decode} = this.placement;
      const moved = await this.moveTo(decode, result, expiresAt, signal);
      if (moved.isOk || signal.aborted) return moved;
      if (this.isSourceGone(moved.error)) return moved;
      this.note(decode, moved.error);
      if (!(await this.chooseNext(expiresAt, signal))) return moved;
    }
  }

  private async moveTo(
    decode: EngineState,
    result: PrefillResult,
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>> {
    const {clock, links} = this.parts;
    const {prefill, estimate} = this.placement;
    const startedAt = clock.now();
    const timeout =
      leastTimeoutMilliseconds + timeoutFactor * estimate.transferMilliseconds;
    this.onTouch(decode);
    this.placement.startImport();
    const moved = await callWithin(
      clock,
      Math.max(1, Math.min(timeout, expiresAt - startedAt)),
      signal,
      decode.engine.id,
      ended =>
        decode.engine.importCache(
          {
            ...this.attempt,
            sourceAddress: prefill.engine.address,
            handle: result.handle,
          },
          ended,
        ),
    );
    if (moved.isOk)
      links.recordTransfer(
        prefill,
        decode,
        result.promptTokens,
        clock.now() - startedAt,
      );
    return moved;
  }

  private isSourceGone(error: UpstreamError): boolean {
    if (error.kind !== 'refused') return false;
    if (error.code === 'source-unreachable')
      this.onError(this.placement.prefill, {
        kind: 'unreachable',
        upstream: this.placement.prefill.engine.id,
      });
    return sourceGoneCodes.includes(error.code);
  }

  private note(decode: EngineState, error: UpstreamError): void {
    if (error.kind === 'refused' && error.code === noSlotCode) {
      decode.recordRefusal(this.parts.clock.now());
      this.full.add(decode);
      return;
    }
    this.onError(decode, error);
    this.failed.add(decode);
    this.parts.cleaner.cancelAt(this.attempt, decode);
  }

  /** Chooses another engine; false when the KV cache ends before that. */
  private async chooseNext(
    expiresAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, placer} = this.parts;
    for (;;) {
      const tried = new Set([...this.failed, ...this.full]);
      const next = placer.anotherDecode(
        this.request,
        this.placement.prefill,
        tried,
      );
      const left =
        expiresAt - clock.now() - this.placement.estimate.transferMilliseconds;
      if (signal.aborted || left <= 0) return false;
      if (next !== undefined) {
        this.placement.moveTo(next);
        return true;
      }
      const isHopeless = this.full.size === 0;
      if (isHopeless) return false;
      await clock.sleep(fullPauseMilliseconds, signal);
      const again = [...this.full].find(state => !this.failed.has(state));
      this.full.clear();
      if (again === undefined) return false;
      if (placer.candidates.isOpen(this.request, again)) {
        if (again !== this.placement.decode) this.placement.moveTo(again);
        return true;
      }
    }
  }
}
