/** Randomness as the library sees it, so that tests run from a seed. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of numbers from 0 up to, not including, 1. */
export interface RandomSource {
  next(): number;
}

/** A source that gives the same numbers for the same seed. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => (generator.next() >>> 0) / 2 ** 32};
}

/** A whole number from 0 up to, not including, `bound`. */
export function randomBelow(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}
