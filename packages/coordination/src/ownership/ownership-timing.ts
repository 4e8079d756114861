/** Times of the sweep; docs/design/ownership.md argues them. */

/** Time that an owner has for an answer. */
export const ownerAnswerMilliseconds = 1000;

/** Time that a relay has for an answer, its own question included. */
export const relayAnswerMilliseconds = 1500;

/** Time that an engine has for an answer. */
export const engineAnswerMilliseconds = 1000;

/** Time between two sweeps. */
export const sweepIntervalMilliseconds = 3000;

/** Owners that are asked in one sweep although nothing speaks against them. */
export const questionsForEachSweep = 4;

/** Younger attempts are left alone: most end before a sweep is worth it. */
export const minimumAgeMilliseconds = 2000;

/** An owner that nobody could ask for this long loses its attempts. */
export const ownerSilenceMilliseconds = 15_000;

/** Questions that must have failed in that time, each while awake. */
export const minimumFailedQuestions = 4;

/** An own step that took this much longer than it may shows a pause. */
export const pauseSlackMilliseconds = 1000;
