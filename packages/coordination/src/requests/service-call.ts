/**
 * Calls to plain services, HTTP upstreams without model engines, which a host
 * passes through.
 */

import type {Result} from 'true-myth';
import type {AccountId, RequestId} from '../ids.js';
import type {Route, Upstream} from '../configuration/configuration.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** A call with its complete body. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly path: string;
  /** Without the caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

/** A call with its account and route. */
export interface RoutedServiceCall extends ServiceCall {
  /** Absent only on open routes. */
  readonly account: AccountId | undefined;
  readonly route: Route;
  readonly idempotencyKey: string | undefined;
  /** Time on the host's clock after which the caller no longer waits. */
  readonly deadline: number;
}

/** The response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /**
   * Can be iterated once. A slow reader applies backpressure to the upstream.
   */
  readonly body: AsyncIterable<Uint8Array> | readonly Uint8Array[];
}

/** Sends a call to an upstream without retries. */
export interface ServiceSender {
  send(
    upstream: Upstream,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, UpstreamError>>;
}
