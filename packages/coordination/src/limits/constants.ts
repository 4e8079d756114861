/** Times and sizes that all limiters of a fleet share. */

/** Number of holders of a client account in each failure domain. */
export const defaultHoldersPerDomain = 1;

/**
 * Time for which a borrower uses a grant, measured from a clock reading taken
 * before its request. Kept short because lent tokens occupy capacity of the
 * holder's bucket.
 */
export const grantLifetimeMilliseconds = 100;

/** Lifetime of a grant that includes spare tokens for later requests. */
export const spareLifetimeMilliseconds = 250;

/** Longest lifetime that a holder accepts in a request. */
export const maximumLifetimeMilliseconds = 1_000;

/** Time for which a holder keeps a grant's record to accept returned tokens. */
export const grantRetentionMilliseconds = 120_000;

/** Timeout of one exchange with a holder. */
export const exchangeTimeoutMilliseconds = 30;

/** Time after which no further round of grant requests starts for a batch. */
export const collectTimeoutMilliseconds = 80;

/** Longest time that a request waits for a refill. */
export const maximumRefillWaitMilliseconds = 100;

/** Time after a refusal during which no request waits for a refill. */
export const noWaitAfterRefusalMilliseconds = 1_000;

/** Shortest interval between probes of a holder that did not reply. */
export const probeIntervalMilliseconds = 1_000;

/** Time for which a reported level counts as current. */
export const levelFreshnessMilliseconds = 50;

/** Interval between checks for grants that are about to expire. */
export const returnIntervalMilliseconds = 25;

/** Interval between maintenance passes. */
export const maintenanceIntervalMilliseconds = 2_000;

/** Time before its expiry at which a grant is returned. */
export const returnLeadMilliseconds = 40;

/** Time after which the memory of an unused account is released. */
export const idleTimeoutMilliseconds = 10_000;

/** Time for which a holder counts a grant, longer than its borrower uses it. */
export function outstandingGrantMilliseconds(
  lifetimeMilliseconds: number,
): number {
  return lifetimeMilliseconds * 1.25 + 25;
}

/** Longest time for which a holder counts any grant. */
export const maximumOutstandingGrantMilliseconds = outstandingGrantMilliseconds(
  maximumLifetimeMilliseconds,
);
