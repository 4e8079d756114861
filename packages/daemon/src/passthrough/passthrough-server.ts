/** HTTP server that accepts the calls to pass through. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {once} from 'node:events';
import {
  InterruptedResponseError,
  cancellationFailureOf,
  hostStopping,
  httpStatusOf,
} from '@persimmonwick/coordination';
import type {
  CallRouting,
  Clock,
  Cancellation,
  IncomingCall,
  PassthroughResponse,
  PassthroughHost,
  ProcessorTime,
  RandomSource,
  RequestFailure,
  RequestMemory,
  ShutdownSchedule,
  TimedCall,
} from '@persimmonwick/coordination';
import {fastify} from 'fastify';
import type {FastifyInstance, FastifyServerOptions} from 'fastify';
import {Result} from 'true-myth';
import {CallIntake} from '../connections/call-intake.js';
import type {CallReadMetrics} from '../connections/call-read-metrics.js';
import type {EventLoopMonitor} from '../connections/event-loop-monitor.js';
import {failureBody} from '../callers/failure-reply.js';
import {summaryOf, newCallContext} from './call-context.js';
import type {CallContext, CallSummary, StopTiming} from './call-context.js';
import {CallerConnections} from './caller-connections.js';
import type {ConnectionEnd} from './connection-end.js';
import type {
  CallProgress,
  ConnectionLoss,
  UnreadInput,
} from './caller-connection.js';
import {handoverDeclinedHeader} from './http-handover-transport.js';
import {BodyReader} from './request-body.js';
import {
  endOfBrokenResponse,
  failureOfCutResponse,
  failureOfUnbegunResponse,
  internalFailure,
  isDeclined,
  statusOfCutResponse,
  unknownPeer,
} from './server-failures.js';
import type {EarlyListener} from './early-listener.js';
import type {CallerWireFormat} from './wire-format.js';

/** Limits on the size and timing of what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly keepAliveTimeoutMilliseconds: number;
}

export interface PassthroughServerParts {
  readonly clock: Clock;
  readonly host: PassthroughHost;
  readonly shutdown: ShutdownSchedule;
  readonly requestMemory: RequestMemory;
  readonly wireFormat: CallerWireFormat;
  readonly limits: () => CallerLimits;
  /** Returns whether a known host has this IP address. */
  readonly isPeer: (ipAddress: string) => boolean;
  /** Receives the id of each call that the host at `address` has handed over. */
  readonly onTakenOver: (requestId: string, address: string) => void;
  readonly monitor: EventLoopMonitor;
  readonly random: RandomSource;
  readonly processorTime: ProcessorTime;
  readonly reads: CallReadMetrics;
  readonly onEnd: (summary: CallSummary) => void;
  readonly onConnectionLoss: (loss: ConnectionLoss) => void;
  readonly onUnreadInput: (input: UnreadInput) => void;
  /** Receives an unexpected error, which ends only the call that met it. */
  readonly onInternalError: (requestId: string, error: unknown) => void;
}

/** Node rejects larger headers before the configured limit is checked. */
const parserHeaderLimitBytes = 128 * 1024;
const timeoutCheckIntervalMilliseconds = 500;
const serviceUnavailableStatus = 503;
/** Lowest status that reports a failure of the upstream. */
const firstServerErrorStatus = 500;

export class PassthroughServer {
  private readonly instance: FastifyInstance;
  private readonly connections: CallerConnections;
  private readonly intake: CallIntake;
  /** Aborted when their callers disconnect or the host gives them up. */
  private readonly activeCalls = new Set<AbortController>();
  private readonly forwardedCalls = new Map<string, CallContext>();
  /** Connections of other hosts that hand calls over. */
  private readonly peerSockets = new WeakSet<Socket>();
  private readonly idleController = new AbortController();
  private stoppingSince: number | undefined;
  inFlight = 0;

  constructor(private readonly parts: PassthroughServerParts) {
    this.connections = new CallerConnections(
      {
        clock: parts.clock,
        monitor: parts.monitor,
        onCallRead: unread => parts.reads.recordUnread(unread),
        stoppingSince: () => this.stoppingSince,
        onLoss: parts.onConnectionLoss,
        onUnread: parts.onUnreadInput,
      },
      () => this.reportIfIdle(),
    );
    this.intake = new CallIntake(parts);
    this.instance = fastify({
      schemaController: schemalessController,
      clientErrorHandler: (error, socket) =>
        this.connections.handleClientError(error, socket),
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
    this.connections.observe(this.instance.server as Server);
    this.applyLimits();
  }

  /** Has to resolve before `servePeer` is called. */
  async prepare(): Promise<void> {
    await this.instance.ready();
  }

  /** Takes over the port of `listener`; resolves with the bound address. */
  async serve(listener: EarlyListener): Promise<string> {
    await this.prepare();
    return listener.handOver(this.instance.server as Server);
  }

  /** Serves a connection on which another host hands calls over. */
  servePeer(accepted: Socket): void {
    const socket = this.connections.takeOver(accepted);
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

  /** Records that an upstream or another host may have received a call. */
  recordSend(requestId: string): void {
    const call = this.recordProgress(requestId, 'sent');
    if (call === undefined || call.sentAt !== Infinity) return;
    const {clock, shutdown} = this.parts;
    call.sentAt = clock.now();
    call.expectedAtSend = shutdown.expectedDurationOf(call.route);
  }

  /** Records that the upstream that had received a call has answered or failed. */
  recordAttemptEnd(requestId: string): void {
    this.recordProgress(requestId, 'queued');
  }

  /** Makes every response from now on close its connection. */
  startDraining(signalledAt = this.parts.clock.now()): void {
    this.stoppingSince = signalledAt;
  }

  /**
   * Accepts the connections that wait at the port, closes it, and closes the idle
   * connections.
   */
  async stopListening(): Promise<void> {
    await this.connections.acceptWaiting();
    this.instance.server.close();
    this.reportIfIdle();
  }

  /**
   * Waits until all connections have ended or the timeout passes; returns how many
   * calls remain. `stopListening` must be called first.
   */
  async waitUntilIdle(timeoutMilliseconds: number): Promise<number> {
    const {signal} = this.idleController;
    if (!signal.aborted)
      await this.parts.clock.sleep(timeoutMilliseconds, signal);
    return this.inFlight;
  }

  /**
   * Gives up the remaining calls, and waits up to `timeoutMilliseconds` until their
   * callers are told.
   */
  async giveUpCalls(timeoutMilliseconds: number): Promise<void> {
    const cancellation: Cancellation = {
      kind: 'grace-over',
      cause: 'grace-over',
    };
    this.connections.stopReading();
    for (const call of this.activeCalls) call.abort(cancellation);
    await this.waitUntilIdle(timeoutMilliseconds);
  }

  async close(): Promise<void> {
    await this.connections.close();
    await this.instance.close();
  }

  private recordProgress(
    requestId: string,
    progress: CallProgress,
  ): CallContext | undefined {
    const call = this.forwardedCalls.get(requestId);
    if (call !== undefined) call.progress = progress;
    return call;
  }

  private reportIfIdle(): void {
    const {listening} = this.instance.server;
    const isStopping = this.stoppingSince !== undefined;
    if (isStopping && !listening && this.connections.size === 0)
      this.idleController.abort();
  }

  private async handle(
    request: IncomingMessage,
    target: string,
    response: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    const connection = this.connections.of(request.socket)!;
    const context = newCallContext(response, connection);
    try {
      if (await connection.enter(context))
        await this.processCall(request, target, response, context);
      else {
        context.ended.abort(connection.cancellation);
        this.reportDropped(request, target, context);
      }
    } catch (error) {
      this.endAfterInternalError(request, response, context, error);
    } finally {
      // A caller may use an id again while its first call is open.
      if (this.forwardedCalls.get(context.requestId) === context)
        this.forwardedCalls.delete(context.requestId);
      this.inFlight -= 1;
    }
  }

  /** Reports a call that was read behind the last response of its connection. */
  private reportDropped(
    {method = '', rawHeaders}: IncomingMessage,
    target: string,
    context: CallContext,
  ): void {
    this.parts.wireFormat
      .parseCall({method, target, rawHeaders}, context.arrivedAt)
      .map(({id}) => (context.requestId = id));
    const failure = cancellationFailureOf(context.ended.signal, 'not-run');
    this.reportEnd(context, httpStatusOf(failure.code), failure);
  }

  private async processCall(
    request: IncomingMessage,
    target: string,
    response: ServerResponse,
    context: CallContext,
  ): Promise<void> {
    const {wireFormat, host} = this.parts;
    context.progress = 'receiving';
    const {ended} = context;
    const connection = this.connections.carrying(response)!;
    this.activeCalls.add(ended);
    response.once('close', () => {
      this.activeCalls.delete(ended);
      ended.abort(connection.cancellation);
    });
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
    const body = await this.readBodyInTime(
      request,
      {
        route: routing.value.route,
        deadline: host.deadlineOf(call.value, routing.value),
        receivedAt: undefined,
      },
      context,
    );
    if (body.isErr)
      return this.sendFailure(response, request, body.error, context);
    context.receivedAt = this.parts.clock.now();
    context.progress = 'queued';
    context.isCancelable =
      context.isGeneration || routing.value.route.target.repeatable;
    this.forwardedCalls.set(context.requestId, context);
    const refusal = await this.enterIntake(call.value, routing.value, context);
    if (refusal !== undefined)
      return this.sendFailure(response, request, refusal, context);
    const upstreamResponse = await host.forward(
      {...call.value, isHandedOver},
      routing.value,
      body.value,
      ended.signal,
    );
    if (upstreamResponse.isErr)
      return this.sendFailure(
        response,
        request,
        upstreamResponse.error,
        context,
      );
    await this.streamResponse(
      request,
      upstreamResponse.value,
      response,
      context,
    );
  }

  /** Resolves when the call may begin, with why it may not. */
  private enterIntake(
    call: IncomingCall,
    routing: CallRouting,
    {ended, receivedAt, unreadMilliseconds, response}: CallContext,
  ): Promise<RequestFailure | undefined> {
    const {host} = this.parts;
    const connection = this.connections.carrying(response)!;
    return this.intake.enter(
      {
        arrivedAt: receivedAt - unreadMilliseconds,
        deadline: host.deadlineOf(call, routing),
        targetMilliseconds: routing.route.firstTokenTargetMilliseconds,
        urgency: host.urgencyOf(routing),
        hasBegun: call.lastEventId !== undefined,
        hasCallerEnded: () => connection.hasCallerEnded,
      },
      ended.signal,
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
    this.breakOff(response, 'broken-response');
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

  /**
   * Reads the body. Fails once the host would stop before the call could end, which
   * leaves its caller time to reach another host.
   */
  private async readBodyInTime(
    request: IncomingMessage,
    call: TimedCall,
    {requestId, response, ended}: CallContext,
  ): Promise<Result<Uint8Array, RequestFailure>> {
    const {shutdown, requestMemory, limits} = this.parts;
    const {bodyBytes, keepAliveTimeoutMilliseconds} = limits();
    const reader = new BodyReader(request, {
      memory: requestMemory,
      connection: this.connections.carrying(response)!,
      requestId,
      maximumBytes: bodyBytes,
      deadline: call.deadline,
      silenceMilliseconds: keepAliveTimeoutMilliseconds,
      ended: ended.signal,
    });
    const endWatch = shutdown.watch(call, () => reader.refuse(hostStopping));
    const body = await reader.body;
    endWatch();
    return body;
  }

  /**
   * Streams the upstream's response to the caller. When the upstream fails before
   * the first bytes, the caller gets an error response; when it fails midway, the
   * caller's connection ends.
   */
  private async streamResponse(
    request: IncomingMessage,
    upstreamResponse: PassthroughResponse,
    response: ServerResponse,
    context: CallContext,
  ): Promise<void> {
    const {signal} = context.ended;
    context.progress = 'responding';
    try {
      for await (const chunk of upstreamResponse.body) {
        if (response.destroyed) break;
        this.writeHead(upstreamResponse, response);
        if (!response.write(chunk))
          await once(response, 'drain', {signal}).catch(() => undefined);
      }
    } catch (error) {
      if (!(error instanceof InterruptedResponseError)) throw error;
      if (!response.headersSent)
        return this.sendFailure(
          response,
          request,
          failureOfUnbegunResponse(error, signal),
          context,
        );
      // A truncated response must not look complete to the caller.
      this.breakOff(response, endOfBrokenResponse(signal));
      this.reportEnd(
        context,
        statusOfCutResponse(signal, upstreamResponse.status),
        failureOfCutResponse(error, signal),
      );
      return;
    }
    this.writeHead(upstreamResponse, response);
    response.end();
    const isComplete = !response.destroyed || response.writableFinished;
    if (isComplete && upstreamResponse.status < firstServerErrorStatus)
      this.recordDuration(context);
    this.reportEnd(
      context,
      isComplete
        ? upstreamResponse.status
        : statusOfCutResponse(signal, upstreamResponse.status),
      isComplete ? undefined : cancellationFailureOf(signal, 'unknown'),
    );
  }

  /** Writes the head with the first bytes, until which the call may still fail. */
  private writeHead(
    {status, headers}: PassthroughResponse,
    response: ServerResponse,
  ): void {
    if (response.headersSent) return;
    this.connections.carrying(response)?.announceEndIfDue(response);
    for (const [name, value] of headers) response.appendHeader(name, value);
    response.writeHead(status);
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
    // Those of an upstream's response that could not be passed on.
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    for (const [name, value] of this.parts.wireFormat.failureHeaders(failure))
      response.setHeader(name, value);
    if (this.peerSockets.has(request.socket) && isDeclined(failure))
      response.setHeader(handoverDeclinedHeader, failure.code);
    // A host that is not ready closes the connection, because the caller can
    // reach another host with a new one. A connection with an unread request
    // body cannot be reused.
    const isNotReady =
      status === serviceUnavailableStatus && failure.code === 'not-ready';
    const connection = this.connections.carrying(response);
    if (!request.complete) response.setHeader('Connection', 'close');
    else if (isNotReady) connection?.announceEnd(response);
    else connection?.announceEndIfDue(response);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private breakOff(response: ServerResponse, reason: ConnectionEnd): void {
    const connection = this.connections.carrying(response);
    if (connection === undefined) response.destroy();
    else connection.breakOff(reason);
  }

  private recordDuration({route, receivedAt}: CallContext): void {
    const {clock, shutdown} = this.parts;
    shutdown.recordDuration(route, clock.now() - receivedAt);
  }

  private reportEnd(
    context: CallContext,
    status: number,
    failure: RequestFailure | undefined,
  ): void {
    const {clock, onEnd} = this.parts;
    const stop = this.stopTimingOf(context);
    onEnd(summaryOf(context, status, failure, clock.now(), stop));
  }

  private stopTimingOf(context: CallContext): StopTiming | undefined {
    const {clock, shutdown} = this.parts;
    const wasSent = context.sentAt !== Infinity;
    if (this.stoppingSince === undefined) return undefined;
    return {
      sinceStop: clock.now() - this.stoppingSince,
      expected: wasSent
        ? context.expectedAtSend
        : shutdown.expectedDurationOf(context.route),
    };
  }
}

/** Stub compilers: no route has a schema, and loading the real ones is slow. */
const schemalessController = {
  compilersFactory: {
    buildValidator: () => () => () => true,
    buildSerializer: () => () => () => '',
  },
  // Fastify's types accept only the compilers of its own packages.
} as unknown as FastifyServerOptions['schemaController'];
