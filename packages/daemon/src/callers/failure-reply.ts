/** Error responses to callers. */

import type {RequestFailure} from '@persimmonwick/coordination';
import {httpStatusOf} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';

/** Response header with the `ExecutionState` of the request. */
export const ranHeader = 'x-persimmonwick-ran';

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

/**
 * Sends an error response. After an interruption, the call record replaces
 * `failure` by the reason of the interruption.
 */
export function sendFailure(reply: FastifyReply, failure: RequestFailure) {
  const reported = reply.request.callRecord?.recordFailure(failure) ?? failure;
  if (reported.retryAfterMilliseconds !== undefined)
    reply.header(
      'retry-after',
      Math.ceil(reported.retryAfterMilliseconds / 1000),
    );
  return reply
    .code(httpStatusOf(reported.code))
    .header(ranHeader, reported.ran)
    .type('application/json')
    .send(JSON.stringify(failureBody(reported)));
}
