/** The random number abstraction of the library. Tests use a fixed seed. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniform random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/** Creates a deterministic source that is determined by `seed`. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / 2 ** 32};
}

/** Returns a uniform random integer in [0, `bound`). */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}
