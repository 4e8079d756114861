/** Compares results with the bounds. */

const reservingName = 'reserving';

/** One line for each bound that does not hold. */
export function findBrokenBounds(bounds, results) {
  const broken = [];
  const check = (title, value, isKept, bound) => {
    if (!isKept) broken.push(`${title}: ${value.toFixed(3)}, bound ${bound}`);
  };
  const find = (name, load, policyName) =>
    results.find(
      result =>
        result.name === name &&
        result.load === load &&
        result.fault === 'none' &&
        result.policyName === policyName,
    )?.figures;
  for (const name of new Set(results.map(result => result.name))) {
    const full = find(name, 1, reservingName);
    const over = find(name, 3, reservingName);
    if (full !== undefined) {
      const {goodput, wasted, worstAccount} = full;
      const least = bounds.leastGoodputAtCapacity;
      check(
        `${name} goodput at 1.0`,
        full.reached,
        full.reached >= least,
        least,
      );
      const most = bounds.greatestWastedPrefillAtCapacity;
      check(`${name} wasted prefill at 1.0`, wasted, wasted < most, most);
      const fair = bounds.leastWorstAccountAtCapacity;
      check(
        `${name} worst account at 1.0`,
        worstAccount,
        worstAccount >= fair,
        fair,
      );
      const kept = bounds.leastGoodputUnderOverload;
      const ratio = over === undefined ? 1 : over.goodput / goodput;
      check(
        `${name} goodput at 3.0 of that at 1.0`,
        ratio,
        ratio >= kept,
        kept,
      );
    }
    const even = find(name, 0.7, 'reserving, even');
    const uneven = find(name, 0.7, 'reserving, first at 5x');
    if (even === undefined || uneven === undefined) continue;
    const loss = lossOfOthers(even, uneven);
    const most = bounds.greatestLossOfOthers;
    console.log(
      `${name}: others lose ${(loss * 100).toFixed(1)}% when one account sends five times its rate`,
    );
    check(`${name} loss of others`, loss, loss <= most, most);
  }
  return broken;
}

/** Greatest loss of an account's goodput but for the one that sends more. */
function lossOfOthers(even, uneven) {
  const losses = Object.entries(even.goodByAccount)
    .filter(([account]) => account !== 'first')
    .map(([account, cost]) => 1 - (uneven.goodByAccount[account] ?? 0) / cost);
  return Math.max(...losses);
}
