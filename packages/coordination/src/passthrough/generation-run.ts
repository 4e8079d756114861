/** State of one generation over all its sendings, and how it may fail. */

import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  callerGone,
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

/** Estimates of the output are low in half of the cases. */
const outputMargin = 0.1;

/** A prompt that was read, with how long its engine keeps it. */
export interface KeptCache {
  readonly source: CacheSource;
  /** Clock time until which a decode engine can be expected to fetch it. */
  readonly usableUntil: number;
}

/** State of one call over all its sendings. */
export interface GenerationRun {
  readonly call: AdmittedCall;
  readonly generation: Generation;
  readonly pool: PoolDocument;
  readonly signal: AbortSignal;
  readonly avoided: Set<string>;
  sendings: number;
  prefills: number;
  /** Engines that may have run the call. */
  runs: number;
  readsPromptItself: boolean;
  /** A prompt that was read and not fetched, because its engine was missed. */
  keptCache: KeptCache | undefined;
  lastEvent: number | undefined;
  lastError: PassthroughError | undefined;
}

/** Memory that a generation will need, by the caller's estimate. */
export function memoryOf(generation: Generation): number {
  const {promptTokens, maximumOutputTokens, expectedOutputTokens} = generation;
  const expected = (expectedOutputTokens ?? maximumOutputTokens) * outputMargin;
  return promptTokens + Math.min(maximumOutputTokens, expected);
}

/** The failure of a call whose caller left. */
export function goneFailure({runs}: GenerationRun): RequestFailure {
  return runs === 0 ? {...callerGone, ran: 'not-run'} : callerGone;
}

/** The failure of a call for which no memory was found in time. */
export function fullFailure({runs}: GenerationRun): RequestFailure {
  return runs === 0 ? queueFull : upstreamFailed;
}

/** The failure of a call whose last sending failed. */
export function failureOf({runs, lastError}: GenerationRun): RequestFailure {
  if (runs === 0) return queueFull;
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}
