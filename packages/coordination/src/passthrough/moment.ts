/**
 * Ages that include the time for which the machine was suspended, in which a steady
 * clock can stand still.
 */

import type {Clock} from '../clock.js';

/** A time on both clocks of the process, in milliseconds. */
export interface Moment {
  readonly steady: number;
  readonly wall: number;
}

/** Before any moment of the process. */
export const beforeStart: Moment = {steady: -Infinity, wall: -Infinity};

/**
 * A wall clock that has advanced further than the steady clock by more than this
 * shows that the process was suspended, or that the wall clock was set forward.
 */
const suspensionMilliseconds = 400;

export function currentMoment(clock: Clock): Moment {
  return {steady: clock.now(), wall: clock.wallNow()};
}

/** Milliseconds since `moment`; too many if the wall clock was set forward since. */
export function ageOf(clock: Clock, moment: Moment): number {
  const steadyAge = clock.now() - moment.steady;
  const wallAge = clock.wallNow() - moment.wall;
  return wallAge - steadyAge > suspensionMilliseconds ? wallAge : steadyAge;
}
