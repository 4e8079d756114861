/** What one call of a caller carries from start to end. */

import type {RequestId} from '@persimmonwick/coordination';
import {requestId} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {v4 as makeUuid} from 'uuid';

const requestIdPattern = /^[A-Za-z0-9._-]{1,128}$/;

/** The caller's own id when it is well-formed, else a new one. */
export function requestIdOf(request: FastifyRequest): RequestId {
  const given = request.headers['x-request-id'];
  const isUsable = typeof given === 'string' && requestIdPattern.test(given);
  return requestId(isUsable ? given : makeUuid());
}

/** Every value of a header, repeated ones apart. */
export function headerValues(request: FastifyRequest, name: string): string[] {
  const {rawHeaders} = request.raw;
  return rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name,
  );
}

/** A signal that is aborted when the caller goes before its answer ends. */
export function callerSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) controller.abort();
  });
  return controller.signal;
}
