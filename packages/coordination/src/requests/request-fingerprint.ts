/** Fingerprints by which a request that comes again is recognized. */

import {createHash} from 'node:crypto';

/**
 * Bytes at each end of a body that are hashed. The middle of a longer body is
 * left out, which bounds the work for one request.
 */
const hashedBodyBytes = 65_536;

/** Characters of a fingerprint, of four bits each. */
const fingerprintLength = 24;

/** What a request has in common with its repetitions. */
export interface RepeatedRequest {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
}

/** Requests with the same fingerprint are repetitions of one request. */
export function fingerprintOf(
  {method, host, target, body}: RepeatedRequest,
  caller: string,
): string {
  const head = JSON.stringify([method, host, target, caller, body.length]);
  const hash = createHash('sha256').update(head);
  if (body.length <= 2 * hashedBodyBytes) hash.update(body);
  else
    hash
      .update(body.subarray(0, hashedBodyBytes))
      .update(body.subarray(-hashedBodyBytes));
  return hash.digest('hex').slice(0, fingerprintLength);
}
