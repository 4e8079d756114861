/** Interface of a model engine. The daemon implements it over HTTP. */

import type {Result} from 'true-myth';
import type {
  AccountId,
  AttemptId,
  HostId,
  Incarnation,
  RequestId,
  UpstreamId,
} from '../ids.js';

/** The host that owns a request, as recorded by engines. */
export interface RequestOwner {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Identifies one attempt of a request at an engine. */
export interface EngineAttempt {
  readonly request: RequestId;
  readonly attempt: AttemptId;
  readonly owner: RequestOwner;
}

/** Load reported by an engine. The values can be outdated on arrival. */
export interface LoadReport {
  /** Age of the values when the report was sent. */
  readonly ageMilliseconds: number;
  readonly queuedPrefillTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeSlots: number;
  readonly decodeSlotsUsed: number;
  readonly decodeStepMilliseconds: number;
  /** Number of KV cache tokens held by requests. */
  readonly heldTokens: number;
}

/** A request to compute the KV cache of a prompt. */
export interface PrefillRequest extends EngineAttempt {
  readonly model: string;
  readonly account: AccountId;
  /** Cached prefixes are shared only within a scope. */
  readonly cacheScope: string;
  readonly prompt: string;
  /** Higher values are scheduled first. */
  readonly priority: number;
}

/** A KV cache on a prefill engine, ready for transfer. */
export interface PrefillResult {
  readonly handle: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly bytes: number;
  readonly expiresInMilliseconds: number;
}

/** A request to import a KV cache from a prefill engine. */
export interface ImportRequest extends EngineAttempt {
  readonly sourceAddress: string;
  readonly handle: string;
}

/** A request to start or resume a token stream. */
export interface DecodeRequest extends EngineAttempt {
  readonly maximumTokens: number;
  /** Index of the first token to send; greater than 0 for a resumed stream. */
  readonly offset: number;
  readonly priority: number;
}

/** One token of a stream. */
export interface DecodedToken {
  readonly request: RequestId;
  readonly attempt: AttemptId;
  /** Index of the token in the response, without gaps. */
  readonly offset: number;
  readonly text: string;
  readonly last: boolean;
}

/** An attempt that an engine holds memory for. */
export interface RunningAttempt extends EngineAttempt {
  readonly state: 'prefilling' | 'prefilled' | 'imported' | 'decoding';
  readonly ageMilliseconds: number;
}

/** One change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly cacheScope: string;
  readonly blockHash: string;
}

/** Cache events after a sequence number, with the engine's newest number. */
export interface CacheEventPage {
  readonly newestSequence: number;
  readonly events: readonly CacheEvent[];
}

/** An order to change the model or role of an engine. */
export type EngineOrder =
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'change-role'; readonly role: 'prefill' | 'decode'};

/** Why a call to an upstream failed. */
export type UpstreamError =
  /** Connection failed; the upstream did not receive the call. */
  | {readonly kind: 'unreachable'; readonly upstream: UpstreamId}
  /** The upstream refused the call; it did not run and will not run. */
  | {
      readonly kind: 'refused';
      readonly upstream: UpstreamId;
      readonly code: string;
    }
  /** Timed out without data; the call may have run. */
  | {readonly kind: 'silent'; readonly upstream: UpstreamId}
  /** The connection broke; the call may have run. */
  | {readonly kind: 'broken'; readonly upstream: UpstreamId}
  /** The response is invalid or belongs to another attempt. */
  | {readonly kind: 'malformed'; readonly upstream: UpstreamId}
  /** The call was aborted through its `signal`. */
  | {readonly kind: 'cancelled'; readonly upstream: UpstreamId};

/** Client of one engine. Aborting `signal` ends a call. */
export interface Engine {
  readonly id: UpstreamId;
  readonly address: string;
  load(signal: AbortSignal): Promise<Result<LoadReport, UpstreamError>>;
  prefill(
    request: PrefillRequest,
    signal: AbortSignal,
  ): Promise<Result<PrefillResult, UpstreamError>>;
  importCache(
    request: ImportRequest,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>>;
  /**
   * Yields tokens starting at the offset. The last item is an error when the
   * stream fails. A slow reader applies backpressure to the engine.
   */
  decode(
    request: DecodeRequest,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodedToken, UpstreamError>>;
  /** Frees all memory that the attempt holds. Idempotent. */
  cancel(
    attempt: EngineAttempt,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>>;
  running(
    signal: AbortSignal,
  ): Promise<Result<readonly RunningAttempt[], UpstreamError>>;
  cacheEvents(
    afterSequence: number,
    signal: AbortSignal,
  ): Promise<Result<CacheEventPage, UpstreamError>>;
  order(
    order: EngineOrder,
    fencingNumber: bigint,
    signal: AbortSignal,
  ): Promise<Result<void, UpstreamError>>;
}
