/**
 * Types of passed-through calls, whose request and response are forwarded
 * unchanged.
 */

import type {Result} from 'true-myth';
import type {AccountId, UpstreamId} from '../ids.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {SendOutcome} from './call-sends.js';
import type {SendRefusal} from './send-gate.js';
import type {HeldBytes} from './response-memory.js';
import type {PassthroughRoute} from './route-table.js';

/** Name and value of a header. The name keeps the spelling of the sender. */
export type Header = readonly [name: string, value: string];

/** One part of a prompt. Parts with the same id hold the same tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Model and token counts of a generation, which determine the engine resources
 * that it needs.
 */
export interface GenerationRequirements {
  readonly model: string;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's estimate of the output length, often far off. */
  readonly expectedOutputTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
}

/** A call as received, before authentication and routing. */
export interface IncomingCall {
  /** Id that the caller assigned. */
  readonly id: string;
  readonly method: string;
  /** Host header in lower case, without a port. */
  readonly host: string;
  /** Path and query as received. */
  readonly target: string;
  /**
   * Headers to forward, without hop-by-hop headers and without headers that are
   * addressed to the router.
   */
  readonly headers: readonly Header[];
  readonly key: string | undefined;
  /** Time that the caller waits, counted from the arrival. */
  readonly callerTimeoutMilliseconds: number | undefined;
  readonly generation: GenerationRequirements | undefined;
  /** Id of the last event that the caller received before it repeated the call. */
  readonly lastEventId: number | undefined;
  /** Id of the call that brought the first event of the stream taken up. */
  readonly originCallId: string | undefined;
  /**
   * Earliest clock time at which the head of the request can have arrived, from which its
   * caller waits.
   */
  readonly arrivedAt: number;
  /** Whether another host has handed the call over to this one. */
  readonly isHandedOver: boolean;
}

/**
 * A call with its account, route and deadline. Its rate limit is checked before
 * it is forwarded.
 */
export interface RoutedCall extends IncomingCall {
  readonly body: Uint8Array;
  /** Clock time at which it was read to its end. */
  readonly receivedAt: number;
  readonly account: AccountId | undefined;
  readonly route: PassthroughRoute;
  /**
   * Clock time by which the call must end: the earlier of the timeouts of the
   * caller and of the route.
   */
  readonly deadline: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** The same for all repetitions of a request. */
  readonly fingerprint: string;
  /**
   * Regions that the route and the account allow; undefined if both allow all.
   */
  readonly allowedRegions: ReadonlySet<string> | undefined;
}

/** Why an upstream gave no response that can be passed on. */
export type PassthroughError =
  /** This host did not send the call, for a reason of its own. */
  | {
      readonly kind: 'withheld';
      readonly upstream: UpstreamId;
      readonly reason: SendRefusal;
    }
  /** No connection could be made, and nothing was sent. */
  | {readonly kind: 'unreachable'; readonly upstream: UpstreamId}
  /** The upstream states that it did not run the call and never will. */
  | {readonly kind: 'refused'; readonly upstream: UpstreamId}
  /** Another process has the address. The call was not run. */
  | {readonly kind: 'misdirected'; readonly upstream: UpstreamId}
  /**
   * The connection failed, or the response was malformed, after the call was
   * sent.
   */
  | {readonly kind: 'broken'; readonly upstream: UpstreamId}
  /** No response arrived in time after the call was sent. */
  | {readonly kind: 'silent'; readonly upstream: UpstreamId}
  /**
   * The process that answered may have another software version than the stream.
   * It may have run the call.
   */
  | {readonly kind: 'unverified'; readonly upstream: UpstreamId}
  /** The abort signal cancelled the attempt. */
  | {readonly kind: 'cancelled'; readonly upstream: UpstreamId};

/** Returns whether it is certain that the upstream did not run the call. */
export function provesCallNotRun(error: PassthroughError): boolean {
  switch (error.kind) {
    case 'withheld':
    case 'unreachable':
    case 'refused':
    case 'misdirected':
      return true;
    case 'broken':
    case 'silent':
    case 'unverified':
    case 'cancelled':
      return false;
  }
}

/**
 * Returns whether the call may have been sent, to the upstream or to another
 * process at its address.
 */
export function mayHaveBeenSent(error: PassthroughError): boolean {
  return error.kind !== 'unreachable' && error.kind !== 'withheld';
}

/** What became of a send by its result. */
export function sendOutcomeOf(
  result: Result<unknown, PassthroughError>,
): Exclude<SendOutcome, 'prefilled'> {
  return result.isErr && !mayHaveBeenSent(result.error)
    ? 'not-sent'
    : 'arrived';
}

/** The response of an upstream that ran the call. */
export interface PassthroughResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  /**
   * The bytes in order. Throws an `InterruptedResponseError` if they end early. A
   * reader that stops before the end cancels the call at the upstream.
   */
  readonly body: AsyncIterable<Uint8Array>;
  /** Counts the bytes that are held for the response beside `body`. */
  readonly held?: HeldBytes | undefined;
}

/** A response that ended before it was complete. */
export class InterruptedResponseError extends Error {
  constructor(
    readonly upstream: UpstreamId,
    readonly reason: 'broken' | 'silent' | 'cancelled',
  ) {
    super(`the response of ${upstream} ended early: ${reason}`);
  }
}

/** Options of a single attempt of a call. */
export interface AttemptOptions {
  /** Time that the upstream may spend on the call. */
  readonly remainingMilliseconds: number;
  /**
   * Whether to avoid a reused connection. The upstream may close one while the
   * call is sent, and it is then unknown whether the call ran.
   */
  readonly needsNewConnection: boolean;
  /** Id of the last event passed on, for a stream that is being resumed. */
  readonly lastEventId?: number;
  /**
   * Prefill engine that holds the KV cache of the prompt, and the handle of the
   * cache.
   */
  readonly cache?: CacheSource;
  /** Id of the memory reservation at the engine. */
  readonly reservationId?: string;
  /** Timeout for the headers of the response. */
  readonly headersTimeoutMilliseconds: number;
}

/** The KV cache of a prompt at a prefill engine. It can be fetched once. */
export interface CacheSource {
  readonly upstream: UpstreamDocument;
  readonly handle: string;
}

export type TransportResult<Value> = Promise<Result<Value, PassthroughError>>;

/** Memory that an engine has reserved. */
export interface GrantedReservation {
  readonly id: string;
  /**
   * Start of the process that granted it, in Unix milliseconds; undefined if it
   * does not say.
   */
  readonly startedAt: number | undefined;
}

/** Sends calls to upstreams. Its promises never reject. */
export interface PassthroughTransport {
  /** Sends a call and resolves with the head of the response. */
  send(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<PassthroughResponse>;
  /**
   * Computes and keeps the KV cache of the call's prompt. Resolves with the
   * handle.
   */
  prefill(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<string>;
  /** Frees a KV cache that will not be fetched. */
  releaseCache(source: CacheSource): TransportResult<void>;
  /** Reserves a slot and memory for one generation. */
  reserve(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<GrantedReservation>;
  /**
   * Resolves with whether a connection to the upstream can be made. Sends
   * nothing.
   */
  probe(upstream: UpstreamDocument, signal: AbortSignal): Promise<boolean>;
  /**
   * Asks for `path` over a new connection. Resolves with whether a response
   * arrives within the timeout.
   */
  exchange(
    upstream: UpstreamDocument,
    path: string,
    timeoutMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean>;
  /** Releases a reservation that will not be used. */
  releaseReservation(
    upstream: UpstreamDocument,
    reservationId: string,
  ): TransportResult<void>;
}
