/**
 * Failures reported to callers when a rate limit or a claim refuses a request.
 */

import type {ClaimRefusal} from '../claims/claim-decision.js';
import type {RateRefusal} from '../limits/admission.js';
import type {RequestFailure} from './failure.js';

/** Failure of a request that the account's rate limit did not admit. */
export function rateLimitFailure(refusal: RateRefusal): RequestFailure {
  switch (refusal.reason) {
    case 'rate-exceeded':
      return {
        code: 'rate-exceeded',
        message: 'the client account exceeded its rate limit',
        ran: 'not-run',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'larger-than-burst':
      return {
        code: 'rate-exceeded',
        message:
          'the request costs more than the burst size of the client account',
        ran: 'not-run',
      };
    case 'unknown-account':
      return {
        code: 'unknown-key',
        message: 'the client account no longer exists',
        ran: 'not-run',
      };
    case 'cancelled':
      return {
        code: 'caller-gone',
        message: 'the caller closed the connection',
        ran: 'not-run',
      };
    case 'closed':
      return {
        code: 'draining',
        message: 'the host is stopping; send the request to another one',
        ran: 'not-run',
        retryAfterMilliseconds: 1000,
      };
  }
}

/** Failure of a request that must run at most once and got no permit. */
export function claimFailure(refusal: ClaimRefusal): RequestFailure {
  switch (refusal.kind) {
    case 'not-run':
      return {
        code: 'claim-unavailable',
        message: 'too few hosts are reachable to run this request at most once',
        ran: 'not-run',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'in-progress':
      return {
        code: 'idempotency-key-in-use',
        message: 'another request with the same idempotency key is in progress',
        ran: 'unknown',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'unknown':
      return {
        code: 'outcome-unknown',
        message:
          'a request with the same idempotency key may have run and its outcome is unknown',
        ran: 'unknown',
      };
    case 'fingerprint-differs':
      return {
        code: 'idempotency-key-reused',
        message: 'the idempotency key was already used for a different request',
        ran: 'not-run',
      };
  }
}
