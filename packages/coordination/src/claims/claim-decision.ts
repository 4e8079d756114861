/** Results of claiming an idempotency key. */

import type {ClaimOutcome} from '../generated/messages/persimmonwick/claims.js';
import type {ClaimPermit} from './claim-permit.js';

/** Permission to send the request, or the outcome recorded for it. */
export type ClaimDecision =
  | {readonly kind: 'run'; readonly permit: ClaimPermit}
  | {readonly kind: 'replay'; readonly outcome: ClaimOutcome};

/** Reason for which an attempt was abandoned before it was sent. */
export type NotRunReason =
  | 'no-majority'
  | 'contested'
  | 'overloaded'
  | 'no-membership'
  | 'deadline'
  | 'cancelled'
  | 'closed';

/** Reason for which a claim failed. The attempt is never sent. */
export type ClaimRefusal =
  /** No other attempt was found that may have executed the request. */
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly retryAfterMilliseconds: number;
    }
  /** Another attempt is in progress and has no outcome yet. */
  | {readonly kind: 'in-progress'; readonly retryAfterMilliseconds: number}
  /**
   * Another attempt may have executed the request, and its outcome is not
   * available: its owner has ended, is unreachable or does not know the outcome,
   * or the caller cancelled while waiting.
   */
  | {readonly kind: 'unknown'}
  /** The key was used before for a different request. */
  | {readonly kind: 'fingerprint-differs'};

/** Retry interval returned to callers. */
export const defaultRetryAfterMilliseconds = 1000;

export function notRunRefusal(reason: NotRunReason): ClaimRefusal {
  return {
    kind: 'not-run',
    reason,
    retryAfterMilliseconds: defaultRetryAfterMilliseconds,
  };
}
