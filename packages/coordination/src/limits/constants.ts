/** Times and sizes that the hosts of a fleet share for limits. */

/** Holders of each client account in each failure domain. */
export const defaultHoldersPerDomain = 1;

/**
 * How long a borrower uses a grant, counted from before it asked. What a holder
 * lends takes room in its bucket, so this is short.
 */
export const grantLifetimeMilliseconds = 100;

/** The same for a grant with tokens for requests to come. */
export const spareLifetimeMilliseconds = 250;

/** Longest lifetime that a holder accepts. */
export const maximumLifetimeMilliseconds = 1_000;

/** How long a holder remembers a grant so that unused tokens can come back. */
export const grantMemoryMilliseconds = 120_000;

/** Longest wait for one answer of a holder. */
export const exchangeTimeoutMilliseconds = 30;

/** Longest time spent on collecting grants for waiting requests. */
export const collectTimeoutMilliseconds = 80;

/** Longest wait of a request for tokens that are about to be refilled. */
export const refillWaitMilliseconds = 100;

/** How long after a refusal no request waits for a refill. */
export const overloadMemoryMilliseconds = 1_000;

/** How long a holder that gave no answer is not asked. */
export const suspectMilliseconds = 1_000;

/** How long what a holder said of its level is taken for true. */
export const freshMilliseconds = 50;

/** Time between two looks for grants that are about to expire. */
export const returnIntervalMilliseconds = 25;

/** Time between two rounds of upkeep. */
export const upkeepMilliseconds = 2_000;

/** Time before its expiry at which a grant is given back. */
export const returnAheadMilliseconds = 40;

/** How long an account must be unused before its memory is released. */
export const idleMilliseconds = 10_000;

/** Time that a holder counts a grant: longer than its borrower does. */
export function holdingMilliseconds(lifetimeMilliseconds: number): number {
  return lifetimeMilliseconds * 1.25 + 25;
}

/** Longest time that a holder counts any grant. */
export const maximumHoldingMilliseconds = holdingMilliseconds(
  maximumLifetimeMilliseconds,
);
