/** Carries passed-through calls to upstreams over HTTP. */

import {upstreamId} from '@persimmonwick/coordination';
import type {
  AdmittedCall,
  CacheSource,
  Header,
  PassthroughAnswer,
  PassthroughError,
  PassthroughTransport,
  AttemptOptions,
  TransportResult,
  UpstreamDocument,
  UpstreamId,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {AnswerBody} from './answer-body.js';
import {canConnect} from './can-connect.js';
import {connectMilliseconds} from './upstream-connections.js';
import type {
  UpstreamConnection,
  UpstreamConnections,
} from './upstream-connections.js';
import type {
  ResponseKind,
  EngineRequest,
  UpstreamWireFormat,
} from './wire-format.js';

type ErrorKind = PassthroughError['kind'];
type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Reservations and releases are answered from memory. */
const engineRequestMilliseconds = 400;

/** Headers that concern one connection only. */
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

/** One request on one connection. */
interface Exchange {
  readonly upstream: UpstreamId;
  readonly connection: UpstreamConnection;
  readonly request: Dispatcher.DispatchOptions;
  readonly silenceMilliseconds: number;
  readonly bodySilenceMilliseconds: number;
  readonly signal: AbortSignal;
  /** What the head says; `foreign` breaks the connection. */
  readonly kindOf: (status: number, headers: AnswerHeaders) => ResponseKind;
}

export class HttpPassthroughTransport implements PassthroughTransport {
  constructor(
    private readonly connections: UpstreamConnections,
    private readonly wire: UpstreamWireFormat,
  ) {}

  send(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<PassthroughAnswer> {
    const headers = this.wire.callHeaders(upstream, call, options);
    return this.passOn(upstream, call, headers, options, signal);
  }

  async prefill(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<string> {
    const headers = this.wire.prefillHeaders(upstream, call, options);
    const answer = await this.passOn(upstream, call, headers, options, signal);
    return this.readText(upstream, answer, body =>
      this.wire.parseCacheHandle(body),
    );
  }

  async releaseCache({upstream, handle}: CacheSource): TransportResult<void> {
    return this.tell(upstream, this.wire.cacheReleaseRequest(handle));
  }

  async reserve(
    upstream: UpstreamDocument,
    tokens: number,
    lifetimeMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<string> {
    const answer = await this.ask(
      upstream,
      this.wire.reservationRequest(upstream, tokens, lifetimeMilliseconds),
      signal,
    );
    return this.readText(upstream, answer, body =>
      this.wire.parseReservationId(body),
    );
  }

  probe(upstream: UpstreamDocument, signal: AbortSignal): Promise<boolean> {
    return canConnect(upstream.spec.address, connectMilliseconds, signal);
  }

  async releaseReservation(
    upstream: UpstreamDocument,
    reservation: string,
  ): TransportResult<void> {
    const request = this.wire.reservationReleaseRequest(reservation);
    return this.tell(upstream, request);
  }

  private passOn(
    upstream: UpstreamDocument,
    call: AdmittedCall,
    headers: readonly Header[],
    options: AttemptOptions,
    signal: AbortSignal,
  ): TransportResult<PassthroughAnswer> {
    const {
      headersTimeoutMilliseconds: silenceMilliseconds,
      needsNewConnection,
    } = options;
    const {
      bodyIdleTimeoutMilliseconds:
        bodySilenceMilliseconds = options.remainingMilliseconds,
    } = options;
    return exchange({
      upstream: upstreamId(upstream.name),
      connection: this.connections.take(
        upstream.spec.address,
        needsNewConnection,
      ),
      request: {
        method: call.method as Dispatcher.HttpMethod,
        path: call.target,
        headers: headers.flat(),
        body: call.body.length > 0 ? Buffer.from(call.body) : null,
      },
      silenceMilliseconds,
      bodySilenceMilliseconds,
      signal,
      kindOf: (status, found) =>
        this.wire.classifyResponse(call, status, found),
    });
  }

  private ask(
    upstream: UpstreamDocument,
    {method, path, headers, body}: EngineRequest,
    signal: AbortSignal,
  ): TransportResult<PassthroughAnswer> {
    return exchange({
      upstream: upstreamId(upstream.name),
      connection: this.connections.take(upstream.spec.address, false),
      request: {method, path, headers: headers.flat(), body: body ?? null},
      silenceMilliseconds: engineRequestMilliseconds,
      bodySilenceMilliseconds: engineRequestMilliseconds,
      signal,
      kindOf: kindOfEngineAnswer,
    });
  }

  private async tell(
    upstream: UpstreamDocument,
    request: EngineRequest,
  ): TransportResult<void> {
    const {signal} = new AbortController();
    const answer = await this.ask(upstream, request, signal);
    const text = await this.readText(upstream, answer, body => body);
    return text.map(() => undefined);
  }

  /** Reads a small body whole and takes its value out of it. */
  private async readText<Value>(
    upstream: UpstreamDocument,
    answer: Awaited<TransportResult<PassthroughAnswer>>,
    valueOf: (body: string) => Value | undefined,
  ): TransportResult<Value> {
    if (answer.isErr) return Result.err(answer.error);
    const id = upstreamId(upstream.name);
    const chunks: Uint8Array[] = [];
    try {
      for await (const chunk of answer.value.body) chunks.push(chunk);
    } catch {
      return Result.err({kind: 'broken', upstream: id});
    }
    const value = valueOf(Buffer.concat(chunks).toString('utf8'));
    return value === undefined
      ? Result.err({kind: 'broken', upstream: id})
      : Result.ok(value);
  }
}

function kindOfEngineAnswer(status: number): ResponseKind {
  if (status === 421) return 'misdirected';
  return status >= 200 && status < 300 ? 'ran' : 'refused';
}

/** Sends one request and resolves with the head of its answer. */
function exchange(parts: Exchange): TransportResult<PassthroughAnswer> {
  const {upstream, connection, request, signal, silenceMilliseconds} = parts;
  return new Promise(resolve => {
    let wasSent = false;
    let body: AnswerBody | undefined;
    let isSettled = false;
    const settle = (result: Result<PassthroughAnswer, PassthroughError>) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const end = (kind: ErrorKind) => {
      signal.removeEventListener('abort', onAbort);
      clearTimeout(connecting);
      settle(Result.err({kind, upstream}));
      body?.fail(reasonOf(kind));
      connection.drop();
    };
    const onAbort = () => end(wasSent ? 'cancelled' : 'unreachable');
    const timer = setTimeout(
      () => end(wasSent ? 'silent' : 'unreachable'),
      Math.max(0, silenceMilliseconds),
    );
    // The HTTP client's own limit comes up to half a second late.
    const connecting = setTimeout(
      () => end('unreachable'),
      Math.min(connectMilliseconds, Math.max(0, silenceMilliseconds)),
    );
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort);
    connection.client.dispatch(request, {
      onRequestStart() {
        wasSent = true;
        clearTimeout(connecting);
      },
      onResponseStart(controller, status, headers) {
        // An informational answer comes before the real one.
        if (status < 200 || isSettled) return;
        const kind = parts.kindOf(status, headers);
        if (kind === 'foreign') {
          end('broken');
          return;
        }
        body = new AnswerBody({
          upstream,
          pause: () => controller.pause(),
          resume: () => controller.resume(),
          cancel: () => end('cancelled'),
          silenceMilliseconds: parts.bodySilenceMilliseconds,
        });
        if (kind === 'ran')
          settle(Result.ok({status, headers: headersOf(controller), body}));
        else settle(Result.err({kind, upstream}));
      },
      onResponseData(_controller, chunk) {
        body?.push(chunk);
      },
      onResponseEnd() {
        if (connection.hasSocketFailed()) {
          end('broken');
          return;
        }
        signal.removeEventListener('abort', onAbort);
        connection.keep();
        body?.finish();
      },
      onResponseError() {
        end(wasSent ? 'broken' : 'unreachable');
      },
    });
  });
}

function reasonOf(kind: ErrorKind): 'broken' | 'silent' | 'cancelled' {
  return kind === 'cancelled' || kind === 'silent' ? kind : 'broken';
}

/** Headers as the upstream wrote them, without those of its connection. */
function headersOf(controller: Dispatcher.DispatchController): Header[] {
  const raw = (controller as {rawHeaders?: Buffer[] | null}).rawHeaders ?? [];
  const headers: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toString('latin1');
    if (hopByHopHeaders.has(name.toLowerCase())) continue;
    headers.push([name, raw[index + 1]!.toString('latin1')]);
  }
  return headers;
}
