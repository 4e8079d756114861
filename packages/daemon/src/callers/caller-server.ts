/** HTTP server for callers: Nest with the Fastify adapter. */

import 'reflect-metadata';
import type {Socket} from 'node:net';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import type {CompleteSettings} from '@persimmonwick/coordination';
import type {FastifyError, FastifyReply, FastifyRequest} from 'fastify';
import {controllerDependenciesToken} from '../controller-dependencies.js';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {listenOn} from '../listen.js';
import type {RunningServer} from '../listen.js';
import {addCallHooks} from './call-hooks.js';
import {respondToClientError, rejectExpectation} from './client-error.js';
import {CompletionsController} from './completions.controller.js';
import {FailureFilter, frameworkFailure} from './failure-filter.js';
import {sendFailure} from './failure-reply.js';
import {serveHalfClosedCallers} from './half-closed-callers.js';
import {OpenResponses} from './open-responses.js';
import {awaitRefusedUploads} from './refused-uploads.js';
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

  const responses = new OpenResponses();
  const adapter = createAdapter(settings.limits, parts, responses);
  const application = await NestFactory.create<NestFastifyApplication>(
    CallerModule,
    adapter,
    {bodyParser: false, logger: false},
  );
  application.useGlobalFilters(new FailureFilter());
  const fastify = adapter.getInstance();
  responses.observe(fastify.server);
  addCallHooks(fastify, parts, responses);
  serveHalfClosedCallers(fastify.server, responses, parts.clock);
  awaitRefusedUploads(fastify.server, responses, parts.clock);
  fastify.server.on('checkExpectation', (_request, reply) =>
    parts.observer.refused(rejectExpectation(reply)),
  );
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', {parseAs: 'buffer'}, (_r, body, done) =>
    done(null, body),
  );
  return listenOn(application, settings.listen.callers, '/listen/callers');
}

function createAdapter(
  limits: CompleteSettings['limits'],
  {observer}: ControllerDependencies,
  responses: OpenResponses,
): FastifyAdapter {
  const {slowSenderMilliseconds} = limits;
  return new FastifyAdapter({
    bodyLimit: limits.bodyBytes,
    requestTimeout: slowSenderMilliseconds,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    return503OnClosing: false,
    clientErrorHandler: (error: NodeJS.ErrnoException, socket: Socket) => {
      const failure = respondToClientError(error, socket, responses);
      if (failure !== undefined) observer.refused(failure);
    },
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
