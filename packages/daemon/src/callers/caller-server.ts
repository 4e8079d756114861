/** The HTTP server towards callers: Nest on the Fastify adapter. */

import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import type {CompleteSettings} from '@persimmonwick/coordination';
import {daemonPartsToken} from '../daemon-parts.js';
import type {DaemonParts} from '../daemon-parts.js';
import {CompletionsController} from './completions.controller.js';
import {ServicesController} from './services.controller.js';

/** A server that listens. */
export interface RunningServer {
  /** IP address and port, as `127.0.0.1:8080`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Starts the server towards callers. */
export async function startCallerServer(
  parts: DaemonParts,
  settings: CompleteSettings,
): Promise<RunningServer> {
  @Module({
    controllers: [CompletionsController, ServicesController],
    providers: [{provide: daemonPartsToken, useValue: parts}],
  })
  class CallerModule {}

  const adapter = new FastifyAdapter({
    bodyLimit: settings.limits.bodyBytes,
    requestTimeout: settings.limits.slowSenderMilliseconds,
    http: {maxHeaderSize: settings.limits.headerBytes},
  });
  const application = await NestFactory.create<NestFastifyApplication>(
    CallerModule,
    adapter,
    {bodyParser: false, logger: false},
  );
  const fastify = adapter.getInstance();
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', {parseAs: 'buffer'}, (_r, body, done) =>
    done(null, body),
  );
  return listenOn(application, settings.listen.callers);
}

/** Listens on `address` and closes the application with the server. */
export async function listenOn(
  application: NestFastifyApplication,
  address: string,
): Promise<RunningServer> {
  const [host, port] = address.split(':') as [string, string];
  await application.listen(Number(port), host);
  return {
    address: new URL(await application.getUrl()).host,
    close: () => application.close(),
  };
}
