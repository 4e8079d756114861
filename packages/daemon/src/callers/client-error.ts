/** Answers to what the HTTP parser refuses before a call exists. */

import {STATUS_CODES} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RequestFailure} from '@persimmonwick/coordination';
import {httpStatusOf} from '@persimmonwick/coordination';
import {failureBody, runStateHeader} from './failure-reply.js';

/**
 * Writes a failure to a connection that has no reply object, and ends it.
 * Returns the failure; undefined when the caller has gone.
 */
export function answerClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
): RequestFailure | undefined {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return undefined;
  }
  const failure = clientFailure(error.code);
  const status = httpStatusOf(failure.code);
  const body = JSON.stringify(failureBody(failure));
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${runStateHeader}: ${failure.ran}`,
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
  return failure;
}

/** Refuses a call with an `Expect` header that nobody meets. */
export function refuseExpectation(reply: ServerResponse): RequestFailure {
  const failure: RequestFailure = {
    code: 'invalid-request',
    message: 'the Expect header asks for what this host does not do',
    ran: 'not-run',
  };
  reply.writeHead(httpStatusOf(failure.code), {
    connection: 'close',
    'content-type': 'application/json',
    [runStateHeader]: failure.ran,
  });
  reply.end(JSON.stringify(failureBody(failure)));
  return failure;
}

function clientFailure(code: string | undefined): RequestFailure {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        code: 'headers-too-large',
        message: 'the headers are larger than this host takes',
        ran: 'not-run',
      };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        code: 'request-timeout',
        message: 'the request did not arrive in time',
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
