/** The HTTP server for operators, which listens on a separate address. */

import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {listenOn} from '../listen.js';
import type {RunningServer} from '../listen.js';
import {operatorDependenciesToken} from './operator-dependencies.js';
import type {OperatorDependencies} from './operator-dependencies.js';
import {OperatorsController} from './operators.controller.js';

const bodyLimitBytes = 1024;

export async function startOperatorServer(
  dependencies: OperatorDependencies,
  address: string,
): Promise<RunningServer> {
  @Module({
    controllers: [OperatorsController],
    providers: [{provide: operatorDependenciesToken, useValue: dependencies}],
  })
  class OperatorModule {}

  const application = await NestFactory.create<NestFastifyApplication>(
    OperatorModule,
    new FastifyAdapter({
      bodyLimit: bodyLimitBytes,
      forceCloseConnections: true,
    }),
    {logger: false},
  );
  return listenOn(application, address, '/listen/operators');
}
