/** Fastify hooks that run for every call. */

import type {ServerResponse} from 'node:http';
import {cancellationFailureOf} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {CallIntake} from '../connections/call-intake.js';
import type {CallerConnection} from '../passthrough/caller-connection.js';
import type {CallerConnections} from '../passthrough/caller-connections.js';
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

const records = new WeakMap<ServerResponse, CallRecord>();

/** The record of the call that `response` answers. */
export function recordOfResponse(
  response: ServerResponse,
): CallRecord | undefined {
  return records.get(response);
}

/**
 * Attaches a record to each call, begins it once the calls before it on its connection
 * are answered, and rejects calls the host can't accept.
 */
export function addCallHooks(
  fastify: FastifyInstance,
  parts: ControllerDependencies,
  connections: CallerConnections,
): void {
  fastify.decorateRequest('callRecord', null);
  fastify.addHook('onRequest', async (request, reply) => {
    const connection = connections.of(request.raw.socket)!;
    const record = createCallRecord(request, reply, parts, connection);
    if (!(await connection.enter(record))) return reply.hijack();
    record.begin();
    if (lacksHostHeader(request)) return sendFailure(reply, missingHostFailure);
    if (parts.gate.isDraining) return sendFailure(reply, drainingFailure);
    if (!parts.host.isReady) return sendFailure(reply, notReadyFailure);
    parts.gate.add(record);
    return undefined;
  });
  const intake = new CallIntake(parts);
  fastify.addHook('preValidation', async (request, reply) => {
    const record = callRecordOf(request);
    record.recordReceipt();
    const connection = connections.of(request.raw.socket);
    const refusal = await intake.enter(
      {
        arrivedAt: parts.clock.now() - record.unreadMilliseconds,
        deadline: record.deadline,
        targetMilliseconds: undefined,
        urgency: 0,
        hasBegun: false,
        hasCallerEnded: () => connection?.hasCallerEnded === true,
      },
      record.closed,
    );
    return refusal === undefined ? undefined : sendFailure(reply, refusal);
  });
  fastify.addHook('onSend', async (request, {raw: response}) => {
    const connection = connections.of(request.raw.socket);
    if (request.raw.complete) connection?.announceEndIfDue(response);
    else if (parts.gate.isDraining) response.setHeader('Connection', 'close');
  });
}

function createCallRecord(
  request: FastifyRequest,
  reply: FastifyReply,
  parts: ControllerDependencies,
  connection: CallerConnection,
): CallRecord {
  const arrivedAt = connection.arrivalOfNext();
  const record = new CallRecord(
    requestIdOf(request),
    reply,
    parts,
    arrivedAt,
    connection.unreadTimeOfNext(),
  );
  request.callRecord = record;
  records.set(reply.raw, record);
  reply.header('x-request-id', record.requestId);
  const {socket} = request.raw;
  const close = () => {
    socket.removeListener('close', close);
    if (record.progress === 'waiting')
      record.recordFailure(notBegunFailure(connection));
    record.close();
    parts.gate.remove(record);
  };
  reply.raw.once('close', close);
  // A response that waits behind another one is not told of it.
  socket.once('close', close);
  return record;
}

/** Failure of a call whose connection ends before the call is begun. */
function notBegunFailure({cancellation}: CallerConnection): RequestFailure {
  return cancellationFailureOf(AbortSignal.abort(cancellation), 'not-run');
}

function lacksHostHeader({raw}: FastifyRequest): boolean {
  return raw.httpVersion === '1.1' && raw.headers.host === undefined;
}
