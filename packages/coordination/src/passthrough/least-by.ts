/** Choosing by cost. */

/** The item with the least cost. */
export function leastBy<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
): Item | undefined {
  let best: Item | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = costOf(item);
    if (best === undefined || cost < bestCost) {
      best = item;
      bestCost = cost;
    }
  }
  return best;
}
