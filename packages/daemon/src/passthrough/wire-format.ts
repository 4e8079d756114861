/** How an adapter names things on the wires of callers and upstreams. */

import type {
  AdmittedCall,
  Header,
  IncomingCall,
  RequestFailure,
  AttemptOptions,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {Result} from 'true-myth';

/** The head of a request as it was read. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Names and values by turns, as they were sent. */
  readonly rawHeaders: readonly string[];
}

/** The wire towards callers. */
export interface CallerWireFormat {
  /** Reads a call; fails for heads that can't be passed on safely. */
  parseCall(
    head: RequestHead,
    arrivedAt: number,
  ): Result<IncomingCall, RequestFailure>;
  /** Headers of a refusal or failure, besides those of its body. */
  failureHeaders(failure: RequestFailure): readonly Header[];
}

/** What the head of an answer says. */
export type ResponseKind =
  /** The upstream ran the call; this is its answer. */
  | 'ran'
  /** The upstream did not run the call and never will. */
  | 'refused'
  /** Another process than the expected one answered. */
  | 'misdirected'
  /** This answers another call, or is no answer that can be passed on. */
  | 'foreign';

/** A small request to an engine, beside calls. */
export interface EngineRequest {
  readonly method: 'DELETE' | 'POST';
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body?: string;
}

/** The wire towards upstreams. */
export interface UpstreamWireFormat {
  /** Headers of a call, those of the caller included. */
  callHeaders(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
  ): readonly Header[];
  /** The same for having its prompt read only. */
  prefillHeaders(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
  ): readonly Header[];
  /** `headers` has lower-case names. */
  classifyResponse(
    call: AdmittedCall,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseKind;
  /** Handle of a prompt that was read; undefined when the body has none. */
  parseCacheHandle(body: string): string | undefined;
  cacheReleaseRequest(handle: string): EngineRequest;
  reservationRequest(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
  ): EngineRequest;
  /** Id of a reservation; undefined when the body has none. */
  parseReservationId(body: string): string | undefined;
  reservationReleaseRequest(reservation: string): EngineRequest;
}
