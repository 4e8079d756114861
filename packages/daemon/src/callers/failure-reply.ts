/** Failures as callers see them. */

import type {RequestFailure} from '@persimmonwick/coordination';
import {httpStatusOf} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';

/** Header that says whether a failed request ran. */
export const runStateHeader = 'x-persimmonwick-ran';

const firstServerStatus = 500;

/** The JSON of a failure, in bodies and in error events. */
export function failureBody(failure: RequestFailure) {
  const {code, message, ran} = failure;
  return {error: {type: typeOf(httpStatusOf(code)), code, message, ran}};
}

/** The kind of a failure, in the words that client libraries know. */
function typeOf(status: number): string {
  switch (status) {
    case 401:
      return 'authentication_error';
    case 403:
      return 'permission_error';
    case 429:
      return 'rate_limit_error';
    default:
      return status < firstServerStatus
        ? 'invalid_request_error'
        : 'server_error';
  }
}

/** Answers a call with `failure`. */
export function sendFailure(reply: FastifyReply, cause: RequestFailure) {
  const failure = reply.request.callRecord?.fail(cause) ?? cause;
  if (failure.retryAfterMilliseconds !== undefined)
    reply.header(
      'retry-after',
      Math.ceil(failure.retryAfterMilliseconds / 1000),
    );
  return reply
    .code(httpStatusOf(failure.code))
    .header(runStateHeader, failure.ran)
    .type('application/json')
    .send(JSON.stringify(failureBody(failure)));
}
