/** Selection of values from lists. */

import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';

/** The value with the lowest cost, the first one among equals. */
export function minimumBy<Value>(
  values: readonly Value[],
  costOf: (value: Value) => number,
): Value | undefined {
  let best: Value | undefined;
  let bestCost = Infinity;
  for (const value of values) {
    const cost = costOf(value);
    if (cost >= bestCost) continue;
    best = value;
    bestCost = cost;
  }
  return best;
}

/** Up to `count` distinct values, chosen uniformly at random. */
export function sample<Value>(
  random: RandomSource,
  values: readonly Value[],
  count: number,
): Value[] {
  const rest = [...values];
  const chosen: Value[] = [];
  while (chosen.length < count && rest.length > 0) {
    const [value] = rest.splice(randomBelow(random, rest.length), 1);
    chosen.push(value!);
  }
  return chosen;
}
