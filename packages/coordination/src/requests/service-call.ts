/** Calls of plain services, as hosts pass them on. */

import type {Result} from 'true-myth';
import type {AccountId, RequestId} from '../ids.js';
import type {Route, Upstream} from '../configuration/configuration.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** A call that is passed on whole. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly path: string;
  /** Never holds the caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
}

/** A call with what was found out about it. */
export interface RoutedServiceCall extends ServiceCall {
  /** Absent only on routes open to all. */
  readonly account: AccountId | undefined;
  readonly route: Route;
  readonly idempotencyKey: string | undefined;
  /** Time on the host's clock after which nobody waits for the answer. */
  readonly deadline: number;
}

/** The answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Read once; a reader that is slow slows the upstream down. */
  readonly body: AsyncIterable<Uint8Array> | readonly Uint8Array[];
}

/** Sends one call to one upstream, once. */
export interface ServiceSender {
  send(
    upstream: Upstream,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamError>>;
}
