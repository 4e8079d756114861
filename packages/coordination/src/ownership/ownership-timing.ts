/** Timing of the sweep; see docs/design/ownership.md for the rationale. */

/** Timeout of a direct query to an owner. */
export const ownerReplyTimeoutMilliseconds = 1000;

/** Timeout of a query through a relay, including the relay's query to the owner. */
export const relayReplyTimeoutMilliseconds = 1500;

/** Timeout of a call to an engine. */
export const engineTimeoutMilliseconds = 1000;

/** Mean interval between two sweeps. */
export const sweepIntervalMilliseconds = 3000;

/** Number of owners queried in one sweep without an indication of failure. */
export const routineQueriesPerSweep = 4;

/** Younger attempts are skipped: most end before a sweep is worthwhile. */
export const minimumAttemptAgeMilliseconds = 2000;

/** Attempts of an owner that was unreachable for this long are cancelled. */
export const ownerSilenceTimeoutMilliseconds = 15_000;

/**
 * Number of queries that must also have failed before attempts are cancelled. A
 * pause of the querying host resets the count.
 */
export const minimumFailedQueries = 4;

/** A local operation that exceeds its time limit by more than this was paused. */
export const pauseToleranceMilliseconds = 1000;
