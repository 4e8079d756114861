/** What callers are told when a limit or a claim refuses their request. */

import type {ClaimRefusal} from '../claims/claim-decision.js';
import type {RateRefusal} from '../limits/admission.js';
import type {RequestFailure} from './failure.js';

/** A request that its account's limit did not admit. */
export function rateFailure(refusal: RateRefusal): RequestFailure {
  switch (refusal.reason) {
    case 'rate-exceeded':
      return {
        code: 'rate-exceeded',
        message: 'the client account has used up its rate',
        ran: 'not-run',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'larger-than-burst':
      return {
        code: 'rate-exceeded',
        message: 'the request is larger than the burst of the client account',
        ran: 'not-run',
      };
    case 'unknown-account':
      return {
        code: 'unknown-key',
        message: 'the client account is not known any more',
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

/** A request that may not be repeated and got no permit. */
export function claimFailure(refusal: ClaimRefusal): RequestFailure {
  switch (refusal.kind) {
    case 'not-run':
      return {
        code: 'claim-unavailable',
        message: 'too few hosts can be reached to run this request once',
        ran: 'not-run',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'in-progress':
      return {
        code: 'idempotency-key-in-use',
        message: 'another try of this request is running',
        ran: 'unknown',
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
      };
    case 'unknown':
      return {
        code: 'outcome-unknown',
        message: 'another try may have run and its outcome is not known',
        ran: 'unknown',
      };
    case 'fingerprint-differs':
      return {
        code: 'idempotency-key-reused',
        message: 'the idempotency key was used for another request',
        ran: 'not-run',
      };
  }
}
