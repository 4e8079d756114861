/** Headers that a plain service sees of a call. */

import type {IncomingHttpHeaders} from 'node:http';
import type {AccountId, RequestId} from '@persimmonwick/coordination';

const passedRequestHeaders = [
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'traceparent',
];

/** Headers that a service sees: never the caller's key. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
  request: RequestId,
  account: AccountId | undefined,
): Record<string, string> {
  const forwarded: Record<string, string> = {'x-request-id': request};
  if (account !== undefined) forwarded['x-client-account'] = account;
  for (const name of passedRequestHeaders) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}
