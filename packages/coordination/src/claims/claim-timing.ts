/** Times and bounds that every part of the claims protocol shares. */

import type {RandomSource} from '../random.js';

/** Time from an attempt's first message within which its grants count. */
export const claimWindowMilliseconds = 1000;

/** Largest relative difference in speed of two hosts' clocks. */
export const maximumClockDriftFraction = 0.01;

/** Time for which a restarted witness grants nothing. */
export const witnessAbstentionMilliseconds =
  claimWindowMilliseconds * (1 + 2 * maximumClockDriftFraction);

/** Retention of claims when the Membership names none. */
export const defaultClaimRetentionMilliseconds = 600_000;

/** Largest body of an outcome that is kept. */
export const maximumOutcomeBytes = 64 * 1024;

/** Bounds of a witness's memory. */
export interface WitnessBounds {
  /** New claims are refused above this number. */
  readonly maximumClaims: number;
  /** Bodies above this total are not kept. */
  readonly maximumBodyBytes: number;
  /** The oldest tombstones above this number are dropped. */
  readonly maximumTombstones: number;
}

export const defaultWitnessBounds: WitnessBounds = {
  maximumClaims: 50_000,
  maximumBodyBytes: 32 * 1024 * 1024,
  maximumTombstones: 20_000,
};

const firstRetryMilliseconds = 50;
const longestRetryMilliseconds = 5000;

/** Jittered exponential delay before try number `attempt`, counted from zero. */
export function retryDelay(random: RandomSource, attempt: number): number {
  const bound = Math.min(
    longestRetryMilliseconds,
    firstRetryMilliseconds * 2 ** attempt,
  );
  return bound * (0.5 + random.next() / 2);
}
