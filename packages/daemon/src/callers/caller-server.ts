/** The HTTP server towards callers: Nest on the Fastify adapter. */

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
import {answerClientError, refuseExpectation} from './client-error.js';
import {CompletionsController} from './completions.controller.js';
import {FailureFilter, frameworkFailure} from './failure-filter.js';
import {sendFailure} from './failure-reply.js';
import {ServicesController} from './services.controller.js';

const keepAliveMilliseconds = 72_000;
const slowSenderCheckMilliseconds = 1000;

/** Starts the server towards callers. */
export async function startCallerServer(
  parts: ControllerDependencies,
  settings: CompleteSettings,
): Promise<RunningServer> {
  @Module({
    controllers: [CompletionsController, ServicesController],
    providers: [{provide: controllerDependenciesToken, useValue: parts}],
  })
  class CallerModule {}

  const adapter = createAdapter(settings.limits, parts);
  const application = await NestFactory.create<NestFastifyApplication>(
    CallerModule,
    adapter,
    {bodyParser: false, logger: false},
  );
  application.useGlobalFilters(new FailureFilter());
  const fastify = adapter.getInstance();
  addCallHooks(fastify, parts);
  fastify.server.on('checkExpectation', (_request, reply) =>
    parts.observer.refused(refuseExpectation(reply)),
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
): FastifyAdapter {
  const {slowSenderMilliseconds} = limits;
  return new FastifyAdapter({
    bodyLimit: limits.bodyBytes,
    requestTimeout: slowSenderMilliseconds,
    keepAliveTimeout: keepAliveMilliseconds,
    return503OnClosing: false,
    clientErrorHandler: (error: NodeJS.ErrnoException, socket: Socket) => {
      const failure = answerClientError(error, socket);
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
      // Node would answer without a body; the hook refuses such calls.
      requireHostHeader: false,
      maxHeaderSize: limits.headerBytes,
      requestTimeout: slowSenderMilliseconds,
      headersTimeout: slowSenderMilliseconds,
      connectionsCheckingInterval: Math.min(
        slowSenderCheckMilliseconds,
        slowSenderMilliseconds,
      ),
    },
  });
}
