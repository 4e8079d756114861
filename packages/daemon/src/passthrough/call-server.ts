/** The HTTP server towards callers of passed-through calls. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {once} from 'node:events';
import {BrokenAnswerError, httpStatusOf} from '@persimmonwick/coordination';
import type {
  Clock,
  IncomingCall,
  PassthroughAnswer,
  PassthroughHost,
  RequestFailure,
} from '@persimmonwick/coordination';
import {fastify} from 'fastify';
import type {FastifyInstance, FastifyServerOptions} from 'fastify';
import {Result} from 'true-myth';
import {failureBody} from '../callers/failure-reply.js';
import type {EarlyListener} from './early-listener.js';
import type {CallerWireFormat} from './wire-format.js';

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersTimeoutMilliseconds: number;
  readonly keepAliveTimeoutMilliseconds: number;
}

/** How a call ended, for logs and metrics. */
export interface CallEnd {
  readonly id: string;
  readonly account: string;
  readonly route: string;
  readonly status: number;
  readonly milliseconds: number;
  readonly failure: RequestFailure | undefined;
  readonly isGeneration: boolean;
}

export interface CallServerParts {
  readonly clock: Clock;
  readonly host: PassthroughHost;
  readonly wire: CallerWireFormat;
  readonly limits: () => CallerLimits;
  readonly onEnd: (end: CallEnd) => void;
}

/** Node refuses longer heads before anything can be decided. */
const largestHeaderBytes = 128 * 1024;
const checkMilliseconds = 500;
const serviceUnavailable = 503;
/** Status in logs of a call whose caller left. */
const callerGoneStatus = 499;

export class CallServer {
  private readonly instance: FastifyInstance;
  private readonly sockets = new Set<Socket>();
  private readonly emptied = new AbortController();
  private isDraining = false;
  inFlight = 0;

  constructor(private readonly parts: CallServerParts) {
    this.instance = fastify({
      schemaController: withoutSchemas,
      // All calls take one way; routes are looked up by the host.
      rewriteUrl: () => '/',
      http: {
        maxHeaderSize: largestHeaderBytes,
        connectionsCheckingInterval: checkMilliseconds,
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

  /** Takes calls from `listener`; resolves with the address in use. */
  async serve(listener: EarlyListener): Promise<string> {
    await this.instance.ready();
    return listener.handOver(this.instance.server as Server);
  }

  /** Takes over the limits of a new configuration. */
  applyLimits(): void {
    const {
      headersTimeoutMilliseconds: headerMilliseconds,
      keepAliveTimeoutMilliseconds: idleMilliseconds,
    } = this.parts.limits();
    const server = this.instance.server as Server;
    server.headersTimeout = headerMilliseconds;
    server.requestTimeout = 0;
    server.keepAliveTimeout = idleMilliseconds;
  }

  /** From now on each answer closes its connection. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Takes no new connections and closes those that wait for a call. */
  stopListening(): void {
    this.instance.server.close();
    this.instance.server.closeIdleConnections();
    if (this.inFlight === 0) this.emptied.abort();
  }

  /** Waits for the calls in flight; returns how many are left. */
  async drain(milliseconds: number): Promise<number> {
    const {signal} = this.emptied;
    if (!signal.aborted) await this.parts.clock.sleep(milliseconds, signal);
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
    try {
      await this.answer(request, target, response);
    } finally {
      // The head of an answer that began earlier did not tell the caller to
      // close, and a further call would come too late to be finished.
      if (this.isDraining && !socket.destroyed) socket.end();
      this.inFlight -= 1;
      if (
        this.isDraining &&
        this.inFlight === 0 &&
        !this.instance.server.listening
      )
        this.emptied.abort();
    }
  }

  private async answer(
    request: IncomingMessage,
    target: string,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, wire, host} = this.parts;
    const arrivedAt = clock.now();
    const left = new AbortController();
    response.once('close', () => left.abort());
    const ending = {
      id: '',
      account: '',
      route: '',
      arrivedAt,
      isGeneration: false,
    };
    const call = this.checkHead(request).andThen(() =>
      wire.parseCall(
        {
          method: request.method ?? '',
          target,
          rawHeaders: request.rawHeaders,
        },
        arrivedAt,
      ),
    );
    if (call.isErr) return this.fail(response, request, call.error, ending);
    ending.id = call.value.id;
    ending.isGeneration = call.value.generation !== undefined;
    const accepted = host.accept(call.value);
    if (accepted.isErr)
      return this.fail(response, request, accepted.error, ending);
    ending.account = accepted.value.account ?? '';
    ending.route = accepted.value.route.name;
    const body = await this.readBody(request);
    if (body.isErr) return this.fail(response, request, body.error, ending);
    const answer = await host.forward(
      call.value,
      accepted.value,
      body.value,
      left.signal,
    );
    if (answer.isErr) return this.fail(response, request, answer.error, ending);
    await this.pass(call.value, answer.value, response, left.signal, ending);
  }

  private checkHead(request: IncomingMessage): Result<void, RequestFailure> {
    const {headerBytes} = this.parts.limits();
    const size = request.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      (request.url ?? '').length,
    );
    if (size <= headerBytes) return Result.ok(undefined);
    return Result.err({
      code: 'headers-too-large',
      message: `the head is longer than ${headerBytes} bytes`,
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
            message: `the body is longer than ${bodyBytes} bytes`,
            ran: 'not-run',
          });
        chunks.push(chunk);
      }
    } catch {
      return Result.err({
        code: 'caller-gone',
        message: 'the caller left while it sent the body',
        ran: 'not-run',
      });
    }
    return Result.ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
  }

  /** Passes an answer on as it arrives; breaks off where it breaks off. */
  private async pass(
    call: IncomingCall,
    answer: PassthroughAnswer,
    response: ServerResponse,
    left: AbortSignal,
    ending: Ending,
  ): Promise<void> {
    if (this.isDraining) response.setHeader('Connection', 'close');
    for (const [name, value] of answer.headers)
      response.appendHeader(name, value);
    response.writeHead(answer.status);
    try {
      for await (const chunk of answer.body) {
        if (response.destroyed) break;
        if (!response.write(chunk))
          await once(response, 'drain', {signal: left}).catch(() => undefined);
      }
    } catch (error) {
      // An answer that ends early must not look whole.
      response.destroy();
      this.noteEnd(
        ending,
        brokenStatus(left, answer.status),
        brokenOf(error, left),
      );
      return;
    }
    response.end();
    const isWhole = !left.aborted || response.writableFinished;
    this.noteEnd(
      ending,
      isWhole ? answer.status : callerGoneStatus,
      isWhole ? undefined : goneFailure,
    );
  }

  private fail(
    response: ServerResponse,
    request: IncomingMessage,
    failure: RequestFailure,
    ending: Ending,
  ): void {
    const status = httpStatusOf(failure.code);
    this.noteEnd(ending, status, failure);
    if (response.destroyed) return;
    const text = JSON.stringify(failureBody(failure));
    for (const [name, value] of this.parts.wire.failureHeaders(failure))
      response.setHeader(name, value);
    // A caller may find a better host on a new connection; an unread body
    // leaves the connection without use.
    const isElsewhereBetter =
      status === serviceUnavailable && failure.code === 'not-ready';
    if (this.isDraining || isElsewhereBetter || !request.complete)
      response.setHeader('Connection', 'close');
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private noteEnd(
    {id, account, route, arrivedAt, isGeneration}: Ending,
    status: number,
    failure: RequestFailure | undefined,
  ): void {
    const milliseconds = this.parts.clock.now() - arrivedAt;
    this.parts.onEnd({
      id,
      account,
      route,
      status,
      milliseconds,
      failure,
      isGeneration,
    });
  }
}

/** No route has a schema, and loading the compilers takes long. */
const withoutSchemas = {
  compilersFactory: {
    buildValidator: () => () => () => true,
    buildSerializer: () => () => () => '',
  },
  // The types know the package's own compilers only.
} as unknown as FastifyServerOptions['schemaController'];

interface Ending {
  readonly id: string;
  readonly account: string;
  readonly route: string;
  readonly arrivedAt: number;
  readonly isGeneration: boolean;
}

const goneFailure: RequestFailure = {
  code: 'caller-gone',
  message: 'the caller left before its answer was whole',
  ran: 'unknown',
};

function brokenStatus(left: AbortSignal, status: number): number {
  return left.aborted ? callerGoneStatus : status;
}

function brokenOf(error: unknown, left: AbortSignal): RequestFailure {
  if (left.aborted) return goneFailure;
  if (!(error instanceof BrokenAnswerError)) throw error;
  return {code: 'upstream-failed', message: error.message, ran: 'ran'};
}
