/** Helpers that read the headers of a call. */

import type {RequestId} from '@persimmonwick/coordination';
import {requestId} from '@persimmonwick/coordination';
import type {FastifyRequest} from 'fastify';
import {v4 as makeUuid} from 'uuid';

const requestIdPattern = /^[A-Za-z0-9._-]{1,128}$/;

/** Returns the caller's request id if it is well formed, else a new one. */
export function requestIdOf(request: FastifyRequest): RequestId {
  const supplied = request.headers['x-request-id'];
  const isWellFormed =
    typeof supplied === 'string' && requestIdPattern.test(supplied);
  return requestId(isWellFormed ? supplied : makeUuid());
}

/** Returns all values of a header, one element per occurrence. */
export function headerValues(request: FastifyRequest, name: string): string[] {
  const {rawHeaders} = request.raw;
  return rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name,
  );
}
