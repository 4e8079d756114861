/** Hooks that every call passes before and after its controller. */

import type {RequestFailure} from '@persimmonwick/coordination';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {requestIdOf} from './call-context.js';
import {CallRecord} from './call-record.js';
import {sendFailure} from './failure-reply.js';

const drainingFailure: RequestFailure = {
  code: 'draining',
  message: 'the host is stopping; send the request to another one',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

const notReadyFailure: RequestFailure = {
  code: 'not-ready',
  message: 'the host has just started',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

const missingHostFailure: RequestFailure = {
  code: 'invalid-request',
  message: 'HTTP/1.1 asks for a Host header',
  ran: 'not-run',
};

/** Gives each call its record and turns calls away that can't be taken. */
export function addCallHooks(
  fastify: FastifyInstance,
  parts: ControllerDependencies,
): void {
  fastify.decorateRequest('callRecord', null);
  fastify.addHook('onRequest', async (request, reply) => {
    const record = startRecord(request, reply, parts);
    if (lacksHost(request)) return sendFailure(reply, missingHostFailure);
    if (parts.gate.isDraining) return sendFailure(reply, drainingFailure);
    if (!parts.host.isReady) return sendFailure(reply, notReadyFailure);
    parts.gate.enter(record);
    return undefined;
  });
  fastify.addHook('onSend', async (_request, reply) => {
    if (parts.gate.isDraining) reply.header('connection', 'close');
  });
}

function startRecord(
  request: FastifyRequest,
  reply: FastifyReply,
  parts: ControllerDependencies,
): CallRecord {
  const record = new CallRecord(requestIdOf(request), reply, parts);
  request.callRecord = record;
  reply.header('x-request-id', record.request);
  reply.raw.once('close', () => {
    record.close();
    parts.gate.leave(record);
  });
  return record;
}

function lacksHost({raw}: FastifyRequest): boolean {
  return raw.httpVersion === '1.1' && raw.headers.host === undefined;
}
