/** Compares goodput results with the bounds. */

const reservingName = 'reserving';

/** Describes each violated bound in one line. */
export function findBoundViolations(bounds, results) {
  const violations = [];
  const checkBound = (title, value, isMet, bound) => {
    if (!isMet)
      violations.push(`${title}: ${value.toFixed(3)}, bound ${bound}`);
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
    const atCapacity = find(name, 1, reservingName);
    const overloaded = find(name, 3, reservingName);
    if (atCapacity !== undefined) {
      const {goodput, wasted, worstAccount} = atCapacity;
      const minimumGoodput = bounds.leastGoodputAtCapacity;
      checkBound(
        `${name} fraction of achievable goodput at 1.0`,
        atCapacity.reached,
        atCapacity.reached >= minimumGoodput,
        minimumGoodput,
      );
      const maximumWasted = bounds.greatestWastedPrefillAtCapacity;
      checkBound(
        `${name} wasted prefill at 1.0`,
        wasted,
        wasted < maximumWasted,
        maximumWasted,
      );
      const minimumFairShareRatio = bounds.leastWorstAccountAtCapacity;
      checkBound(
        `${name} worst account at 1.0`,
        worstAccount,
        worstAccount >= minimumFairShareRatio,
        minimumFairShareRatio,
      );
      const minimumRatio = bounds.leastGoodputUnderOverload;
      const ratio = overloaded === undefined ? 1 : overloaded.goodput / goodput;
      checkBound(
        `${name} goodput at 3.0 of that at 1.0`,
        ratio,
        ratio >= minimumRatio,
        minimumRatio,
      );
    }
    const even = find(name, 0.7, 'reserving, even');
    const uneven = find(name, 0.7, 'reserving, first at 5x');
    if (even === undefined || uneven === undefined) continue;
    const loss = lossOfOthers(even, uneven);
    const maximumLoss = bounds.greatestLossOfOthers;
    console.log(
      `${name}: others lose ${(loss * 100).toFixed(1)}% when one account sends five times its rate`,
    );
    checkBound(
      `${name} loss of others`,
      loss,
      loss <= maximumLoss,
      maximumLoss,
    );
  }
  return violations;
}

/** Maximum relative loss of on-target cost among the other accounts. */
function lossOfOthers(even, uneven) {
  const losses = Object.entries(even.onTargetCostByAccount)
    .filter(([account]) => account !== 'first')
    .map(
      ([account, cost]) =>
        1 - (uneven.onTargetCostByAccount[account] ?? 0) / cost,
    );
  return Math.max(...losses);
}
