/** HTTP client for plain services, the upstreams that are not engines. */

import type {IncomingHttpHeaders} from 'node:http';
import {upstreamId} from '@persimmonwick/coordination';
import type {
  ServiceResponse,
  ServiceCall,
  ServiceSender,
  Upstream,
  UpstreamError,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import {toUpstreamError} from './http-error.js';

const droppedResponseHeaders = new Set([
  'connection',
  'keep-alive',
  'trailer',
  'transfer-encoding',
  'upgrade',
  // Only this host sets the following headers.
  'x-request-id',
  'x-persimmonwick-ran',
]);

export class HttpServiceSender implements ServiceSender {
  private readonly agent: Agent;

  constructor(timeoutMilliseconds: number) {
    this.agent = new Agent({
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
      pipelining: 1,
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  async send(
    upstream: Upstream,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, UpstreamError>> {
    try {
      const response = await this.agent.request({
        origin: `http://${upstream.spec.address}`,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body,
        signal,
      });
      return Result.ok({
        status: response.statusCode,
        headers: forwardedResponseHeaders(response.headers),
        body: response.body,
      });
    } catch (error) {
      return Result.err(
        toUpstreamError(error, upstreamId(upstream.name), signal),
      );
    }
  }
}

function forwardedResponseHeaders(headers: IncomingHttpHeaders) {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers))
    if (value !== undefined && !droppedResponseHeaders.has(name))
      forwarded[name] = value;
  return forwarded;
}
