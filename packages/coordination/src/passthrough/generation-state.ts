/** State of one generation across all its attempts, and its failures. */

import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  callerDisconnected,
  queueFull,
  upstreamFailed,
  upstreamTimeout,
} from './call-failures.js';
import type {
  AdmittedCall,
  CacheSource,
  Generation,
  PassthroughError,
} from './call.js';

/**
 * Fraction of the expected output for which memory is reserved. Half of the
 * estimates are too low.
 */
const reservedOutputFraction = 0.1;

/** The KV cache of a prompt, with the time for which its engine keeps it. */
export interface PrefilledCache {
  readonly source: CacheSource;
  /** Clock time until which a decode engine can be expected to fetch it. */
  readonly usableUntil: number;
}

/** State of one call across all its attempts. */
export interface GenerationState {
  readonly call: AdmittedCall;
  readonly generation: Generation;
  readonly pool: PoolDocument;
  readonly signal: AbortSignal;
  readonly avoidedUpstreams: Set<string>;
  attempts: number;
  prefillAttempts: number;
  /** Number of engines that may have run the call. */
  possibleExecutions: number;
  shouldSkipPrefillStage: boolean;
  /**
   * A computed KV cache that was not fetched because the decode engine was not
   * reached.
   */
  reusableCache: PrefilledCache | undefined;
  lastEventId: number | undefined;
  lastError: PassthroughError | undefined;
}

/**
 * Estimates the memory that a generation needs, from the caller's output
 * estimate.
 */
export function estimateMemoryTokens(generation: Generation): number {
  const {promptTokens, maximumOutputTokens, expectedOutputTokens} = generation;
  const expected =
    (expectedOutputTokens ?? maximumOutputTokens) * reservedOutputFraction;
  return promptTokens + Math.min(maximumOutputTokens, expected);
}

/** Failure of a call whose caller disconnected. */
export function disconnectFailureOf({
  possibleExecutions,
}: GenerationState): RequestFailure {
  return possibleExecutions === 0
    ? {...callerDisconnected, ran: 'not-run'}
    : callerDisconnected;
}

/** Failure of a call for which no memory was reserved in time. */
export function queueFailureOf({
  possibleExecutions,
}: GenerationState): RequestFailure {
  return possibleExecutions === 0 ? queueFull : upstreamFailed;
}

/** Failure of a call whose last attempt failed. */
export function attemptFailureOf({
  possibleExecutions,
  lastError,
}: GenerationState): RequestFailure {
  if (possibleExecutions === 0) return queueFull;
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}
