import type {RandomSource} from '../random.js';

/**
 * Draws an item with a probability in inverse proportion to its cost. Hosts that
 * choose the lowest of the same old reports would all choose the same upstream.
 */
export function drawByCost<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
  random: RandomSource,
): Item | undefined {
  const weighted = items.map(item => ({item, weight: 1 / costOf(item)}));
  const total = weighted.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const {item, weight} of weighted) {
    remaining -= weight;
    if (remaining < 0) return item;
  }
  return items.at(-1);
}
