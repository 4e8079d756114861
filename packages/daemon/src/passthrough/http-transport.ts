/** Sends passed-through calls to upstreams over HTTP. */

import {upstreamId} from '@persimmonwick/coordination';
import type {
  RoutedCall,
  CacheSource,
  Header,
  PassthroughResponse,
  PassthroughError,
  PassthroughTransport,
  AttemptOptions,
  TransportResult,
  UpstreamDocument,
  UpstreamId,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {remainingLimits, smallBodyLimits} from './body-limits.js';
import type {BodyLimits} from './body-limits.js';
import {PauseAwareTimeout} from './pause-aware-timeout.js';
import {ResponseBody} from './response-body.js';
import {canConnect} from './can-connect.js';
import {connectTimeoutMilliseconds} from './upstream-connections.js';
import type {
  UpstreamConnection,
  UpstreamConnections,
} from './upstream-connections.js';
import type {
  ResponseKind,
  EngineRequest,
  UpstreamNotice,
  UpstreamWireFormat,
} from './wire-format.js';

type ErrorKind = PassthroughError['kind'];
type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Timeout of reservations and releases, which engines answer from RAM. */
const engineRequestTimeoutMilliseconds = 400;

/** Headers that apply to a single connection and are not forwarded. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** One request on one connection, with its timeouts. */
interface Exchange {
  readonly upstream: UpstreamId;
  readonly connection: UpstreamConnection;
  readonly request: Dispatcher.DispatchOptions;
  readonly headersTimeoutMilliseconds: number;
  readonly bodyIdleTimeoutMilliseconds: number;
  /** Limits of the body, whose time starts with the request; none if undefined. */
  readonly bodyLimits: BodyLimits | undefined;
  readonly signal: AbortSignal;
  /** Classifies the response head; `foreign` closes the connection. */
  readonly classify: (status: number, headers: ResponseHeaders) => ResponseKind;
  /** Receives the head of each final response. */
  readonly onHead: (status: number, headers: ResponseHeaders) => void;
}

export class HttpPassthroughTransport implements PassthroughTransport {
  constructor(
    private readonly connections: UpstreamConnections,
    private readonly wireFormat: UpstreamWireFormat,
    /** Receives what an upstream says about itself in a response. */
    private readonly onNotice: (
      upstream: UpstreamDocument,
      notice: UpstreamNotice,
    ) => void,
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
    return this.parseBody(upstream, response, body =>
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
  ): TransportResult<string> {
    const response = await this.sendEngineRequest(
      upstream,
      this.wireFormat.reservationRequest(
        upstream,
        tokens,
        lifetimeMilliseconds,
      ),
      signal,
    );
    return this.parseBody(upstream, response, body =>
      this.wireFormat.parseReservationId(body),
    );
  }

  probe(upstream: UpstreamDocument, signal: AbortSignal): Promise<boolean> {
    return canConnect(
      upstream.spec.address,
      connectTimeoutMilliseconds,
      signal,
    );
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
      bodyLimits,
      signal,
      classify: (status, responseHeaders) =>
        this.wireFormat.classifyResponse(call, status, responseHeaders),
      onHead: (status, responseHeaders) =>
        this.readNotice(upstream, status, responseHeaders),
    });
  }

  private sendEngineRequest(
    upstream: UpstreamDocument,
    {method, path, headers, body}: EngineRequest,
    signal: AbortSignal,
  ): TransportResult<PassthroughResponse> {
    return sendRequest({
      upstream: upstreamId(upstream.name),
      connection: this.connections.acquire(upstream.spec.address, false),
      request: {method, path, headers: headers.flat(), body: body ?? null},
      headersTimeoutMilliseconds: engineRequestTimeoutMilliseconds,
      bodyIdleTimeoutMilliseconds: engineRequestTimeoutMilliseconds,
      bodyLimits: smallBodyLimits(engineRequestTimeoutMilliseconds),
      signal,
      classify: classifyEngineResponse,
      onHead: (status, responseHeaders) =>
        this.readNotice(upstream, status, responseHeaders),
    });
  }

  private readNotice(
    upstream: UpstreamDocument,
    status: number,
    headers: ResponseHeaders,
  ): void {
    const notice = this.wireFormat.parseNotice(status, headers);
    if (notice.isLeaving || notice.pauseMilliseconds !== undefined)
      this.onNotice(upstream, notice);
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
    const text = await this.parseBody(upstream, response, body => body);
    return text.map(() => undefined);
  }

  /** Reads a small response body and extracts its value with `parse`. */
  private async parseBody<Value>(
    upstream: UpstreamDocument,
    response: Awaited<TransportResult<PassthroughResponse>>,
    parse: (body: string) => Value | undefined,
  ): TransportResult<Value> {
    if (response.isErr) return Result.err(response.error);
    const id = upstreamId(upstream.name);
    const chunks: Uint8Array[] = [];
    try {
      for await (const chunk of response.value.body) chunks.push(chunk);
    } catch {
      return Result.err({kind: 'broken', upstream: id});
    }
    const value = parse(Buffer.concat(chunks).toString('utf8'));
    return value === undefined
      ? Result.err({kind: 'broken', upstream: id})
      : Result.ok(value);
  }
}

function classifyEngineResponse(status: number): ResponseKind {
  if (status === 421) return 'misdirected';
  return status >= 200 && status < 300 ? 'ran' : 'refused';
}

/** Sends one request and resolves once the head of its response has arrived. */
function sendRequest(exchange: Exchange): TransportResult<PassthroughResponse> {
  const {upstream, connection, request, signal, headersTimeoutMilliseconds} =
    exchange;
  const startedAt = performance.now();
  return new Promise(resolve => {
    let wasSent = false;
    let body: ResponseBody | undefined;
    let isSettled = false;
    const settle = (result: Result<PassthroughResponse, PassthroughError>) => {
      if (isSettled) return;
      isSettled = true;
      headersTimeout.clear();
      resolve(result);
    };
    const fail = (kind: ErrorKind) => {
      signal.removeEventListener('abort', onAbort);
      connectTimeout.clear();
      settle(Result.err({kind, upstream}));
      body?.fail(bodyFailureReason(kind));
      connection.destroy();
    };
    const onAbort = () => fail(wasSent ? 'cancelled' : 'unreachable');
    const headersTimeout = new PauseAwareTimeout(
      Math.max(0, headersTimeoutMilliseconds),
      () => fail(wasSent ? 'silent' : 'unreachable'),
    );
    // The HTTP client's own connect timeout fires up to 0.5 s late.
    const connectTimeout = new PauseAwareTimeout(
      Math.min(
        connectTimeoutMilliseconds,
        Math.max(0, headersTimeoutMilliseconds),
      ),
      () => fail('unreachable'),
    );
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort);
    connection.client.dispatch(request, {
      onRequestStart() {
        wasSent = true;
        connectTimeout.clear();
      },
      onResponseStart(controller, status, headers) {
        // Informational (1xx) responses precede the final one.
        if (status < 200 || isSettled) return;
        connection.recordProgress();
        const kind = exchange.classify(status, headers);
        // A misdirected request was answered by another process.
        if (kind !== 'misdirected') exchange.onHead(status, headers);
        if (kind === 'foreign') {
          fail('broken');
          return;
        }
        body = new ResponseBody({
          upstream,
          pause: () => connection.pauseReading(),
          resume: () => connection.resumeReading(),
          cancel: () => fail('cancelled'),
          idleTimeoutMilliseconds: exchange.bodyIdleTimeoutMilliseconds,
          limits: bodyLimitsOf(exchange, kind, startedAt),
        });
        if (kind === 'ran')
          settle(
            Result.ok({status, headers: endToEndHeaders(controller), body}),
          );
        else settle(Result.err({kind, upstream}));
      },
      onResponseData(_controller, chunk) {
        connection.recordProgress();
        body?.push(chunk);
      },
      onResponseEnd() {
        if (connection.hasSocketFailed()) {
          fail('broken');
          return;
        }
        signal.removeEventListener('abort', onAbort);
        connection.release();
        body?.finish();
      },
      onResponseError() {
        fail(wasSent ? 'broken' : 'unreachable');
      },
    });
  });
}

/**
 * Limits of the body of a response of `kind` from its head on. `startedAt` is the
 * time at which the request was sent.
 */
function bodyLimitsOf(
  {bodyLimits}: Exchange,
  kind: ResponseKind,
  startedAt: number,
): BodyLimits | undefined {
  // Nobody reads the body of a response that did not run the call.
  if (kind !== 'ran') return smallBodyLimits(engineRequestTimeoutMilliseconds);
  return (
    bodyLimits && remainingLimits(bodyLimits, performance.now() - startedAt)
  );
}

function bodyFailureReason(kind: ErrorKind): 'broken' | 'silent' | 'cancelled' {
  return kind === 'cancelled' || kind === 'silent' ? kind : 'broken';
}

/** Response headers as the upstream sent them, without hop-by-hop headers. */
function endToEndHeaders(controller: Dispatcher.DispatchController): Header[] {
  const raw = (controller as {rawHeaders?: Buffer[] | null}).rawHeaders ?? [];
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toString('latin1');
    if (hopByHopHeaders.has(name.toLowerCase())) continue;
    headers.push([name, raw[index + 1]!.toString('latin1')]);
  }
  return headers;
}
