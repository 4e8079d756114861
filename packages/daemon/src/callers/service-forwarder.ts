/** Forwards calls to plain services. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {matchesSelector, upstreamsOfPool} from '@persimmonwick/coordination';
import type {
  AccountId,
  Configuration,
  RequestFailure,
  RequestId,
  Route,
  Upstream,
} from '@persimmonwick/coordination';
import {randomBelow} from '@persimmonwick/coordination';
import type {RandomSource} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';

/** A call of a plain service. */
export interface ServiceCall {
  readonly request: RequestId;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** The answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Read no faster than it is passed on; must be read or destroyed. */
  readonly body: Readable;
}

const passedRequestHeaders = [
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'traceparent',
];

const droppedAnswerHeaders = new Set([
  'connection',
  'keep-alive',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
  // Only this host says whether a request ran.
  'x-persimmonwick-ran',
]);

/** Headers that a service sees: never the caller's key. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
  request: RequestId,
  account: AccountId | undefined,
): Record<string, string> {
  const forwarded: Record<string, string> = {'x-request-id': request};
  if (account !== undefined) forwarded['x-client-account'] = account;
  for (const name of passedRequestHeaders) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}

export class ServiceForwarder {
  private readonly agent: Agent;

  constructor(
    private readonly random: RandomSource,
    timeoutMilliseconds: number,
  ) {
    this.agent = new Agent({
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Sends `call` to one live upstream of `route`, once. */
  async forward(
    configuration: Configuration,
    route: Route,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    const candidates = listServices(configuration, route);
    const upstream = candidates[randomBelow(this.random, candidates.length)];
    if (upstream === undefined)
      return Result.err({
        code: 'no-upstream',
        message: 'no live upstream serves this route',
        ran: 'not-run',
        retryAfterMilliseconds: 1000,
      });
    return this.send(upstream, call, signal);
  }

  private async send(
    upstream: Upstream,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    try {
      const answer = await this.agent.request({
        origin: `http://${upstream.spec.address}`,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body,
        signal,
      });
      return Result.ok({
        status: answer.statusCode,
        headers: answerHeaders(answer.headers),
        body: answer.body,
      });
    } catch (error) {
      return Result.err(forwardFailure(error, signal));
    }
  }
}

/** Live upstreams of a service route. */
function listServices(configuration: Configuration, route: Route): Upstream[] {
  const {target} = route.spec;
  if (target.kind !== 'service') return [];
  return configuration.pools
    .filter(
      pool =>
        pool.spec.role === 'service' &&
        matchesSelector(target.services, pool.labels ?? {}),
    )
    .flatMap(pool => upstreamsOfPool(configuration, pool))
    .filter(upstream => upstream.spec.state !== 'leaving');
}

function answerHeaders(headers: IncomingHttpHeaders) {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers))
    if (value !== undefined && !droppedAnswerHeaders.has(name))
      kept[name] = value;
  return kept;
}

function forwardFailure(error: unknown, signal: AbortSignal): RequestFailure {
  if (signal.aborted)
    return {
      code: 'caller-gone',
      message: 'the caller closed the connection',
      ran: 'unknown',
    };
  switch ((error as NodeJS.ErrnoException).code) {
    case 'ECONNREFUSED':
    case 'UND_ERR_CONNECT_TIMEOUT':
      return {
        code: 'no-upstream',
        message: 'no connection to the upstream could be made',
        ran: 'not-run',
        retryAfterMilliseconds: 1000,
      };
    case 'UND_ERR_HEADERS_TIMEOUT':
    case 'UND_ERR_BODY_TIMEOUT':
      return {
        code: 'upstream-timeout',
        message: 'the upstream did not answer in time',
        ran: 'unknown',
      };
    default:
      return {
        code: 'upstream-failed',
        message: 'the connection to the upstream broke',
        ran: 'unknown',
      };
  }
}
