/** Sends passed-through calls to upstreams over HTTP. */

import {isHostAddress, upstreamId} from '@persimmonwick/coordination';
import type {
  RoutedCall,
  CacheSource,
  GrantedReservation,
  Header,
  PassthroughError,
  PassthroughResponse,
  PassthroughTransport,
  ResponseMemory,
  SendGate,
  AttemptOptions,
  TransportResult,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {smallBodyLimits} from '../connections/body-limits.js';
import type {BodyLimits} from '../connections/body-limits.js';
import {sendRequest} from '../connections/exchange.js';
import type {ResponseHeaders} from '../connections/exchange.js';
import {connectTimeoutMilliseconds} from '../connections/upstream-connections.js';
import type {UpstreamConnections} from '../connections/upstream-connections.js';
import {canConnect} from './can-connect.js';
import type {
  EngineRequest,
  UpstreamNotice,
  UpstreamWireFormat,
} from './wire-format.js';

/** Timeout of reservations and releases, which engines answer from RAM. */
const engineRequestTimeoutMilliseconds = 400;

const engineRequestOptions = {
  timeoutMilliseconds: engineRequestTimeoutMilliseconds,
  needsNewConnection: false,
};

/** What an upstream grants in an answer. */
export type GrantKind = 'reservation' | 'cache-handle';

/** Receives what responses say beside their answer. */
export interface UpstreamReports {
  /** Receives what an upstream says about itself. */
  readonly onNotice: (
    upstream: UpstreamDocument,
    notice: UpstreamNotice,
  ) => void;
  /**
   * Called for a grant whose id can't be read. It can't be used or released, and
   * lapses at the upstream.
   */
  readonly onUnreadable: (upstream: UpstreamDocument, grant: GrantKind) => void;
}

export class HttpPassthroughTransport implements PassthroughTransport {
  constructor(
    private readonly connections: UpstreamConnections,
    private readonly wireFormat: UpstreamWireFormat,
    private readonly reports: UpstreamReports,
    private readonly sendGate: Pick<SendGate, 'refusalOf'>,
    private readonly memory?: ResponseMemory,
  ) {}

  send(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<PassthroughResponse> {
    const headers = this.wireFormat.callHeaders(upstream, call, options);
    // The relay of events decides how long a stream may take.
    const limits =
      call.generation === undefined
        ? {
            maximumBytes: Infinity,
            timeoutMilliseconds: options.remainingMilliseconds,
          }
        : undefined;
    return this.sendCall(upstream, call, headers, options, signal, limits);
  }

  async prefill(
    upstream: UpstreamDocument,
    call: RoutedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<string> {
    const headers = this.wireFormat.prefillHeaders(upstream, call, options);
    const response = await this.sendCall(
      upstream,
      call,
      headers,
      options,
      signal,
      smallBodyLimits(options.headersTimeoutMilliseconds),
    );
    return this.parseGrant('cache-handle', upstream, response, body =>
      this.wireFormat.parseCacheHandle(body),
    );
  }

  async releaseCache({upstream, handle}: CacheSource): TransportResult<void> {
    return this.sendAndDiscardResponse(
      upstream,
      this.wireFormat.cacheReleaseRequest(handle),
    );
  }

  async reserve(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<GrantedReservation> {
    const response = await this.sendEngineRequest(
      upstream,
      this.wireFormat.reservationRequest(
        upstream,
        tokens,
        lifetimeMilliseconds,
      ),
      signal,
    );
    return this.parseGrant('reservation', upstream, response, body =>
      this.wireFormat.parseReservation(body),
    );
  }

  probe(upstream: UpstreamDocument, signal: AbortSignal): Promise<boolean> {
    return canConnect(
      upstream.spec.address,
      connectTimeoutMilliseconds,
      signal,
    );
  }

  async exchange(
    upstream: UpstreamDocument,
    path: string,
    timeoutMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const response = await this.sendEngineRequest(
      upstream,
      {method: 'GET', path, headers: []},
      signal,
      {timeoutMilliseconds, needsNewConnection: true},
    );
    if (response.isErr) {
      const {kind} = response.error;
      return kind === 'refused' || kind === 'misdirected';
    }
    // The head is the answer; the body is read to reuse the connection.
    void this.readBody(upstream, response);
    return true;
  }

  async releaseReservation(
    upstream: UpstreamDocument,
    reservationId: string,
  ): TransportResult<void> {
    const request = this.wireFormat.reservationReleaseRequest(reservationId);
    return this.sendAndDiscardResponse(upstream, request);
  }

  private sendCall(
    upstream: UpstreamDocument,
    call: RoutedCall,
    headers: readonly Header[],
    options: AttemptOptions,
    signal: AbortSignal,
    bodyLimits: BodyLimits | undefined,
  ): TransportResult<PassthroughResponse> {
    const {headersTimeoutMilliseconds, needsNewConnection} = options;
    if (!isHostAddress(upstream.spec.address))
      return Promise.resolve(unreachable(upstream));
    return sendRequest({
      upstream: upstreamId(upstream.name),
      connection: this.connections.acquire(
        upstream.spec.address,
        needsNewConnection,
      ),
      request: {
        method: call.method as Dispatcher.HttpMethod,
        path: call.target,
        headers: headers.flat(),
        body: call.body.length > 0 ? Buffer.from(call.body) : null,
      },
      headersTimeoutMilliseconds,
      bodyIdleTimeoutMilliseconds: options.remainingMilliseconds,
      bodyLimits: () => bodyLimits,
      signal,
      ...(this.memory !== undefined && {memory: this.memory}),
      classify: (status, responseHeaders) =>
        this.wireFormat.classifyResponse(call, status, responseHeaders),
      refusalBeforeSend: () => this.sendGate.refusalOf(call, upstream),
      onHead: (status, responseHeaders) =>
        this.readNotice(upstream, status, responseHeaders),
    });
  }

  private sendEngineRequest(
    upstream: UpstreamDocument,
    {method, path, headers, body}: EngineRequest,
    signal: AbortSignal,
    {timeoutMilliseconds, needsNewConnection} = engineRequestOptions,
  ): TransportResult<PassthroughResponse> {
    if (!isHostAddress(upstream.spec.address))
      return Promise.resolve(unreachable(upstream));
    return sendRequest({
      upstream: upstreamId(upstream.name),
      connection: this.connections.acquire(
        upstream.spec.address,
        needsNewConnection,
      ),
      request: {method, path, headers: headers.flat(), body: body ?? null},
      headersTimeoutMilliseconds: timeoutMilliseconds,
      bodyIdleTimeoutMilliseconds: engineRequestTimeoutMilliseconds,
      bodyLimits: () => smallBodyLimits(engineRequestTimeoutMilliseconds),
      signal,
      classify: (status, responseHeaders) =>
        this.wireFormat.classifyEngineResponse(status, responseHeaders),
      onHead: (status, responseHeaders) =>
        this.readNotice(upstream, status, responseHeaders),
    });
  }

  private readNotice(
    upstream: UpstreamDocument,
    status: number,
    headers: ResponseHeaders,
  ): void {
    this.reports.onNotice(
      upstream,
      this.wireFormat.parseNotice(status, headers),
    );
  }

  /** Sends a request whose response has no value. */
  private async sendAndDiscardResponse(
    upstream: UpstreamDocument,
    request: EngineRequest,
  ): TransportResult<void> {
    const {signal: neverAborted} = new AbortController();
    const response = await this.sendEngineRequest(
      upstream,
      request,
      neverAborted,
    );
    const text = await this.readBody(upstream, response);
    return text.map(() => undefined);
  }

  /** Extracts what an upstream grants from its response. */
  private async parseGrant<Value>(
    kind: GrantKind,
    upstream: UpstreamDocument,
    response: Awaited<TransportResult<PassthroughResponse>>,
    parse: (body: string) => Value | undefined,
  ): TransportResult<Value> {
    const body = await this.readBody(upstream, response);
    if (body.isErr) return Result.err(body.error);
    const value = parse(body.value);
    if (value !== undefined) return Result.ok(value);
    this.reports.onUnreadable(upstream, kind);
    return Result.err({kind: 'broken', upstream: upstreamId(upstream.name)});
  }

  /** Reads a small response body. */
  private async readBody(
    {name}: UpstreamDocument,
    response: Awaited<TransportResult<PassthroughResponse>>,
  ): TransportResult<string> {
    if (response.isErr) return Result.err(response.error);
    const chunks: Uint8Array[] = [];
    try {
      for await (const chunk of response.value.body) chunks.push(chunk);
    } catch {
      return Result.err({kind: 'broken', upstream: upstreamId(name)});
    }
    return Result.ok(Buffer.concat(chunks).toString('utf8'));
  }
}

/** Nothing can be sent to an upstream whose address is none. */
function unreachable({
  name,
}: UpstreamDocument): Result<PassthroughResponse, PassthroughError> {
  return Result.err({kind: 'unreachable', upstream: upstreamId(name)});
}
