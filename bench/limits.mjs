/**
 * Compares methods of dividing the rate and burst of an account between hosts by
 * their wrongful refusals: requests that one central bucket would admit. Also
 * measures the cost of one admission and of 6,100 accounts. Arguments: a seed, and
 * the burst as seconds of the rate.
 */

import {performance} from 'node:perf_hooks';
import {
  randomBelow,
  seededRandom,
} from '../packages/coordination/dist/src/index.js';
import {
  CentralFleet,
  FixedShareFleet,
  LimiterFleet,
  domainOf,
  hostCount,
  members,
} from './limits-fleet.mjs';
import {measureMemory, measureAdmission} from './limits-cost.mjs';

const seed = Number(process.argv[2] ?? 20261204);
const burstSeconds = Number(process.argv[3] ?? 5);
const warmUpMilliseconds = 12_000;
const durationMilliseconds = 120_000;
const rateTokensPerSecond = 20_000;
const meanUsedTokens = 2_000;
/** Demand of an account as a fraction of its rate. */
const load = 0.7;

const accounts = Array.from({length: 5}, (_, index) => ({
  name: `account-${index}`,
  rate: rateTokensPerSecond,
  burst: rateTokensPerSecond * burstSeconds,
}));

const evenHost = random => randomBelow(random, hostCount);
const mostlyFirstHost = random =>
  random.next() < 0.9 ? 0 : 1 + randomBelow(random, hostCount - 1);

const scenarios = [
  {name: 'even', chooseHost: evenHost},
  {name: '90% through one host', chooseHost: mostlyFirstHost},
  {name: 'one domain cut off, even', chooseHost: evenHost, cutDomain: 2},
  {
    name: 'one domain cut off, 90% through one of its hosts',
    chooseHost: mostlyFirstHost,
    cutDomain: 0,
  },
  {
    name: 'one host replaced each 10 s',
    chooseHost: evenHost,
    replacesHosts: true,
  },
  {
    name: 'one account at five times its rate',
    chooseHost: evenHost,
    overloadFactor: 5,
  },
];

const methods = [
  {name: 'fixed share per host', create: () => new FixedShareFleet(accounts)},
  {
    name: 'one holder per account',
    create: () =>
      new LimiterFleet(accounts, {
        memberList: [members[4]],
        holdersPerDomain: 1,
      }),
  },
  ...[1, 2, 3].map(holdersPerDomain => ({
    name: `shares per domain, holders per domain: ${holdersPerDomain}`,
    create: () => new LimiterFleet(accounts, {holdersPerDomain}),
  })),
];

/** Draws the arrivals of all accounts, ordered by time. */
function drawArrivals(scenario) {
  const random = seededRandom(seed);
  const arrivals = accounts.flatMap(({name}, index) => {
    const demandFactor = index === 0 ? (scenario.overloadFactor ?? load) : load;
    const arrivalsPerMillisecond =
      (rateTokensPerSecond * demandFactor) / meanUsedTokens / 1_000;
    const accountArrivals = [];
    let at = warmUpMilliseconds;
    for (;;) {
      at -= Math.log(1 - random.next()) / arrivalsPerMillisecond;
      if (at > warmUpMilliseconds + durationMilliseconds)
        return accountArrivals;
      const prompt = 500 + randomBelow(random, 2_000);
      const maximumOutput = 1_000;
      const usedOutput = randomBelow(random, maximumOutput + 1);
      accountArrivals.push({
        at,
        account: name,
        isAccountOverRate: demandFactor > 1,
        host: scenario.chooseHost(random),
        tokens: prompt + maximumOutput,
        usedTokens: prompt + usedOutput,
        serviceMilliseconds: 300 + usedOutput * 10,
      });
    }
  });
  return arrivals.sort((left, right) => left.at - right.at);
}

/** Plays `arrivals` against `fleet` with the faults of `scenario`. */
async function simulate(fleet, scenario, arrivals) {
  const {clock} = fleet;
  const waits = [];
  const admitted = new Set();
  const running = [];
  let nextReplacement = warmUpMilliseconds + 10_000;
  let replacements = 0;
  // The partition starts after a third of the measured time and lasts a third.
  const cutMilliseconds = durationMilliseconds / 3;
  const serve = async arrival => {
    const requestedAt = clock.now();
    const result = await fleet.admit(
      arrival.host,
      arrival.account,
      arrival.tokens,
    );
    if (!result.isOk) return;
    waits.push(clock.now() - requestedAt);
    admitted.add(arrival);
    await clock.sleep(arrival.serviceMilliseconds);
    result.value.settle(arrival.usedTokens);
  };
  for (const arrival of arrivals) {
    while (scenario.replacesHosts && arrival.at > nextReplacement) {
      await clock.advance(nextReplacement - clock.now());
      fleet.replace(replacements % hostCount);
      replacements += 1;
      nextReplacement += 10_000;
    }
    const sinceStart = arrival.at - warmUpMilliseconds;
    const isCut =
      sinceStart > cutMilliseconds && sinceStart < 2 * cutMilliseconds;
    fleet.cutDomain = isCut ? scenario.cutDomain : undefined;
    await clock.advance(Math.max(0, arrival.at - clock.now()));
    running.push(serve(arrival));
  }
  await clock.runUntil(Promise.all(running));
  await fleet.close();
  waits.sort((left, right) => left - right);
  return {admitted, waits, exchangeCount: fleet.exchangeCount};
}

/** Number of requests by which demand exceeds the share of a partition side. */
function requestsBeyondCutShare(scenario, arrivals) {
  if (scenario.cutDomain === undefined) return 0;
  const cutMilliseconds = durationMilliseconds / 3;
  const start = warmUpMilliseconds + cutMilliseconds;
  const isDuringCut = ({at}) => at > start && at < start + cutMilliseconds;
  let excessTokens = 0;
  for (const {name} of accounts)
    for (const isCutOffSide of [true, false]) {
      const demand = arrivals
        .filter(isDuringCut)
        .filter(({account}) => account === name)
        .filter(
          ({host}) => (domainOf(host) === scenario.cutDomain) === isCutOffSide,
        )
        .reduce((sum, {usedTokens}) => sum + usedTokens, 0);
      const share = isCutOffSide ? 1 / 3 : 2 / 3;
      excessTokens += Math.max(
        0,
        demand - (share * rateTokensPerSecond * cutMilliseconds) / 1_000,
      );
    }
  return excessTokens / meanUsedTokens;
}

const percent = (part, whole) => `${((100 * part) / whole).toFixed(2)}%`;

function report(method, arrivals, central, result) {
  const withinRate = arrivals.filter(arrival => !arrival.isAccountOverRate);
  const wrongful = withinRate.filter(
    arrival => central.admitted.has(arrival) && !result.admitted.has(arrival),
  );
  const usedTokensOf = set =>
    arrivals
      .filter(arrival => arrival.isAccountOverRate && set.has(arrival))
      .reduce((sum, {usedTokens}) => sum + usedTokens, 0);
  const centralUsedTokens = usedTokensOf(central.admitted);
  const shortfall =
    centralUsedTokens === 0
      ? '-'
      : percent(
          centralUsedTokens - usedTokensOf(result.admitted),
          centralUsedTokens,
        );
  const quantile = fraction =>
    result.waits[Math.floor(result.waits.length * fraction)].toFixed(1);
  const exchangesPerRequest = (result.exchangeCount / arrivals.length).toFixed(
    2,
  );
  console.log(
    `| ${method} | ${percent(wrongful.length, withinRate.length)} | ${shortfall} | ${exchangesPerRequest} | ${quantile(0.5)} | ${quantile(0.99)} |`,
  );
}

console.log(`seed ${seed}, burst of ${burstSeconds} s of the rate`);
for (const scenario of scenarios) {
  const arrivals = drawArrivals(scenario);
  const central = await simulate(
    new CentralFleet(accounts),
    scenario,
    arrivals,
  );
  const refused = arrivals.length - central.admitted.size;
  console.log(
    `\n${scenario.name}: ${arrivals.length} requests, a central bucket refuses ${refused}, demand beyond the share of a partition side accounts for ${percent(requestsBeyondCutShare(scenario, arrivals), arrivals.length)}\n`,
  );
  console.log(
    '| Method | Wrongly refused | Shortfall of the account over its rate | Exchanges per request | Wait p50 (ms) | Wait p99 (ms) |',
  );
  console.log('| --- | --- | --- | --- | --- | --- |');
  for (const method of methods)
    report(
      method.name,
      arrivals,
      central,
      await simulate(method.create(), scenario, arrivals),
    );
}

const startedAt = performance.now();
await measureAdmission();
await measureMemory();
console.log(`cost measured in ${Math.round(performance.now() - startedAt)} ms`);
