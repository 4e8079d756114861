/** What a host may do with a request that may not be repeated. */

import type {ClaimOutcome} from '../generated/messages/persimmonwick/claims.js';
import type {ClaimPermit} from './claim-permit.js';

/** The request may be sent, or its recorded outcome is known. */
export type ClaimDecision =
  | {readonly kind: 'run'; readonly permit: ClaimPermit}
  | {readonly kind: 'replay'; readonly outcome: ClaimOutcome};

/** Why an attempt was given up. */
export type NotRunReason =
  | 'no-majority'
  | 'contested'
  | 'overloaded'
  | 'no-membership'
  | 'deadline'
  | 'cancelled'
  | 'closed';

/** Why there is no decision. In all cases this attempt never runs. */
export type ClaimRefusal =
  /** No other attempt was seen that may have run. */
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly retryAfterMilliseconds: number;
    }
  /** Another attempt is running and has no outcome yet. */
  | {readonly kind: 'in-progress'; readonly retryAfterMilliseconds: number}
  /** Another attempt may have run; its owner is gone or out of reach. */
  | {readonly kind: 'unknown'}
  /** The key was used for another request. */
  | {readonly kind: 'fingerprint-differs'};

/** Time after which a caller may try again. */
export const retryAfterMilliseconds = 1000;

export function notRunRefusal(reason: NotRunReason): ClaimRefusal {
  return {kind: 'not-run', reason, retryAfterMilliseconds};
}
