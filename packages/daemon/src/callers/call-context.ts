/** What is read from the head of a call. */

import type {RequestId} from '@persimmonwick/coordination';
import {requestId} from '@persimmonwick/coordination';
import type {FastifyRequest} from 'fastify';
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
