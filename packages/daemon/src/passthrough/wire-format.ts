/** Wire formats that a platform adapter defines for callers and upstreams. */

import type {
  GrantedReservation,
  RoutedCall,
  Header,
  IncomingCall,
  RequestFailure,
  AttemptOptions,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {Result} from 'true-myth';
import type {ResponseKind} from '../connections/exchange.js';

/** Request line and headers as received. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Names and values in alternation, in their original spelling. */
  readonly rawHeaders: readonly string[];
}

/** Wire format between callers and the host. */
export interface CallerWireFormat {
  /**
   * Parses a call; fails for a head that can't be forwarded safely. `arrivedAt`
   * is the clock time in milliseconds.
   */
  parseCall(
    head: RequestHead,
    arrivedAt: number,
  ): Result<IncomingCall, RequestFailure>;
  /**
   * Headers with which `call` is handed over to another host, which parses them
   * with `parseCall`.
   */
  handoverHeaders(
    call: RoutedCall,
    remainingMilliseconds: number,
  ): readonly Header[];
  /** Headers of a failure response, in addition to those of its body. */
  failureHeaders(failure: RequestFailure): readonly Header[];
}

/** What the head of a response says about the upstream itself. */
export interface UpstreamNotice {
  /** Whether the upstream announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which the upstream wants no requests from this host. */
  readonly pauseMilliseconds: number | undefined;
  readonly requestLimit: RequestLimitNotice;
  /** Time for which the upstream is still cold; undefined if not stated. */
  readonly coldLeftMilliseconds: number | undefined;
}

/** What a response says about the requests that its upstream takes. */
export type RequestLimitNotice =
  | {readonly kind: 'none'}
  /** Requests of all hosts together. */
  | {readonly kind: 'limit'; readonly requestsPerSecond: number}
  | {readonly kind: 'unreadable'};

/** A control request to an upstream, such as a reservation. */
export interface EngineRequest {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body?: string;
}

/** Wire format between the host and upstreams. */
export interface UpstreamWireFormat {
  /** Headers of a call, including those of the caller. */
  callHeaders(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
  ): readonly Header[];
  /** Headers of a call whose prompt is only prefilled. */
  prefillHeaders(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
  ): readonly Header[];
  /** Classifies a response; the names in `headers` are in lower case. */
  classifyResponse(
    call: RoutedCall,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseKind;
  /** Classifies the response to a control request. */
  classifyEngineResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseKind;
  /**
   * Reads what the upstream says about itself in the head of any response; the
   * names in `headers` are in lower case.
   */
  parseNotice(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): UpstreamNotice;
  /** Extracts the handle of a prefilled KV cache; undefined if absent. */
  parseCacheHandle(body: string): string | undefined;
  cacheReleaseRequest(handle: string): EngineRequest;
  reservationRequest(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
  ): EngineRequest;
  /** Extracts a reservation; undefined if it has no id. */
  parseReservation(body: string): GrantedReservation | undefined;
  reservationReleaseRequest(reservationId: string): EngineRequest;
}
