/** Responses to requests that fail before Fastify handles them. */

import {STATUS_CODES} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {RequestFailure} from '@persimmonwick/coordination';
import {httpStatusOf} from '@persimmonwick/coordination';
import {failureBody, ranHeader} from './failure-reply.js';

/** The bytes of the response to a request that was not parsed. */
export function clientErrorResponse(failure: RequestFailure): string {
  const status = httpStatusOf(failure.code);
  const body = JSON.stringify(failureBody(failure));
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${ranHeader}: ${failure.ran}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Rejects a call whose `Expect` header is not supported. */
export function rejectExpectation(reply: ServerResponse): RequestFailure {
  const failure: RequestFailure = {
    code: 'invalid-request',
    message: 'the expectation in the Expect header is not supported',
    ran: 'not-run',
  };
  reply.writeHead(httpStatusOf(failure.code), {
    connection: 'close',
    'content-type': 'application/json',
    [ranHeader]: failure.ran,
  });
  reply.end(JSON.stringify(failureBody(failure)));
  return failure;
}

/** Failure of a request for a tunnel. */
export const connectNotSupported: RequestFailure = {
  code: 'invalid-request',
  message: 'the method CONNECT is not supported',
  ran: 'not-run',
};

/** Failure of a request that Node reports with the error `code`. */
export function failureOfClientError(code: string | undefined): RequestFailure {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        code: 'headers-too-large',
        message: 'the headers exceed the size limit of this host',
        ran: 'not-run',
      };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        code: 'request-timeout',
        message: 'the request was not received in time',
        ran: 'not-run',
      };
    default:
      return {
        code: 'invalid-request',
        message: 'the request is not well-formed HTTP',
        ran: 'not-run',
      };
  }
}
