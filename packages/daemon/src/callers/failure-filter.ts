/** Converts errors of Nest and Fastify to the failure format of the API. */

import {Catch, HttpException} from '@nestjs/common';
import type {ArgumentsHost, ExceptionFilter} from '@nestjs/common';
import type {RequestFailure} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';
import {sendFailure} from './failure-reply.js';

const badRequestStatus = 400;
const notFoundStatus = 404;
const payloadTooLargeStatus = 413;
const serverErrorStatus = 500;

@Catch()
export class FailureFilter implements ExceptionFilter {
  catch(error: unknown, host: ArgumentsHost) {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    if (reply.raw.headersSent) {
      // The status is already sent. Destroying the connection shows the caller
      // that the response is incomplete.
      reply.request.callRecord?.recordFailure(frameworkFailure(error));
      reply.raw.destroy();
      return reply;
    }
    return sendFailure(reply, frameworkFailure(error));
  }
}

/** Maps an error of Nest or Fastify to a failure. */
export function frameworkFailure(error: unknown): RequestFailure {
  const status = statusOfError(error);
  if (status === payloadTooLargeStatus)
    return {
      code: 'body-too-large',
      message: 'the body exceeds the size limit of this host',
      ran: 'not-run',
    };
  if (status === notFoundStatus)
    return {
      code: 'route-not-found',
      message: 'no route matches this path and method',
      ran: 'not-run',
    };
  if (status >= badRequestStatus && status < serverErrorStatus)
    return {
      code: 'invalid-request',
      message: 'the HTTP request is invalid',
      ran: 'not-run',
    };
  return {
    code: 'internal',
    message: 'internal error while handling the request',
    ran: 'unknown',
  };
}

function statusOfError(error: unknown): number {
  if (error instanceof HttpException) return error.getStatus();
  const {statusCode} = (error ?? {}) as {statusCode?: unknown};
  return typeof statusCode === 'number' ? statusCode : serverErrorStatus;
}
