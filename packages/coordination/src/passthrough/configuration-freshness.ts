/**
 * Tracks how recently the active configuration was proven to be the newest. A
 * key is accepted only while this proof is fresh, because a host behind a
 * network partition does not receive the withdrawal of a key. A proof is a
 * successful read, and its age counts from the start of the read.
 */

import type {Clock} from '../clock.js';

export interface ConfigurationFreshnessParts {
  readonly clock: Clock;
  /** Maximum age of a proof; unlimited if undefined. */
  readonly maximumAgeMilliseconds: number | undefined;
}

/**
 * Subtracted from the maximum age, because the clocks of two hosts differ in
 * rate and a check takes time.
 */
const maximumAgeMarginMilliseconds = 250;

/**
 * A wall clock that has advanced further than the steady clock by more than
 * this shows that the process was suspended.
 */
const suspensionMilliseconds = 400;

export class ConfigurationFreshness {
  /**
   * Steady and wall-clock time at which the read behind the newest proof
   * started.
   */
  private steady = -Infinity;
  private wall = -Infinity;

  constructor(private readonly parts: ConfigurationFreshnessParts) {}

  /**
   * Returns the current times. Pass them to `confirm` once the read that starts
   * now has succeeded.
   */
  startProof(): {readonly steady: number; readonly wall: number} {
    const {clock} = this.parts;
    return {steady: clock.now(), wall: clock.wallNow()};
  }

  /**
   * Records that a read that started at `proof` returned the newest version.
   */
  confirm(proof: {readonly steady: number; readonly wall: number}): void {
    if (proof.steady <= this.steady) return;
    this.steady = proof.steady;
    this.wall = proof.wall;
  }

  /**
   * Age of the newest proof in milliseconds; infinite before the first proof.
   */
  age(): number {
    const {clock} = this.parts;
    const steadyAge = clock.now() - this.steady;
    const wallAge = clock.wallNow() - this.wall;
    // A steady clock can stop while the machine is suspended. If the wall
    // clock was set forward instead, the next read renews the proof.
    return wallAge - steadyAge > suspensionMilliseconds ? wallAge : steadyAge;
  }

  /** Returns whether known keys may be accepted. */
  isFresh(): boolean {
    const {maximumAgeMilliseconds} = this.parts;
    if (maximumAgeMilliseconds === undefined) return true;
    return this.age() < maximumAgeMilliseconds - maximumAgeMarginMilliseconds;
  }
}
