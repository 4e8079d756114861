/**
 * Sleeps behind which a process concludes that nothing has arrived. Timers that expired
 * while the process stood still run before what arrived meanwhile is read.
 */

import type {Clock} from './clock.js';

/** A timer that fires later than this shows that the process stood still. */
const lateTimerMilliseconds = 10;

/** Time to read what arrived while the process stood still. */
const graceMilliseconds = 50;

/**
 * Resolves after `milliseconds`, once what has arrived until then is read, or when
 * `signal` is aborted.
 */
export async function sleepUntilRead(
  clock: Clock,
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  const wakesAt = clock.now() + milliseconds;
  await clock.sleep(milliseconds, signal);
  const isLate = clock.now() - wakesAt > lateTimerMilliseconds;
  // The event loop reads before it runs the timers of its next turn.
  await clock.sleep(isLate ? graceMilliseconds : 0, signal);
}
