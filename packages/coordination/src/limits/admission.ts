/** What a caller of the limiter gets. */

/** Tokens charged for one request. */
export interface Admission {
  readonly chargedTokens: number;
  /** Gives back what was not used; only the first call counts. */
  settle(usedTokens: number): void;
}

/** Why a request was not admitted; it was charged nothing. */
export interface RateRefusal {
  readonly reason:
    /** No such account in the configuration in force. */
    | 'unknown-account'
    /** More than the account's whole burst: no wait helps. */
    | 'larger-than-burst'
    /** Too few tokens now. */
    | 'rate-exceeded'
    /** The caller's signal was aborted. */
    | 'cancelled'
    /** The limiter is closed. */
    | 'closed';
  /** When a new try makes sense; zero where no wait helps. */
  readonly retryAfterMilliseconds: number;
}

/** A refusal after which no wait helps. */
export function refusal(reason: RateRefusal['reason']): RateRefusal {
  return {reason, retryAfterMilliseconds: 0};
}

/** A number of tokens that is negative or not finite. */
export class InvalidTokensError extends Error {
  constructor(readonly tokens: number) {
    super(`not a number of tokens: ${tokens}`);
    this.name = 'InvalidTokensError';
  }
}
