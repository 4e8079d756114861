/** The HTTP adapter of the engine interface. */

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
import {errorOfHttp} from './http-error.js';

const connections = 256;
const okStatus = 200;

/** An engine at an address. */
export class HttpEngine implements Engine {
  readonly id: UpstreamId;
  private readonly pool: Pool;

  constructor(
    id: UpstreamId,
    readonly address: string,
    silenceMilliseconds: number,
  ) {
    this.id = id;
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      bodyTimeout: silenceMilliseconds,
      headersTimeout: 0,
    });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  load: Engine['load'] = signal => this.get<LoadReport>('/load', signal);

  prefill: Engine['prefill'] = (request, signal) =>
    this.post<PrefillResult>('/prefill', request, signal);

  importCache: Engine['importCache'] = async (request, signal) => {
    const answer = await this.post('/kv/import', request, signal);
    return answer.map(() => undefined);
  };

  cancel: Engine['cancel'] = async (attempt, signal) => {
    const answer = await this.post('/cancel', attempt, signal);
    return answer.map(() => undefined);
  };

  running: Engine['running'] = async signal => {
    const answer = await this.get<{running: RunningAttempt[]}>(
      '/running',
      signal,
    );
    return answer.map(({running}) => running);
  };

  cacheEvents: Engine['cacheEvents'] = (afterSequence, signal) =>
    this.get<CacheEventPage>(`/cache-events?after=${afterSequence}`, signal);

  order: Engine['order'] = async (order, fencingNumber, signal) => {
    const body = {order, fencingNumber: fencingNumber.toString()};
    const answer = await this.post('/orders', body, signal);
    return answer.map(() => undefined);
  };

  async *decode(
    request: DecodeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    try {
      const answer = await this.send('POST', '/decode', request, signal);
      if (answer.statusCode !== okStatus) {
        yield Result.err(await this.refusalOf(answer));
        return;
      }
      const parsed: DecodedToken[] = [];
      const parser = createParser({
        onEvent: event => parsed.push(JSON.parse(event.data) as DecodedToken),
      });
      const decoder = new TextDecoder();
      for await (const chunk of answer.body) {
        parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
        for (const token of parsed.splice(0)) yield Result.ok(token);
      }
    } catch (error) {
      yield Result.err(errorOfHttp(error, this.id, signal));
    }
  }

  private get<Answer>(path: string, signal: AbortSignal) {
    return this.call<Answer>('GET', path, undefined, signal);
  }

  private post<Answer>(path: string, body: object, signal: AbortSignal) {
    return this.call<Answer>('POST', path, body, signal);
  }

  private async call<Answer>(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<Result<Answer, UpstreamError>> {
    try {
      const answer = await this.send(method, path, body, signal);
      if (answer.statusCode !== okStatus)
        return Result.err(await this.refusalOf(answer));
      return Result.ok((await answer.body.json()) as Answer);
    } catch (error) {
      return Result.err(errorOfHttp(error, this.id, signal));
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

  private async refusalOf(
    answer: Dispatcher.ResponseData,
  ): Promise<UpstreamError> {
    const text = await answer.body.text();
    try {
      const {code} = JSON.parse(text) as {code?: unknown};
      return {kind: 'refused', upstream: this.id, code: String(code)};
    } catch {
      return {kind: 'malformed', upstream: this.id};
    }
  }
}

/** Keeps one adapter for each upstream address. */
export class HttpEngineDirectory implements EngineDirectory {
  private readonly engines = new Map<string, HttpEngine>();

  constructor(private readonly silenceMilliseconds: number) {}

  engineOf(upstream: Upstream): HttpEngine {
    const key = `${upstream.name} ${upstream.spec.address}`;
    const known = this.engines.get(key);
    if (known !== undefined) return known;
    const engine = new HttpEngine(
      upstreamId(upstream.name),
      upstream.spec.address,
      this.silenceMilliseconds,
    );
    this.engines.set(key, engine);
    return engine;
  }

  async close(): Promise<void> {
    await Promise.all([...this.engines.values()].map(engine => engine.close()));
  }
}
