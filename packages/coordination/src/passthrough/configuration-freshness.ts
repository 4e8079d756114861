/**
 * Tracks how recently the active configuration was proven to be the newest. A
 * key is accepted only while this proof is fresh, because a host behind a
 * network partition does not receive the withdrawal of a key. A proof is a
 * successful read, and its age counts from the start of the read.
 */

import type {Clock} from '../clock.js';
import {ageOf, beforeStart, currentMoment} from './moment.js';
import type {Moment} from './moment.js';

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

export class ConfigurationFreshness {
  /** The start of the read behind the newest proof. */
  private provenAt = beforeStart;

  constructor(private readonly parts: ConfigurationFreshnessParts) {}

  /**
   * Returns the current times. Pass them to `confirm` once the read that starts
   * now has succeeded.
   */
  startProof(): Moment {
    return currentMoment(this.parts.clock);
  }

  /**
   * Records that a read that started at `proof` returned the newest version.
   */
  confirm(proof: Moment): void {
    if (proof.steady > this.provenAt.steady) this.provenAt = proof;
  }

  /**
   * Age of the newest proof in milliseconds; infinite before the first proof.
   */
  age(): number {
    // If the wall clock was set forward, the next read renews the proof.
    return ageOf(this.parts.clock, this.provenAt);
  }

  /** Returns whether known keys may be accepted. */
  isFresh(): boolean {
    const {maximumAgeMilliseconds} = this.parts;
    if (maximumAgeMilliseconds === undefined) return true;
    return this.age() < maximumAgeMilliseconds - maximumAgeMarginMilliseconds;
  }
}
