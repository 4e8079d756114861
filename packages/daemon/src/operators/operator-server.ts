/** The HTTP server towards operators, on an address of its own. */

import 'reflect-metadata';
import {Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {listenOn} from '../listen.js';
import type {RunningServer} from '../listen.js';
import {operatorPartsToken} from './operator-parts.js';
import type {OperatorParts} from './operator-parts.js';
import {OperatorsController} from './operators.controller.js';

const bodyLimitBytes = 1024;

/** Starts the server towards operators. */
export async function startOperatorServer(
  parts: OperatorParts,
  address: string,
): Promise<RunningServer> {
  @Module({
    controllers: [OperatorsController],
    providers: [{provide: operatorPartsToken, useValue: parts}],
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
