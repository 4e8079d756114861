/** Times that holders and witnesses of leases share. */

import {maximumClockDriftFraction} from '../claims/claim-timing.js';

/** Time for which a witness grants a lease. */
export const leaseDurationMilliseconds = 10_000;

/**
 * Time for which a holder uses a lease, measured from a clock reading taken
 * before its request.
 */
export const leaseValidityMilliseconds =
  leaseDurationMilliseconds * (1 - 2 * maximumClockDriftFraction);

/** Time after a restart during which a witness grants no lease. */
export const leaseAbstentionMilliseconds =
  leaseDurationMilliseconds * (1 + 2 * maximumClockDriftFraction);

/** Interval between renewals. */
export const leaseRenewalIntervalMilliseconds = leaseDurationMilliseconds / 3;

/**
 * Longest time from the check of a lease until an upstream has carried out the
 * order. Covers process pauses, the network and the queue of the upstream.
 */
export const defaultMessageLifetimeMilliseconds = 15_000;
