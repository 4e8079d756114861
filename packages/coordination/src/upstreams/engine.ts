/** A model engine as the policy sees it; the daemon reaches it over HTTP. */

import type {Result} from 'true-myth';
import type {
  AccountId,
  AttemptId,
  HostId,
  Incarnation,
  RequestId,
  UpstreamId,
} from '../ids.js';

/** The host that holds a request, as engines record it. */
export interface RequestOwner {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Names one attempt of one request at an engine. */
export interface EngineAttempt {
  readonly request: RequestId;
  readonly attempt: AttemptId;
  readonly owner: RequestOwner;
}

/** What an engine says about itself, some time after the fact. */
export interface LoadReport {
  /** Age of the figures when they were sent. */
  readonly ageMilliseconds: number;
  readonly queuedPrefillTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeSlots: number;
  readonly decodeSlotsUsed: number;
  readonly decodeStepMilliseconds: number;
  /** Tokens of KV cache that requests hold. */
  readonly heldTokens: number;
}

/** A request to compute the KV cache of a prompt. */
export interface PrefillRequest extends EngineAttempt {
  readonly model: string;
  readonly account: AccountId;
  /** Cached prefixes are shared within one scope only. */
  readonly cacheScope: string;
  readonly prompt: string;
  /** Higher goes first. */
  readonly priority: number;
}

/** A KV cache that waits on a prefill engine to be moved. */
export interface PrefillResult {
  readonly handle: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly bytes: number;
  readonly expiresInMilliseconds: number;
}

/** Moves a KV cache from a prefill engine to the engine that is asked. */
export interface ImportRequest extends EngineAttempt {
  readonly sourceAddress: string;
  readonly handle: string;
}

/** Starts or resumes a stream of tokens. */
export interface DecodeRequest extends EngineAttempt {
  readonly maximumTokens: number;
  /** Index of the first token wanted; above zero for a resumed stream. */
  readonly offset: number;
  readonly priority: number;
}

/** One token of a stream. */
export interface DecodedToken {
  readonly request: RequestId;
  readonly attempt: AttemptId;
  /** Index of the token in the answer, without gaps. */
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

/** An instruction to change what an engine serves. */
export type EngineOrder =
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'change-role'; readonly role: 'prefill' | 'decode'};

/** Why a call of an upstream gave no answer. */
export type UpstreamError =
  /** No connection: the upstream has seen nothing. */
  | {readonly kind: 'unreachable'; readonly upstream: UpstreamId}
  /** The upstream said that it did not and will not run the call. */
  | {
      readonly kind: 'refused';
      readonly upstream: UpstreamId;
      readonly code: string;
    }
  /** No byte in time; the call may have run. */
  | {readonly kind: 'silent'; readonly upstream: UpstreamId}
  /** The connection broke; the call may have run. */
  | {readonly kind: 'broken'; readonly upstream: UpstreamId}
  /** The answer made no sense or belongs to another attempt. */
  | {readonly kind: 'malformed'; readonly upstream: UpstreamId}
  /** The caller's own signal ended the call. */
  | {readonly kind: 'cancelled'; readonly upstream: UpstreamId};

/** One engine. Every call ends when `signal` is aborted. */
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
   * Yields tokens from the offset on; the last item is an error when the
   * stream broke. Reading slowly slows the engine down.
   */
  decode(
    request: DecodeRequest,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodedToken, UpstreamError>>;
  /** Frees all memory that the attempt holds; idempotent. */
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
