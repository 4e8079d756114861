/** Error responses to callers. */

import type {RequestFailure} from '@persimmonwick/coordination';
import {httpStatusOf} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';

/** Header that states whether a failed request was executed. */
export const executionStateHeader = 'x-persimmonwick-ran';

const firstServerErrorStatus = 500;

/** JSON representation of a failure, for response bodies and error events. */
export function failureBody(failure: RequestFailure) {
  const {code, message, ran} = failure;
  return {error: {type: errorTypeOf(httpStatusOf(code)), code, message, ran}};
}

/** Maps a status to an error type that OpenAI client libraries recognise. */
function errorTypeOf(status: number): string {
  switch (status) {
    case 401:
      return 'authentication_error';
    case 403:
      return 'permission_error';
    case 429:
      return 'rate_limit_error';
    default:
      return status < firstServerErrorStatus
        ? 'invalid_request_error'
        : 'server_error';
  }
}

/** Responds with the failure that the call record reports for `cause`. */
export function sendFailure(reply: FastifyReply, cause: RequestFailure) {
  const failure = reply.request.callRecord?.recordFailure(cause) ?? cause;
  if (failure.retryAfterMilliseconds !== undefined)
    reply.header(
      'retry-after',
      Math.ceil(failure.retryAfterMilliseconds / 1000),
    );
  return reply
    .code(httpStatusOf(failure.code))
    .header(executionStateHeader, failure.ran)
    .type('application/json')
    .send(JSON.stringify(failureBody(failure)));
}
