/** Admission of requests inside an account's rate. */

import type {Result} from 'true-myth';
import type {AccountId} from '../ids.js';
import type {RequestFailure} from './failure.js';

/** Tokens that were charged for one request. */
export interface Admission {
  /** Gives back what the request did not use; call it once, at its end. */
  settle(usedTokens: number): void;
}

/** Why a request is not admitted. */
export interface RateRefusal {
  readonly retryAfterMilliseconds: number;
  /** True when the request alone is larger than the burst. */
  readonly exceedsBurst: boolean;
}

/** Admits requests by their cost in tokens. */
export interface Admitter {
  admit(
    account: AccountId,
    tokens: number,
    signal?: AbortSignal,
  ): Promise<Result<Admission, RateRefusal>>;
}

/** What a caller is told about a request that was not admitted. */
export function rateFailure(refusal: RateRefusal): RequestFailure {
  return {
    code: 'rate-exceeded',
    message: refusal.exceedsBurst
      ? 'the request is larger than the burst of the client account'
      : 'the client account has used up its rate',
    ran: 'not-run',
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}
