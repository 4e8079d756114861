/** HTTP client that implements the engine interface. */

import type {
  CacheEventPage,
  DecodeRequest,
  DecodedToken,
  Engine,
  EngineDirectory,
  LoadReport,
  PrefillResult,
  RunningAttempt,
  Upstream,
  UpstreamError,
  UpstreamId,
} from '@persimmonwick/coordination';
import {upstreamId} from '@persimmonwick/coordination';
import {createParser} from 'eventsource-parser';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {toUpstreamError} from './http-error.js';

const maximumConnectionsPerEngine = 256;
const okStatus = 200;

/** Client for one engine. */
export class HttpEngine implements Engine {
  readonly id: UpstreamId;
  private readonly pool: Pool;

  constructor(
    id: UpstreamId,
    readonly address: string,
    bodyTimeoutMilliseconds: number,
  ) {
    this.id = id;
    this.pool = new Pool(`http://${address}`, {
      connections: maximumConnectionsPerEngine,
      pipelining: 1,
      bodyTimeout: bodyTimeoutMilliseconds,
      // 0 disables the timeout; the signal of the call bounds the wait.
      headersTimeout: 0,
    });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  load: Engine['load'] = signal => this.getJson<LoadReport>('/load', signal);

  prefill: Engine['prefill'] = (request, signal) =>
    this.postJson<PrefillResult>('/prefill', request, signal);

  importCache: Engine['importCache'] = async (request, signal) => {
    const response = await this.postJson('/kv/import', request, signal);
    return response.map(() => undefined);
  };

  cancel: Engine['cancel'] = async (attempt, signal) => {
    const response = await this.postJson('/cancel', attempt, signal);
    return response.map(() => undefined);
  };

  running: Engine['running'] = async signal => {
    const response = await this.getJson<{running: RunningAttempt[]}>(
      '/running',
      signal,
    );
    return response.map(({running}) => running);
  };

  cacheEvents: Engine['cacheEvents'] = (afterSequence, signal) =>
    this.getJson<CacheEventPage>(
      `/cache-events?after=${afterSequence}`,
      signal,
    );

  order: Engine['order'] = async (order, fencingToken, signal) => {
    const body = {order, fencingNumber: fencingToken.toString()};
    const response = await this.postJson('/orders', body, signal);
    return response.map(() => undefined);
  };

  async *decode(
    request: DecodeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    try {
      const response = await this.send('POST', '/decode', request, signal);
      if (response.statusCode !== okStatus) {
        yield Result.err(await this.readErrorResponse(response));
        return;
      }
      const parsed: DecodedToken[] = [];
      const parser = createParser({
        onEvent: event => parsed.push(JSON.parse(event.data) as DecodedToken),
      });
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
        for (const token of parsed.splice(0)) yield Result.ok(token);
      }
    } catch (error) {
      yield Result.err(toUpstreamError(error, this.id, signal));
    }
  }

  private getJson<Body>(path: string, signal: AbortSignal) {
    return this.requestJson<Body>('GET', path, undefined, signal);
  }

  private postJson<Body>(path: string, body: object, signal: AbortSignal) {
    return this.requestJson<Body>('POST', path, body, signal);
  }

  private async requestJson<Body>(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<Result<Body, UpstreamError>> {
    try {
      const response = await this.send(method, path, body, signal);
      if (response.statusCode !== okStatus)
        return Result.err(await this.readErrorResponse(response));
      return Result.ok((await response.body.json()) as Body);
    } catch (error) {
      return Result.err(toUpstreamError(error, this.id, signal));
    }
  }

  private send(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return this.pool.request({
      method,
      path,
      headers: body && {'content-type': 'application/json'},
      body: body && JSON.stringify(body),
      signal,
    });
  }

  private async readErrorResponse(
    response: Dispatcher.ResponseData,
  ): Promise<UpstreamError> {
    const text = await response.body.text();
    try {
      const {code} = JSON.parse(text) as {code?: unknown};
      return {kind: 'refused', upstream: this.id, code: String(code)};
    } catch {
      return {kind: 'malformed', upstream: this.id};
    }
  }
}

/** Keeps one client per upstream name and address. */
export class HttpEngineDirectory implements EngineDirectory {
  private readonly engines = new Map<string, HttpEngine>();

  constructor(private readonly bodyTimeoutMilliseconds: number) {}

  engineOf(upstream: Upstream): HttpEngine {
    const key = `${upstream.name} ${upstream.spec.address}`;
    const existing = this.engines.get(key);
    if (existing !== undefined) return existing;
    const engine = new HttpEngine(
      upstreamId(upstream.name),
      upstream.spec.address,
      this.bodyTimeoutMilliseconds,
    );
    this.engines.set(key, engine);
    return engine;
  }

  async close(): Promise<void> {
    await Promise.all([...this.engines.values()].map(engine => engine.close()));
  }
}
