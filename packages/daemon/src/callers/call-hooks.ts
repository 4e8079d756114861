/** Fastify hooks that run for every call. */

import type {RequestFailure} from '@persimmonwick/coordination';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {ControllerDependencies} from '../controller-dependencies.js';
import type {OpenResponses} from './open-responses.js';
import {requestIdOf} from './request-headers.js';
import {CallRecord, callRecordOf} from './call-record.js';
import {drainingFailure} from './drain-gate.js';
import {sendFailure} from './failure-reply.js';

const notReadyFailure: RequestFailure = {
  code: 'not-ready',
  message: 'the host is still starting',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

const missingHostFailure: RequestFailure = {
  code: 'invalid-request',
  message: 'HTTP/1.1 requires a Host header',
  ran: 'not-run',
};

/** Attaches a record to each call and rejects calls the host can't accept. */
export function addCallHooks(
  fastify: FastifyInstance,
  parts: ControllerDependencies,
  responses: OpenResponses,
): void {
  fastify.decorateRequest('callRecord', null);
  fastify.addHook('onRequest', async (request, reply) => {
    const record = createCallRecord(request, reply, parts, responses);
    if (lacksHostHeader(request)) return sendFailure(reply, missingHostFailure);
    if (parts.gate.isDraining) return sendFailure(reply, drainingFailure);
    if (!parts.host.isReady) return sendFailure(reply, notReadyFailure);
    parts.gate.add(record);
    return undefined;
  });
  fastify.addHook('preValidation', async request =>
    callRecordOf(request).recordReceipt(),
  );
  fastify.addHook('onSend', async (_request, reply) => {
    if (parts.gate.isDraining && responses.isLast(reply.raw))
      reply.header('connection', 'close');
  });
}

function createCallRecord(
  request: FastifyRequest,
  reply: FastifyReply,
  parts: ControllerDependencies,
  responses: OpenResponses,
): CallRecord {
  const record = new CallRecord(requestIdOf(request), reply, parts);
  request.callRecord = record;
  reply.header('x-request-id', record.requestId);
  const {socket} = request.raw;
  const close = () => {
    socket.removeListener('close', close);
    const failure = responses.failureOf(reply.raw);
    if (failure !== undefined) record.recordFailure(failure);
    record.close();
    parts.gate.remove(record);
  };
  reply.raw.once('close', close);
  // A response that waits behind another one is not told of it.
  socket.once('close', close);
  return record;
}

function lacksHostHeader({raw}: FastifyRequest): boolean {
  return raw.httpVersion === '1.1' && raw.headers.host === undefined;
}
