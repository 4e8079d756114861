/**
 * Wrongful refusals of the ways to share rate and burst, on the same arrivals,
 * and what one admission and 6,100 accounts cost. Arguments: a seed, and the
 * burst in seconds of the rate.
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
import {measureMemory, measureSpeed} from './limits-cost.mjs';

const seed = Number(process.argv[2] ?? 20261204);
const burstSeconds = Number(process.argv[3] ?? 5);
const warmUpMilliseconds = 12_000;
const durationMilliseconds = 120_000;
const rate = 20_000;
const meanUsedTokens = 2_000;
const load = 0.7;

const accounts = Array.from({length: 5}, (_, index) => ({
  name: `account-${index}`,
  rate,
  burst: rate * burstSeconds,
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
  {name: 'one host replaced each 10 s', chooseHost: evenHost, replaces: true},
  {
    name: 'one account at five times its rate',
    chooseHost: evenHost,
    overload: 5,
  },
];

const ways = [
  {name: 'fixed share per host', make: () => new FixedShareFleet(accounts)},
  {
    name: 'one holder per account',
    make: () =>
      new LimiterFleet(accounts, {
        listed: [members[4]],
        holdersPerDomain: 1,
      }),
  },
  ...[1, 2, 3].map(holdersPerDomain => ({
    name: `shares per domain, k=${holdersPerDomain}`,
    make: () => new LimiterFleet(accounts, {holdersPerDomain}),
  })),
];

/** Arrivals of all accounts, by time. */
function makeArrivals(scenario) {
  const random = seededRandom(seed);
  const arrivals = accounts.flatMap(({name}, index) => {
    const factor = index === 0 ? (scenario.overload ?? load) : load;
    const perMillisecond = (rate * factor) / meanUsedTokens / 1_000;
    const own = [];
    let at = warmUpMilliseconds;
    for (;;) {
      at -= Math.log(1 - random.next()) / perMillisecond;
      if (at > warmUpMilliseconds + durationMilliseconds) return own;
      const prompt = 500 + randomBelow(random, 2_000);
      const output = 1_000;
      const usedOutput = randomBelow(random, output + 1);
      own.push({
        at,
        account: name,
        isOverloaded: factor > 1,
        host: scenario.chooseHost(random),
        tokens: prompt + output,
        used: prompt + usedOutput,
        runMilliseconds: 300 + usedOutput * 10,
      });
    }
  });
  return arrivals.sort((left, right) => left.at - right.at);
}

async function play(fleet, scenario, arrivals) {
  const {clock} = fleet;
  const waits = [];
  const admitted = new Set();
  const running = [];
  let nextReplacement = warmUpMilliseconds + 10_000;
  let replaced = 0;
  const third = durationMilliseconds / 3;
  const serve = async arrival => {
    const asked = clock.now();
    const result = await fleet.admit(
      arrival.host,
      arrival.account,
      arrival.tokens,
    );
    if (!result.isOk) return;
    waits.push(clock.now() - asked);
    admitted.add(arrival);
    await clock.sleep(arrival.runMilliseconds);
    result.value.settle(arrival.used);
  };
  for (const arrival of arrivals) {
    while (scenario.replaces && arrival.at > nextReplacement) {
      await clock.advance(nextReplacement - clock.now());
      fleet.replace(replaced % hostCount);
      replaced += 1;
      nextReplacement += 10_000;
    }
    const sinceStart = arrival.at - warmUpMilliseconds;
    const isCut = sinceStart > third && sinceStart < 2 * third;
    fleet.cutDomain = isCut ? scenario.cutDomain : undefined;
    await clock.advance(Math.max(0, arrival.at - clock.now()));
    running.push(serve(arrival));
  }
  await clock.runUntil(Promise.all(running));
  await fleet.close();
  waits.sort((left, right) => left - right);
  return {admitted, waits, messages: fleet.messages};
}

/** Requests that the share of a cut-off side cannot carry at its rate. */
function explainedByCut(scenario, arrivals) {
  if (scenario.cutDomain === undefined) return 0;
  const third = durationMilliseconds / 3;
  const start = warmUpMilliseconds + third;
  const isInCut = ({at}) => at > start && at < start + third;
  let excessTokens = 0;
  for (const {name} of accounts)
    for (const isCutSide of [true, false]) {
      const demand = arrivals
        .filter(isInCut)
        .filter(({account}) => account === name)
        .filter(
          ({host}) => (domainOf(host) === scenario.cutDomain) === isCutSide,
        )
        .reduce((sum, {used}) => sum + used, 0);
      const share = isCutSide ? 1 / 3 : 2 / 3;
      excessTokens += Math.max(0, demand - (share * rate * third) / 1_000);
    }
  return excessTokens / meanUsedTokens;
}

const percent = (part, whole) => `${((100 * part) / whole).toFixed(2)}%`;

function report(way, arrivals, central, result) {
  const inside = arrivals.filter(arrival => !arrival.isOverloaded);
  const wrongful = inside.filter(
    arrival => central.admitted.has(arrival) && !result.admitted.has(arrival),
  );
  const usedOf = set =>
    arrivals
      .filter(arrival => arrival.isOverloaded && set.has(arrival))
      .reduce((sum, {used}) => sum + used, 0);
  const centralUsed = usedOf(central.admitted);
  const shortfall =
    centralUsed === 0
      ? '-'
      : percent(centralUsed - usedOf(result.admitted), centralUsed);
  const at = share =>
    result.waits[Math.floor(result.waits.length * share)].toFixed(1);
  const each = (result.messages / arrivals.length).toFixed(2);
  console.log(
    `| ${way} | ${percent(wrongful.length, inside.length)} | ${shortfall} | ${each} | ${at(0.5)} | ${at(0.99)} |`,
  );
}

console.log(`seed ${seed}, burst of ${burstSeconds} s of the rate`);
for (const scenario of scenarios) {
  const arrivals = makeArrivals(scenario);
  const central = await play(new CentralFleet(accounts), scenario, arrivals);
  const refused = arrivals.length - central.admitted.size;
  console.log(
    `\n${scenario.name}: ${arrivals.length} requests, a central bucket refuses ${refused}, the cut-off share explains ${percent(explainedByCut(scenario, arrivals), arrivals.length)}\n`,
  );
  console.log(
    '| Way | Wrongly refused | Shortfall of the account over its rate | Exchanges a request | Wait p50 (ms) | Wait p99 (ms) |',
  );
  console.log('| --- | --- | --- | --- | --- | --- |');
  for (const way of ways)
    report(
      way.name,
      arrivals,
      central,
      await play(way.make(), scenario, arrivals),
    );
}

const started = performance.now();
await measureSpeed();
await measureMemory();
console.log(`cost measured in ${Math.round(performance.now() - started)} ms`);
