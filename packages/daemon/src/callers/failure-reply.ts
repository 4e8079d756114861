/** Failures as callers see them. */

import type {RequestFailure} from '@persimmonwick/coordination';
import {statusOf} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';

/** Header that says whether a failed request ran. */
export const runStateHeader = 'x-persimmonwick-ran';

/** The JSON of a failure, in bodies and in error events. */
export function failureBody(failure: RequestFailure) {
  const {code, message, ran} = failure;
  return {error: {code, message, ran}};
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
    .code(statusOf(failure.code))
    .header(runStateHeader, failure.ran)
    .type('application/json')
    .send(JSON.stringify(failureBody(failure)));
}
