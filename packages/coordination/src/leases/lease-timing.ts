/** Times that holders and witnesses of leases share. */

import {maximumClockDriftFraction} from '../claims/claim-timing.js';

/** Time for which a witness grants a lease. */
export const leaseDurationMilliseconds = 10_000;

/** Time for which a holder uses a lease, from before it asked for it. */
export const leaseUseMilliseconds =
  leaseDurationMilliseconds * (1 - 2 * maximumClockDriftFraction);

/** Time for which a restarted witness grants no lease. */
export const leaseAbstentionMilliseconds =
  leaseDurationMilliseconds * (1 + 2 * maximumClockDriftFraction);

/** Time between renewals. */
export const leaseRenewalMilliseconds = leaseDurationMilliseconds / 3;

/**
 * Longest time from the check of a lease to the moment at which an upstream has
 * acted on the order: a pause, the network and the upstream's own queue.
 */
export const defaultMessageLifetimeMilliseconds = 15_000;
