/** HTTP server that accepts the calls to pass through. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {once} from 'node:events';
import {
  InterruptedResponseError,
  httpStatusOf,
} from '@persimmonwick/coordination';
import type {
  Clock,
  IncomingCall,
  PassthroughResponse,
  PassthroughHost,
  RequestFailure,
} from '@persimmonwick/coordination';
import {fastify} from 'fastify';
import type {FastifyInstance, FastifyServerOptions} from 'fastify';
import {Result} from 'true-myth';
import {failureBody} from '../callers/failure-reply.js';
import {handoverDeclinedHeader} from './http-handover-transport.js';
import type {EarlyListener} from './early-listener.js';
import type {CallerWireFormat} from './wire-format.js';

/** Limits on the size and timing of what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly keepAliveTimeoutMilliseconds: number;
}

/** Outcome of a finished call, for logs and metrics. */
export interface CallSummary {
  readonly requestId: string;
  readonly account: string;
  readonly route: string;
  readonly status: number;
  readonly durationMilliseconds: number;
  readonly failure: RequestFailure | undefined;
  /** True for a call that generates tokens, as opposed to a service call. */
  readonly isGeneration: boolean;
}

export interface PassthroughServerParts {
  readonly clock: Clock;
  readonly host: PassthroughHost;
  readonly wireFormat: CallerWireFormat;
  readonly limits: () => CallerLimits;
  /** Returns whether a known host has this IP address. */
  readonly isPeer: (ipAddress: string) => boolean;
  /** Receives the id of each call that the host at `address` has handed over. */
  readonly onTakenOver: (requestId: string, address: string) => void;
  readonly onEnd: (summary: CallSummary) => void;
  /** Receives an unexpected error, which ends only the call that met it. */
  readonly onInternalError: (requestId: string, error: unknown) => void;
}

/** Node rejects larger headers before the configured limit is checked. */
const parserHeaderLimitBytes = 128 * 1024;
const timeoutCheckIntervalMilliseconds = 500;
const serviceUnavailableStatus = 503;
/** Logged status of a call whose caller disconnected. */
const clientClosedRequestStatus = 499;

export class PassthroughServer {
  private readonly instance: FastifyInstance;
  private readonly sockets = new Set<Socket>();
  /** Connections of other hosts that hand calls over. */
  private readonly peerSockets = new WeakSet<Socket>();
  private readonly idleController = new AbortController();
  private isDraining = false;
  inFlight = 0;

  constructor(private readonly parts: PassthroughServerParts) {
    this.instance = fastify({
      schemaController: schemalessController,
      // One handler serves every URL; the host looks up the route.
      rewriteUrl: () => '/',
      http: {
        maxHeaderSize: parserHeaderLimitBytes,
        connectionsCheckingInterval: timeoutCheckIntervalMilliseconds,
      },
    });
    this.instance.addHook('onRequest', (request, reply) => {
      reply.hijack();
      void this.handle(request.raw, request.originalUrl, reply.raw);
    });
    this.instance.all('/', () => undefined);
    this.instance.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.applyLimits();
  }

  /** Takes over the port of `listener`; resolves with the bound address. */
  async serve(listener: EarlyListener): Promise<string> {
    await this.instance.ready();
    return listener.handOver(this.instance.server as Server);
  }

  /** Serves a connection on which another host hands calls over. */
  servePeer(socket: Socket): void {
    this.peerSockets.add(socket);
    this.instance.server.emit('connection', socket);
  }

  /** Applies the current limits to the HTTP server. */
  applyLimits(): void {
    const {headersTimeoutMilliseconds, keepAliveTimeoutMilliseconds} =
      this.parts.limits();
    const server = this.instance.server as Server;
    server.headersTimeout = headersTimeoutMilliseconds;
    // 0 disables Node's limit on the time to receive a whole request.
    server.requestTimeout = 0;
    server.keepAliveTimeout = keepAliveTimeoutMilliseconds;
  }

  /** Makes every response from now on close its connection. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Stops accepting connections and closes the idle ones. */
  stopListening(): void {
    this.instance.server.close();
    this.instance.server.closeIdleConnections();
    if (this.inFlight === 0) this.idleController.abort();
  }

  /**
   * Waits until no call is in flight or the timeout passes; returns how many
   * calls remain. `stopListening` must be called first.
   */
  async waitUntilIdle(timeoutMilliseconds: number): Promise<number> {
    const {signal} = this.idleController;
    if (!signal.aborted)
      await this.parts.clock.sleep(timeoutMilliseconds, signal);
    return this.inFlight;
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.instance.close();
  }

  private async handle(
    request: IncomingMessage,
    target: string,
    response: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    const {socket} = request;
    const context: CallContext = {
      requestId: '',
      account: '',
      route: '',
      arrivedAt: this.parts.clock.now(),
      isGeneration: false,
    };
    try {
      await this.processCall(request, target, response, context);
    } catch (error) {
      this.endAfterInternalError(request, response, context, error);
    } finally {
      // A response that started before draining had no `Connection: close`
      // header, and another call on its connection might not finish in time.
      if (this.isDraining && !socket.destroyed) socket.end();
      this.inFlight -= 1;
      if (
        this.isDraining &&
        this.inFlight === 0 &&
        !this.instance.server.listening
      )
        this.idleController.abort();
    }
  }

  private async processCall(
    request: IncomingMessage,
    target: string,
    response: ServerResponse,
    context: CallContext,
  ): Promise<void> {
    const {wireFormat, host} = this.parts;
    const disconnected = new AbortController();
    response.once('close', () => disconnected.abort());
    const call = this.checkHeaderSize(request).andThen(() =>
      wireFormat.parseCall(
        {
          method: request.method ?? '',
          target,
          rawHeaders: request.rawHeaders,
        },
        context.arrivedAt,
      ),
    );
    if (call.isErr)
      return this.sendFailure(response, request, call.error, context);
    context.requestId = call.value.id;
    context.isGeneration = call.value.generation !== undefined;
    const isHandedOver = this.peerSockets.has(request.socket);
    if (isHandedOver) {
      const ipAddress = request.socket.remoteAddress ?? '';
      if (!this.parts.isPeer(ipAddress))
        return this.sendFailure(response, request, unknownPeer, context);
      this.parts.onTakenOver(call.value.id, ipAddress);
    }
    const routing = host.authorize(call.value);
    if (routing.isErr)
      return this.sendFailure(response, request, routing.error, context);
    context.account = routing.value.account ?? '';
    context.route = routing.value.route.name;
    const body = await this.readBody(request);
    if (body.isErr)
      return this.sendFailure(response, request, body.error, context);
    const upstreamResponse = await host.forward(
      {...call.value, isHandedOver},
      routing.value,
      body.value,
      disconnected.signal,
    );
    if (upstreamResponse.isErr)
      return this.sendFailure(
        response,
        request,
        upstreamResponse.error,
        context,
      );
    await this.streamResponse(
      call.value,
      upstreamResponse.value,
      response,
      disconnected.signal,
      context,
    );
  }

  /** Ends one call after an error that no other code handles. */
  private endAfterInternalError(
    request: IncomingMessage,
    response: ServerResponse,
    context: CallContext,
    error: unknown,
  ): void {
    this.parts.onInternalError(context.requestId, error);
    if (!response.headersSent)
      return this.sendFailure(response, request, internalFailure, context);
    response.destroy();
    this.reportEnd(context, response.statusCode, internalFailure);
  }

  private checkHeaderSize(
    request: IncomingMessage,
  ): Result<void, RequestFailure> {
    const {headerBytes} = this.parts.limits();
    const size = request.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      (request.url ?? '').length,
    );
    if (size <= headerBytes) return Result.ok(undefined);
    return Result.err({
      code: 'headers-too-large',
      message: `the request line and headers exceed ${headerBytes} bytes`,
      ran: 'not-run',
    });
  }

  private async readBody(
    request: IncomingMessage,
  ): Promise<Result<Uint8Array, RequestFailure>> {
    const {bodyBytes} = this.parts.limits();
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > bodyBytes)
          return Result.err({
            code: 'body-too-large',
            message: `the body exceeds ${bodyBytes} bytes`,
            ran: 'not-run',
          });
        chunks.push(chunk);
      }
    } catch {
      return Result.err({
        code: 'caller-gone',
        message: 'the caller disconnected while sending the body',
        ran: 'not-run',
      });
    }
    return Result.ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
  }

  /**
   * Streams the upstream's response to the caller. When the upstream fails
   * midway, the caller's connection is destroyed.
   */
  private async streamResponse(
    call: IncomingCall,
    upstreamResponse: PassthroughResponse,
    response: ServerResponse,
    disconnected: AbortSignal,
    context: CallContext,
  ): Promise<void> {
    if (this.isDraining) response.setHeader('Connection', 'close');
    for (const [name, value] of upstreamResponse.headers)
      response.appendHeader(name, value);
    response.writeHead(upstreamResponse.status);
    try {
      for await (const chunk of upstreamResponse.body) {
        if (response.destroyed) break;
        if (!response.write(chunk))
          await once(response, 'drain', {signal: disconnected}).catch(
            () => undefined,
          );
      }
    } catch (error) {
      if (!(error instanceof InterruptedResponseError)) throw error;
      // A truncated response must not look complete to the caller.
      response.destroy();
      this.reportEnd(
        context,
        statusOfBrokenResponse(disconnected, upstreamResponse.status),
        failureOfBrokenResponse(error, disconnected),
      );
      return;
    }
    response.end();
    const isComplete = !disconnected.aborted || response.writableFinished;
    this.reportEnd(
      context,
      isComplete ? upstreamResponse.status : clientClosedRequestStatus,
      isComplete ? undefined : callerDisconnectedFailure,
    );
  }

  private sendFailure(
    response: ServerResponse,
    request: IncomingMessage,
    failure: RequestFailure,
    context: CallContext,
  ): void {
    const status = httpStatusOf(failure.code);
    this.reportEnd(context, status, failure);
    if (response.destroyed) return;
    const text = JSON.stringify(failureBody(failure));
    for (const [name, value] of this.parts.wireFormat.failureHeaders(failure))
      response.setHeader(name, value);
    if (this.peerSockets.has(request.socket) && isDeclined(failure))
      response.setHeader(handoverDeclinedHeader, failure.code);
    // A host that is not ready closes the connection, because the caller can
    // reach another host with a new one. A connection with an unread request
    // body cannot be reused.
    const isNotReady =
      status === serviceUnavailableStatus && failure.code === 'not-ready';
    if (this.isDraining || isNotReady || !request.complete)
      response.setHeader('Connection', 'close');
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private reportEnd(
    {requestId, account, route, arrivedAt, isGeneration}: CallContext,
    status: number,
    failure: RequestFailure | undefined,
  ): void {
    const durationMilliseconds = this.parts.clock.now() - arrivedAt;
    this.parts.onEnd({
      requestId,
      account,
      route,
      status,
      durationMilliseconds,
      failure,
      isGeneration,
    });
  }
}

/**
 * Returns whether another host may handle the call instead. One that an upstream
 * has received is not passed on, because the host that handed it over takes a
 * declined one for unsent.
 */
function isDeclined({code, ran, wasSent = false}: RequestFailure): boolean {
  return (
    ran === 'not-run' &&
    !wasSent &&
    (code === 'no-upstream' || code === 'not-ready')
  );
}

/** Only hosts may hand calls over; a host that has just started knows none. */
const unknownPeer: RequestFailure = {
  code: 'not-ready',
  message: 'the host that handed the call over is not known here',
  ran: 'not-run',
};

/** Stub compilers: no route has a schema, and loading the real ones is slow. */
const schemalessController = {
  compilersFactory: {
    buildValidator: () => () => () => true,
    buildSerializer: () => () => () => '',
  },
  // Fastify's types accept only the compilers of its own packages.
} as unknown as FastifyServerOptions['schemaController'];

/** What is known of a call so far. */
interface CallContext {
  requestId: string;
  account: string;
  route: string;
  /** Clock time in milliseconds. */
  readonly arrivedAt: number;
  isGeneration: boolean;
}

const internalFailure: RequestFailure = {
  code: 'internal',
  message: 'the host met an unexpected error; the call may have run',
  ran: 'unknown',
};

const callerDisconnectedFailure: RequestFailure = {
  code: 'caller-gone',
  message: 'the caller disconnected before the response was complete',
  ran: 'unknown',
};

function statusOfBrokenResponse(
  disconnected: AbortSignal,
  status: number,
): number {
  return disconnected.aborted ? clientClosedRequestStatus : status;
}

function failureOfBrokenResponse(
  error: InterruptedResponseError,
  disconnected: AbortSignal,
): RequestFailure {
  if (disconnected.aborted) return callerDisconnectedFailure;
  return {code: 'upstream-failed', message: error.message, ran: 'ran'};
}
