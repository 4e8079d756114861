/** One request to an upstream and its response, on one connection. */

import type {
  Header,
  PassthroughError,
  PassthroughResponse,
  ResponseMemory,
  SendRefusal,
  TransportResult,
  UpstreamId,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {Dispatcher} from 'undici';
import {remainingLimits, smallBodyLimits} from './body-limits.js';
import type {BodyLimits} from './body-limits.js';
import {PauseAwareTimeout} from './pause-aware-timeout.js';
import {ResponseBody} from './response-body.js';
import type {UpstreamConnection} from './upstream-connections.js';

type ErrorKind = Exclude<PassthroughError['kind'], 'withheld'>;

export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Timeout of the body of a response that nobody reads. */
const unreadBodyTimeoutMilliseconds = 400;

/** Classification of a response by its head. */
export type ResponseKind =
  /** The upstream executed the call; this is its response. */
  | 'ran'
  /** The upstream did not execute the call and never will. */
  | 'refused'
  /** Another process has the address; it did not execute the call. */
  | 'misdirected'
  /**
   * The response belongs to another call or can't be passed on. The connection
   * is closed.
   */
  | 'foreign';

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
export interface Exchange {
  readonly upstream: UpstreamId;
  readonly connection: UpstreamConnection;
  readonly request: Dispatcher.DispatchOptions;
  readonly headersTimeoutMilliseconds: number;
  readonly bodyIdleTimeoutMilliseconds: number;
  /**
   * Limits of the body of a response with `status`, whose time starts with the
   * request; none if undefined.
   */
  readonly bodyLimits: (status: number) => BodyLimits | undefined;
  readonly signal: AbortSignal;
  /** Counts the bytes held for the response to a call until `signal` is aborted. */
  readonly memory?: ResponseMemory;
  /** Classifies the response head; `foreign` closes the connection. */
  readonly classify: (status: number, headers: ResponseHeaders) => ResponseKind;
  /** Asked right before the request is written, which a reason prevents. */
  readonly refusalBeforeSend?: () => SendRefusal | undefined;
  /** Receives the head of each final response to this request. */
  readonly onHead?: (status: number, headers: ResponseHeaders) => void;
}

/** Sends one request and resolves once the head of its response has arrived. */
export function sendRequest(
  exchange: Exchange,
): TransportResult<PassthroughResponse> {
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
        connection.connectTimeoutMilliseconds,
        Math.max(0, headersTimeoutMilliseconds),
      ),
      () => fail('unreachable'),
    );
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort);
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(controller) {
        connectTimeout.clear();
        const refusal = exchange.refusalBeforeSend?.();
        wasSent = refusal === undefined;
        if (refusal === undefined) return;
        settle(Result.err({kind: 'withheld', upstream, reason: refusal}));
        // Calls `onResponseError`.
        controller.abort(new Error(`not sent: ${refusal}`));
      },
      onResponseStart(controller, status, headers) {
        // Informational (1xx) responses precede the final one.
        if (status < 200 || isSettled) return;
        connection.recordHead();
        const kind = exchange.classify(status, headers);
        if (kind === 'foreign') {
          fail('broken');
          return;
        }
        // A misdirected request was answered by another process.
        if (kind !== 'misdirected') exchange.onHead?.(status, headers);
        const held =
          kind === 'ran'
            ? exchange.memory?.open(upstream, signal, () => fail('broken'))
            : undefined;
        body = new ResponseBody({
          upstream,
          pause: () => connection.pauseReading(),
          resume: () => connection.resumeReading(),
          cancel: () => fail('cancelled'),
          idleTimeoutMilliseconds: exchange.bodyIdleTimeoutMilliseconds,
          limits: bodyLimitsOf(exchange, kind, status, startedAt),
          held,
        });
        if (kind === 'ran')
          settle(
            Result.ok({
              status,
              headers: endToEndHeaders(controller),
              body,
              held,
            }),
          );
        else settle(Result.err({kind, upstream}));
      },
      onResponseData(_controller, chunk) {
        connection.recordData(chunk.length);
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
    };
    try {
      connection.client.dispatch(request, handler);
    } catch {
      // A request that the HTTP client can't write says nothing about the upstream.
      const reason = 'unwritable-request';
      settle(Result.err({kind: 'withheld', upstream, reason}));
      fail('unreachable');
    }
  });
}

/**
 * Limits of the body of a response of `kind` from its head on. `startedAt` is the
 * time at which the request was sent.
 */
function bodyLimitsOf(
  {bodyLimits}: Exchange,
  kind: ResponseKind,
  status: number,
  startedAt: number,
): BodyLimits | undefined {
  // Nobody reads the body of a response that did not run the call.
  if (kind !== 'ran') return smallBodyLimits(unreadBodyTimeoutMilliseconds);
  const limits = bodyLimits(status);
  return limits && remainingLimits(limits, performance.now() - startedAt);
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
