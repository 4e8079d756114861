/** Timing of the sweep; see docs/design/ownership.md for the rationale. */

/** Timeout of a direct query to an owner. */
export const ownerReplyTimeoutMilliseconds = 1000;

/** Timeout of a query through a relay, including the relay's query to the owner. */
export const relayReplyTimeoutMilliseconds = 1500;

/** Timeout of a call to an engine. */
export const engineTimeoutMilliseconds = 1000;

/** Mean interval between two sweeps. */
export const sweepIntervalMilliseconds = 3000;

/** Maximum number of owners queried in one sweep that show no sign of failure. */
export const routineQueriesPerSweep = 4;

/** Younger attempts are skipped: most end before a sweep is worthwhile. */
export const minimumAttemptAgeMilliseconds = 2000;

/** Attempts of an owner that was silent for this long are cancelled. */
export const ownerSilenceTimeoutMilliseconds = 15_000;

/**
 * Minimum number of failed queries before attempts are cancelled, in addition to
 * the timeout above. A pause of the querying host resets the count.
 */
export const minimumFailedQueries = 4;

/**
 * If a local operation exceeds its time limit by more than this, the host is
 * assumed to have been paused.
 */
export const pauseToleranceMilliseconds = 1000;
