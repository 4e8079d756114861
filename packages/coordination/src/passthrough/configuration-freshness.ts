/**
 * Shows that the configuration in force was the newest not long ago. A key
 * counts only while this holds, because a host that is cut off does not learn
 * of withdrawals.
 */

import type {Clock} from '../clock.js';

export interface ConfigurationFreshnessParts {
  readonly clock: Clock;
  /** Longest age of a proof; unlimited when undefined. */
  readonly maximumAgeMilliseconds: number | undefined;
}

/** Clocks of two hosts differ in rate, and a check takes time. */
const safetyMilliseconds = 250;

/** Wall time that runs ahead by more shows that the process was suspended. */
const suspensionMilliseconds = 400;

export class ConfigurationFreshness {
  /** Steady and wall time at which the newest proof was asked for. */
  private steady = -Infinity;
  private wall = -Infinity;

  constructor(private readonly parts: ConfigurationFreshnessParts) {}

  /** Now, to be handed to `confirm` when the read that starts now succeeds. */
  startProof(): {readonly steady: number; readonly wall: number} {
    const {clock} = this.parts;
    return {steady: clock.now(), wall: clock.wallNow()};
  }

  /** Notes that a read that began at `proof` saw the newest version. */
  confirm(proof: {readonly steady: number; readonly wall: number}): void {
    if (proof.steady <= this.steady) return;
    this.steady = proof.steady;
    this.wall = proof.wall;
  }

  /** Age of the newest proof, in milliseconds; infinite before the first. */
  age(): number {
    const {clock} = this.parts;
    const steadyAge = clock.now() - this.steady;
    const wallAge = clock.wallNow() - this.wall;
    // A steady clock may stand still while the machine is suspended. A wall
    // clock may also be set ahead: then the next read brings a new proof.
    return wallAge - steadyAge > suspensionMilliseconds ? wallAge : steadyAge;
  }

  /** True while a key that is known may be served. */
  isFresh(): boolean {
    const {maximumAgeMilliseconds} = this.parts;
    if (maximumAgeMilliseconds === undefined) return true;
    return this.age() < maximumAgeMilliseconds - safetyMilliseconds;
  }
}
