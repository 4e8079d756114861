/** HTTP server for callers: Nest with the Fastify adapter. */

import 'reflect-metadata';
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import type {
  CompleteSettings,
  RequestFailure,
} from '@persimmonwick/coordination';
import type {Result} from 'true-myth';
import type {FastifyError, FastifyReply, FastifyRequest} from 'fastify';
import {controllerDependenciesToken} from '../controller-dependencies.js';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {listenOn} from '../listen.js';
import type {RunningServer} from '../listen.js';
import {CallerConnections} from '../passthrough/caller-connections.js';
import {
  logConnectionLoss,
  logUnreadInput,
} from '../passthrough/passthrough-log.js';
import {BodyReader} from '../passthrough/request-body.js';
import {addCallHooks, recordOfResponse} from './call-hooks.js';
import {callRecordOf} from './call-record.js';
import {rejectExpectation} from './client-error.js';
import {CompletionsController} from './completions.controller.js';
import {FailureFilter, frameworkFailure} from './failure-filter.js';
import {sendFailure} from './failure-reply.js';
import {ServicesController} from './services.controller.js';

const keepAliveTimeoutMilliseconds = 72_000;
const slowSenderCheckIntervalMilliseconds = 1000;

/** Starts the HTTP server for callers. */
export async function startCallerServer(
  parts: ControllerDependencies,
  settings: CompleteSettings,
): Promise<RunningServer> {
  @Module({
    controllers: [CompletionsController, ServicesController],
    providers: [{provide: controllerDependenciesToken, useValue: parts}],
  })
  class CallerModule {}

  const connections = createConnections(parts);
  const adapter = createAdapter(settings.limits, connections);
  const application = await NestFactory.create<NestFastifyApplication>(
    CallerModule,
    adapter,
    {bodyParser: false, logger: false},
  );
  application.useGlobalFilters(new FailureFilter());
  const fastify = adapter.getInstance();
  connections.observe(fastify.server as Server);
  addCallHooks(fastify, parts, connections);
  fastify.server.on('checkExpectation', (_request, reply) =>
    parts.observer.refused(rejectExpectation(reply)),
  );
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', (request, _payload, done) => {
    void receiveBody(request, parts, connections, settings).then(body =>
      body.match({
        Ok: bytes => done(null, bytes),
        Err: failure => callRecordOf(request).refuse(failure),
      }),
    );
  });
  return listenOn(application, settings.listen.callers, '/listen/callers');
}

/** The count of the body ends with the response. */
function receiveBody(
  request: FastifyRequest,
  {requestMemory}: ControllerDependencies,
  connections: CallerConnections,
  {limits}: CompleteSettings,
): Promise<Result<Uint8Array, RequestFailure>> {
  const record = callRecordOf(request);
  return new BodyReader(request.raw, {
    memory: requestMemory,
    connection: connections.of(request.raw.socket)!,
    requestId: record.requestId,
    maximumBytes: limits.bodyBytes,
    deadline: record.deadline,
    silenceMilliseconds: limits.slowSenderMilliseconds,
    ended: record.closed,
  }).body;
}

function createConnections({
  clock,
  log,
  gate,
  observer,
  monitor,
  reads,
}: ControllerDependencies): CallerConnections {
  return new CallerConnections(
    {
      clock,
      monitor,
      onCallRead: unread => reads.recordUnread(unread),
      stoppingSince: () => gate.drainingSince,
      onLoss: loss => logConnectionLoss(log, loss),
      onUnread: input => logUnreadInput(log, input),
    },
    undefined,
    (failure, incompleteResponse) => {
      const record = incompleteResponse && recordOfResponse(incompleteResponse);
      if (record === undefined) return observer.refused(failure);
      record.recordFailure(failure);
      record.close();
      gate.remove(record);
    },
  );
}

function createAdapter(
  limits: CompleteSettings['limits'],
  connections: CallerConnections,
): FastifyAdapter {
  const {slowSenderMilliseconds} = limits;
  return new FastifyAdapter({
    bodyLimit: limits.bodyBytes,
    requestTimeout: slowSenderMilliseconds,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    return503OnClosing: false,
    clientErrorHandler: (error: NodeJS.ErrnoException, socket: Socket) =>
      connections.handleClientError(error, socket),
    frameworkErrors: (
      error: FastifyError,
      _request: FastifyRequest,
      reply: FastifyReply,
    ) => {
      void sendFailure(reply, frameworkFailure(error));
    },
    http: {
      // Node would reject a call without a Host header with an empty response.
      // `addCallHooks` rejects it with a JSON error instead.
      requireHostHeader: false,
      maxHeaderSize: limits.headerBytes,
      requestTimeout: slowSenderMilliseconds,
      headersTimeout: slowSenderMilliseconds,
      connectionsCheckingInterval: Math.min(
        slowSenderCheckIntervalMilliseconds,
        slowSenderMilliseconds,
      ),
    },
  });
}
