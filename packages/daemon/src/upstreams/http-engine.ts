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
import {systemClock, upstreamId} from '@persimmonwick/coordination';
import {createParser} from 'eventsource-parser';
import {Result} from 'true-myth';
import {smallBodyLimits} from '../connections/body-limits.js';
import type {BodyLimits} from '../connections/body-limits.js';
import {sendRequest} from '../connections/exchange.js';
import {createConnections} from './product-connections.js';
import {requestError, responseError} from './http-error.js';

const okStatus = 200;

/** Largest JSON body of an engine; a page of cache events is the largest. */
const maximumJsonBytes = 16 << 20;

/** Most characters of one event in a stream of tokens. */
const maximumEventCharacters = 1 << 20;

type Body = AsyncIterable<Uint8Array>;

/** Client for one engine. */
export class HttpEngine implements Engine {
  private readonly connections = createConnections(systemClock);

  constructor(
    readonly id: UpstreamId,
    readonly address: string,
    /** Longest time until a head or a JSON body is complete. */
    private readonly timeoutMilliseconds: number,
  ) {}

  close(): Promise<void> {
    this.connections.closeAll();
    return Promise.resolve();
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
    const response = await this.send(
      'POST',
      '/decode',
      request,
      signal,
      undefined,
    );
    if (response.isErr) {
      yield Result.err(requestError(response.error, signal));
      return;
    }
    const {status, body} = response.value;
    try {
      if (status === okStatus) yield* readEvents(body);
      else yield Result.err(await this.readErrorResponse(body));
    } catch (error) {
      yield Result.err(responseError(error, this.id, signal));
    }
  }

  private getJson<Value>(path: string, signal: AbortSignal) {
    return this.requestJson<Value>('GET', path, undefined, signal);
  }

  private postJson<Value>(path: string, body: object, signal: AbortSignal) {
    return this.requestJson<Value>('POST', path, body, signal);
  }

  private async requestJson<Value>(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<Result<Value, UpstreamError>> {
    const response = await this.send(method, path, body, signal, {
      maximumBytes: maximumJsonBytes,
      timeoutMilliseconds: this.timeoutMilliseconds,
    });
    if (response.isErr) return Result.err(requestError(response.error, signal));
    try {
      if (response.value.status !== okStatus)
        return Result.err(await this.readErrorResponse(response.value.body));
      const text = await readText(response.value.body);
      return Result.ok(JSON.parse(text) as Value);
    } catch (error) {
      return Result.err(responseError(error, this.id, signal));
    }
  }

  private send(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
    okBodyLimits: BodyLimits | undefined,
  ) {
    return sendRequest({
      upstream: this.id,
      connection: this.connections.acquire(this.address, false),
      request: {
        method,
        path,
        headers: body ? {'content-type': 'application/json'} : {},
        body: body ? JSON.stringify(body) : null,
      },
      headersTimeoutMilliseconds: this.timeoutMilliseconds,
      bodyIdleTimeoutMilliseconds: this.timeoutMilliseconds,
      bodyLimits: status =>
        status === okStatus
          ? okBodyLimits
          : smallBodyLimits(this.timeoutMilliseconds),
      signal,
      classify: () => 'ran',
    });
  }

  private async readErrorResponse(body: Body): Promise<UpstreamError> {
    const text = await readText(body);
    try {
      const {code} = JSON.parse(text) as {code?: unknown};
      return {kind: 'refused', upstream: this.id, code: String(code)};
    } catch {
      return {kind: 'malformed', upstream: this.id};
    }
  }
}

async function readText(body: Body): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Yields the tokens of a stream of events. Throws a SyntaxError if an event is
 * not JSON or too long.
 */
async function* readEvents(
  body: Body,
): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
  const parsed: DecodedToken[] = [];
  const parser = createParser({
    maxBufferSize: maximumEventCharacters,
    onEvent: event => parsed.push(JSON.parse(event.data) as DecodedToken),
    onError: ({type, message}) => {
      if (type === 'max-buffer-size-exceeded') throw new SyntaxError(message);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, {stream: true}));
    for (const token of parsed.splice(0)) yield Result.ok(token);
  }
}

/** Keeps one client per upstream name and address. */
export class HttpEngineDirectory implements EngineDirectory {
  private readonly engines = new Map<string, HttpEngine>();

  constructor(private readonly timeoutMilliseconds: number) {}

  engineOf(upstream: Upstream): HttpEngine {
    const key = `${upstream.name} ${upstream.spec.address}`;
    const existing = this.engines.get(key);
    if (existing !== undefined) return existing;
    const engine = new HttpEngine(
      upstreamId(upstream.name),
      upstream.spec.address,
      this.timeoutMilliseconds,
    );
    this.engines.set(key, engine);
    return engine;
  }

  async close(): Promise<void> {
    await Promise.all([...this.engines.values()].map(engine => engine.close()));
  }
}
