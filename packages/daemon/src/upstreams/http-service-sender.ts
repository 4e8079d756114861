/** HTTP client for plain services, the upstreams that are not engines. */

import {upstreamId, systemClock} from '@persimmonwick/coordination';
import type {
  Header,
  ServiceResponse,
  ServiceCall,
  ServiceSender,
  Upstream,
  UpstreamError,
} from '@persimmonwick/coordination';
import type {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {sendRequest} from '../connections/exchange.js';
import {createConnections} from './product-connections.js';
import {requestError} from './http-error.js';

/** Headers that only this host sets. */
const droppedResponseHeaders = new Set(['x-request-id', 'x-persimmonwick-ran']);

export class HttpServiceSender implements ServiceSender {
  private readonly connections = createConnections(systemClock);

  constructor(private readonly timeoutMilliseconds: number) {}

  close(): Promise<void> {
    this.connections.closeAll();
    return Promise.resolve();
  }

  async send(
    upstream: Upstream,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, UpstreamError>> {
    const response = await sendRequest({
      upstream: upstreamId(upstream.name),
      connection: this.connections.acquire(upstream.spec.address, false),
      request: {
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body ?? null,
      },
      headersTimeoutMilliseconds: this.timeoutMilliseconds,
      bodyIdleTimeoutMilliseconds: this.timeoutMilliseconds,
      // The signal of the call bounds the time of the body.
      bodyLimits: () => undefined,
      signal,
      classify: () => 'ran',
    });
    return response
      .map(({status, headers, body}) => ({
        status,
        headers: forwardedResponseHeaders(headers),
        body,
      }))
      .mapErr(error => requestError(error, signal));
  }
}

/** Groups headers by their names in lower case. */
function forwardedResponseHeaders(headers: readonly Header[]) {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of headers) {
    const key = name.toLowerCase();
    if (droppedResponseHeaders.has(key)) continue;
    const previous = forwarded[key];
    forwarded[key] = previous === undefined ? value : [previous, value].flat();
  }
  return forwarded;
}
