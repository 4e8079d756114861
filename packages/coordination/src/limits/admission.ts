/** Results that the limiter returns to its callers. */

/** An admitted request. */
export interface Admission {
  readonly chargedTokens: number;
  /**
   * Sets the tokens actually used and returns the rest of the charge. Tokens
   * used beyond the charge are not charged. Only the first call takes effect.
   */
  settle(usedTokens: number): void;
}

/** Refusal of a request, which is charged nothing. */
export interface RateRefusal {
  readonly reason:
    /** The active configuration has no such account. */
    | 'unknown-account'
    /** The request exceeds the account's burst and can never be admitted. */
    | 'larger-than-burst'
    /** Too few tokens are available now. */
    | 'rate-exceeded'
    /** The caller's signal was aborted. */
    | 'cancelled'
    /** The limiter is closed. */
    | 'closed';
  /** Time after which a retry may succeed; zero if waiting does not help. */
  readonly retryAfterMilliseconds: number;
}

/** Creates a refusal for which waiting does not help. */
export function finalRefusal(reason: RateRefusal['reason']): RateRefusal {
  return {reason, retryAfterMilliseconds: 0};
}

/** Thrown for a number of tokens that is negative or not finite. */
export class InvalidTokensError extends Error {
  constructor(readonly tokens: number) {
    super(`number of tokens must be finite and not negative: ${tokens}`);
    this.name = 'InvalidTokensError';
  }
}
