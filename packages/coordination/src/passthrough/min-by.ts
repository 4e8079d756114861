/** Returns the item with the lowest cost. */
export function minBy<Item>(
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
