/** Request headers that are forwarded to plain services. */

import type {IncomingHttpHeaders} from 'node:http';
import type {AccountId, RequestId} from '@persimmonwick/coordination';

const forwardedRequestHeaders = [
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'traceparent',
];

/** Builds the headers for a service; they never include the caller's key. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
  request: RequestId,
  account: AccountId | undefined,
): Record<string, string> {
  const forwarded: Record<string, string> = {'x-request-id': request};
  if (account !== undefined) forwarded['x-client-account'] = account;
  for (const name of forwardedRequestHeaders) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}
