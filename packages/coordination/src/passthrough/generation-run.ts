/** State of one generation across all its attempts, and its failures. */

import type {PoolDocument} from '../generated/documents.js';
import type {OutputEstimate} from '../decisions/memory-forecast.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  continuationRefused,
  noUpstream,
  notRunFailureOf,
  queueFull,
  upstreamFailed,
  upstreamTimeout,
} from './call-failures.js';
import {cancellationFailureOf} from './cancellation.js';
import type {CallSends} from './call-sends.js';
import type {
  RoutedCall,
  CacheSource,
  GenerationRequirements,
  PassthroughError,
} from './call.js';
import type {RetryRequest} from './retry-gate.js';
import type {ContinuationRefusal} from './stream-continuation.js';

/** Status of a response that is a stream of events. */
export const eventStreamStatus = 200;

/**
 * Fraction of the expected output for which memory is reserved at the start.
 * Half of the estimates are too low, and the accounted memory grows with the
 * output.
 */
const reservedOutputFraction = 0.1;

/** The KV cache of a prompt at a prefill engine. */
export interface PrefilledCache {
  readonly source: CacheSource;
  /** Clock time after which this host no longer uses the cache. */
  readonly usableUntil: number;
}

/** State of one generation across its attempts. */
export interface GenerationState {
  readonly call: RoutedCall;
  readonly generation: GenerationRequirements;
  readonly pool: PoolDocument;
  readonly signal: AbortSignal;
  /** Decode engines that failed; cleared when no other one is usable. */
  readonly avoidedUpstreams: Set<string>;
  attempts: number;
  readonly sends: CallSends;
  /** Events with an id that the engine of the current attempt has sent. */
  attemptEvents: number;
  /**
   * Whether an engine went down before its first event, and a part of the prompt
   * may be the cause.
   */
  isSuspect: boolean;
  /**
   * Number of attempts that may have run the call; limited by `maximumTries`.
   */
  possibleRuns: number;
  /** Set after a lost KV cache, until the stream is resumed. */
  shouldSkipPrefillStage: boolean;
  /**
   * A KV cache that was not fetched, because the connection to the decode
   * engine failed or led to another process.
   */
  reusableCache: PrefilledCache | undefined;
  /** Whether a stream was interrupted that an engine had started. */
  isInterrupted: boolean;
  /** Id of the last event that the caller has. */
  lastEventId: number | undefined;
  /**
   * Version of the upstream that began the stream, which alone may continue it;
   * undefined before the first event.
   */
  softwareVersion: string | undefined;
  /**
   * Whether the process that began the stream may have another version than the
   * list named. The stream is then not resumed.
   */
  isVersionUncertain: boolean;
  /** Resolves once the next list has shown the version of this process. */
  versionCheck: Promise<void>;
  lastError: PassthroughError | undefined;
}

/**
 * Estimates the memory that a generation needs, from the caller's output
 * estimate.
 */
export function estimateMemoryTokens(
  generation: GenerationRequirements,
): number {
  const {promptTokens, maximumOutputTokens, expectedOutputTokens} = generation;
  const expected =
    (expectedOutputTokens ?? maximumOutputTokens) * reservedOutputFraction;
  return promptTokens + Math.min(maximumOutputTokens, expected);
}

/** Output of a generation before its next token, for the memory forecast. */
export interface OutputProgress {
  readonly promptTokens: number;
  readonly estimate: OutputEstimate;
  readonly generatedTokens: number;
  /** Number of urgencies of the pool that come before the one of the call. */
  readonly urgencyRank: number;
}

/**
 * Progress of a generation in a pool that uses the memory forecast; undefined in
 * other pools.
 */
export function outputProgressOf({
  call,
  generation,
  pool,
  lastEventId,
}: GenerationState): OutputProgress | undefined {
  const urgencies = call.route.contendedPools?.get(pool.name);
  if (urgencies === undefined) return undefined;
  const tokensPerEvent = pool.spec.engine?.tokensPerEvent ?? 1;
  return {
    promptTokens: generation.promptTokens,
    estimate: generation,
    generatedTokens: (lastEventId ?? 0) * tokensPerEvent,
    urgencyRank: urgencies.filter(each => each < call.urgency).length,
  };
}

/** What asks for another send of a generation. */
export function retryRequestOf(
  state: GenerationState,
  reason: string,
): RetryRequest {
  const {call, pool, sends} = state;
  return {call, pool, counts: state, sends, reason};
}

/** Failure of a call that was cancelled. */
export function disconnectFailureOf({
  possibleRuns,
  signal,
}: GenerationState): RequestFailure {
  return cancellationFailureOf(
    signal,
    possibleRuns === 0 ? 'not-run' : 'unknown',
  );
}

/** Failure of a call for which no memory was reserved in time. */
export function queueFailureOf(
  {possibleRuns}: GenerationState,
  isAnyReachable: boolean,
): RequestFailure {
  if (possibleRuns > 0) return upstreamFailed;
  return isAnyReachable ? queueFull : noUpstream;
}

/** Failure of a call whose last attempt failed. */
export function attemptFailureOf({
  possibleRuns,
  lastError,
}: GenerationState): RequestFailure {
  if (possibleRuns === 0) return notRunFailureOf(lastError);
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}

/** Failure of a call whose stream no engine may continue. */
export function versionFailureOf(
  {possibleRuns}: GenerationState,
  reason: ContinuationRefusal = 'version-gone',
): RequestFailure {
  return possibleRuns > 0 ? upstreamFailed : continuationRefused(reason);
}
