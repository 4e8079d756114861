/** Calls whose request and answer pass through unchanged, and their results. */

import type {Result} from 'true-myth';
import type {AccountId, UpstreamId} from '../ids.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {PassthroughRoute} from './route-table.js';

/** Name and value of a header, with the name as the sender wrote it. */
export type Header = readonly [name: string, value: string];

/** One part of a prompt; parts with the same id hold the same tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a generation needs of an engine. */
export interface Generation {
  readonly model: string;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** Estimate of the output by the caller, often far off. */
  readonly expectedOutputTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
}

/** A call as it came in, before its key and route were looked at. */
export interface IncomingCall {
  /** Id that the caller gave to this try. */
  readonly id: string;
  readonly method: string;
  /** Host header in lower case, without a port. */
  readonly host: string;
  /** Path and query as they were sent. */
  readonly target: string;
  /** Headers to pass on; none that belongs to one connection or to us. */
  readonly headers: readonly Header[];
  readonly key: string | undefined;
  /** Time that the caller waits, counted from the arrival. */
  readonly callerTimeoutMilliseconds: number | undefined;
  readonly generation: Generation | undefined;
  /** Number of the last event that the caller has of an earlier try. */
  readonly lastEventId: number | undefined;
  /** Clock time at which the head of the call was read. */
  readonly arrivedAt: number;
}

/** A call with its account and route, ready to be passed on. */
export interface AdmittedCall extends IncomingCall {
  readonly body: Uint8Array;
  readonly account: AccountId | undefined;
  readonly route: PassthroughRoute;
  /** Clock time at which the caller or the operator wants an end. */
  readonly deadline: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
}

/** Why an upstream gave no answer to pass on. */
export type PassthroughError =
  /** No connection could be made: nothing was sent. */
  | {readonly kind: 'unreachable'; readonly upstream: UpstreamId}
  /** The upstream says that it did not run the call and never will. */
  | {readonly kind: 'refused'; readonly upstream: UpstreamId}
  /** Another process has the address; the call was not run. */
  | {readonly kind: 'misdirected'; readonly upstream: UpstreamId}
  /** The connection ended or made no sense after the call was sent. */
  | {readonly kind: 'broken'; readonly upstream: UpstreamId}
  /** No answer in time after the call was sent. */
  | {readonly kind: 'silent'; readonly upstream: UpstreamId}
  /** The signal ended it. */
  | {readonly kind: 'cancelled'; readonly upstream: UpstreamId};

/** True when the call did not run at the upstream. */
export function provesCallNotRun(error: PassthroughError): boolean {
  switch (error.kind) {
    case 'unreachable':
    case 'refused':
    case 'misdirected':
      return true;
    case 'broken':
    case 'silent':
    case 'cancelled':
      return false;
  }
}

/** True when the call reached the upstream, whether it ran or not. */
export function hasArrived(error: PassthroughError): boolean {
  return error.kind !== 'unreachable';
}

/** The answer of an upstream that ran the call. */
export interface PassthroughAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  /**
   * The bytes in order; throws a `BrokenAnswerError` when they end early. A
   * reader that stops before the end cancels the call at the upstream.
   */
  readonly body: AsyncIterable<Uint8Array>;
}

/** An answer ended before it was whole. */
export class BrokenAnswerError extends Error {
  constructor(
    readonly upstream: UpstreamId,
    readonly reason: 'broken' | 'silent' | 'cancelled',
  ) {
    super(`the answer of ${upstream} ended early: ${reason}`);
  }
}

/** What one sending adds to a call. */
export interface AttemptOptions {
  /** Time that the upstream may work on it. */
  readonly remainingMilliseconds: number;
  /** Connection that was not used before, for calls that run once at most. */
  readonly needsNewConnection: boolean;
  /** Last event that was passed on, where a stream goes on. */
  readonly lastEventId?: number;
  /** Engine that read the prompt, and its handle. */
  readonly cache?: CacheSource;
  /** Memory that was reserved at the engine. */
  readonly reservationId?: string;
  /** Longest wait for the head of the answer. */
  readonly headersTimeoutMilliseconds: number;
  /** Longest time between two parts of the body; the rest when absent. */
  readonly bodyIdleTimeoutMilliseconds?: number;
}

/** A prompt that was read at one engine and may be fetched once. */
export interface CacheSource {
  readonly upstream: UpstreamDocument;
  readonly handle: string;
}

export type TransportResult<Value> = Promise<Result<Value, PassthroughError>>;

/** Carries calls to upstreams; never rejects. */
export interface PassthroughTransport {
  /** Sends a call; resolves with the head of the answer. */
  send(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<PassthroughAnswer>;
  /** Has the prompt of a call read and kept; resolves with the handle. */
  prefill(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<string>;
  /** Frees a prompt that will not be fetched. */
  releaseCache(source: CacheSource): TransportResult<void>;
  /** Reserves a slot and memory for one generation. */
  reserve(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<string>;
  /** True when a connection to an upstream can be made; sends nothing. */
  probe(upstream: UpstreamDocument, signal: AbortSignal): Promise<boolean>;
  /** Gives back a reservation that will not be used. */
  releaseReservation(
    upstream: UpstreamDocument,
    reservation: string,
  ): TransportResult<void>;
}
