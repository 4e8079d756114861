/** Timing and size limits of the claims protocol. */

import type {RandomSource} from '../random.js';

/** Time after an attempt's start during which its grants are valid. */
export const claimWindowMilliseconds = 1000;

/** Maximum relative rate difference between the clocks of two hosts. */
export const maximumClockDriftFraction = 0.01;

/**
 * Time during which a restarted witness grants nothing: grants that it made before
 * the restart can still be counted within the claim window, which is extended by
 * twice the clock drift.
 */
export const oldGrantLifetimeMilliseconds =
  claimWindowMilliseconds * (1 + 2 * maximumClockDriftFraction);

/** Retention of claims when the Membership sets none. */
export const defaultClaimRetentionMilliseconds = 600_000;

/** Maximum size of a stored outcome body. */
export const maximumOutcomeBodyBytes = 64 * 1024;

/** Memory limits of a witness. */
export interface WitnessLimits {
  /** New claims are refused once this number is reached. */
  readonly maximumClaims: number;
  /** Bodies that would exceed this total are omitted. */
  readonly maximumBodyBytes: number;
  /** The oldest tombstones above this number are dropped. */
  readonly maximumTombstones: number;
}

export const defaultWitnessLimits: WitnessLimits = {
  maximumClaims: 50_000,
  maximumBodyBytes: 32 * 1024 * 1024,
  maximumTombstones: 20_000,
};

const initialRetryDelayMilliseconds = 50;
const maximumRetryDelayMilliseconds = 5000;

/**
 * Returns the exponential backoff with jitter before the next retry; `retryCount`
 * starts at zero.
 */
export function retryDelayMilliseconds(
  random: RandomSource,
  retryCount: number,
): number {
  const maximumMilliseconds = Math.min(
    maximumRetryDelayMilliseconds,
    initialRetryDelayMilliseconds * 2 ** retryCount,
  );
  return maximumMilliseconds * (0.5 + random.next() / 2);
}
