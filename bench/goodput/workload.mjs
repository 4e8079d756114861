/** Fleets and workloads of the two deployments. */

import {seededRandom} from '../../packages/coordination/dist/src/index.js';

export const targets = {
  firstTokenMilliseconds: 1_500,
  betweenTokensMilliseconds: 60,
};

const blockTokens = 2_000;
const preambleTokens = 2_000;
const decodeSlots = 20;
const decodeStepMilliseconds = 25;
const prefillTokensPerSecond = 45_000;
const bytesPerToken = 4_000;
const linkBytesPerSecond = 2_000_000_000;
const uncachedTokens = {minimum: 800, maximum: 4_800};
const outputTokens = {minimum: 30, maximum: 90};

/** Fraction of the demand by account, also the weight of the account. */
const accountWeights = {
  first: 0.35,
  second: 0.3,
  third: 0.15,
  fourth: 0.12,
  fifth: 0.08,
};

/** Cache blocks of a prompt in the format `account:tokens:name`. */
const promptBlocks = (scope, prompt) => {
  const [, tokens, name] = prompt.split(':');
  const count = Math.floor(Number(tokens) / blockTokens);
  return Array.from({length: count}, (_, index) =>
    index === 0 ? `${scope}/preamble` : `${scope}/${name}/${index}`,
  );
};

const engineOptions = {
  prefillTokensPerSecond,
  decodeSlots,
  decodeStepMilliseconds,
  bytesPerToken,
  linkBytesPerSecond,
  cacheBlocks: 128,
  cacheBlockTokens: blockTokens,
  reportLagMilliseconds: 100,
  countTokens: prompt => Number(prompt.split(':')[1]),
  promptBlocks,
};

const createEngines = (prefillDomains, decodeDomains) => [
  ...prefillDomains.map((failureDomain, index) => ({
    name: `p${index}`,
    role: 'prefill',
    failureDomain,
    options: engineOptions,
  })),
  ...decodeDomains.map((failureDomain, index) => ({
    name: `d${index}`,
    role: 'decode',
    failureDomain,
    options: engineOptions,
  })),
];

const createHosts = domains =>
  domains.map((failureDomain, index) => ({
    name: `host-${index}`,
    failureDomain,
  }));

export const deployments = {
  consortium: {
    engines: createEngines(['a', 'b', 'c', 'a'], ['a', 'b', 'c', 'b']),
    hosts: createHosts(['a', 'a', 'b', 'b', 'c', 'c']),
    deferrableFraction: 0.6,
  },
  utility: {
    engines: createEngines(['a', 'b', 'c', 'd'], ['a', 'b', 'c', 'd']),
    hosts: createHosts(['a', 'a', 'b', 'b', 'c', 'c', 'd', 'd']),
    deferrableFraction: 0,
  },
};

export const fleetSpecOf = (deployment, seed) => ({
  engines: deployment.engines,
  hosts: deployment.hosts,
  accounts: accountWeights,
  ...targets,
  domainDelayMilliseconds: 1.5,
  seed,
});

export const placementOptions = {promptBlocks, blockTokens};

const mean = ({minimum, maximum}) => (minimum + maximum) / 2;

/** Output tokens per second that `engines` can generate for the workload. */
export function capacityOf(engines) {
  const count = role => engines.filter(engine => engine.role === role).length;
  const meanOutputTokens = mean(outputTokens);
  const transferMilliseconds =
    (((preambleTokens + mean(uncachedTokens)) * bytesPerToken) /
      linkBytesPerSecond) *
    1000;
  const slotMilliseconds =
    meanOutputTokens * decodeStepMilliseconds + transferMilliseconds;
  const decodedPerSecond =
    (count('decode') * decodeSlots * 1000) / slotMilliseconds;
  const prefilledPerSecond =
    (count('prefill') * prefillTokensPerSecond) / mean(uncachedTokens);
  return Math.min(decodedPerSecond, prefilledPerSecond) * meanOutputTokens;
}

/** Draws the arrivals of one scenario, ordered by time. */
export function drawArrivals({deployment, load, milliseconds, seed, factors}) {
  const requestsPerSecond =
    (load * capacityOf(deployment.engines)) / mean(outputTokens);
  const arrivals = [];
  for (const [index, [account, weight]] of Object.entries(
    accountWeights,
  ).entries()) {
    // Separate generators keep the arrivals of an account independent of the
    // load of other accounts.
    const random = seededRandom(seed + index);
    const requestsPerMillisecond =
      (requestsPerSecond * weight * (factors[account] ?? 1)) / 1000;
    let time = 0;
    for (;;) {
      time += -Math.log(1 - random.next()) / requestsPerMillisecond;
      if (time > milliseconds) break;
      arrivals.push(drawRequest(deployment, account, time, random));
    }
  }
  return arrivals.sort((left, right) => left.time - right.time);
}

function drawRequest(deployment, account, time, random) {
  const between = ({minimum, maximum}) =>
    Math.round(minimum + random.next() * (maximum - minimum));
  const promptTokens = preambleTokens + between(uncachedTokens);
  const isDeferrable = random.next() < deployment.deferrableFraction;
  return {
    time,
    hostDraw: random.next(),
    spec: {
      account,
      service: isDeferrable ? 'deferrable' : 'targeted',
      prompt: `${account}:${promptTokens}:${Math.floor(random.next() * 2 ** 32)}`,
      promptTokens,
      maximumTokens: between(outputTokens),
      timeoutMilliseconds: isDeferrable ? 120_000 : 10_000,
    },
  };
}

/**
 * Max-min fair shares of the capacity: an account gets its demand or, if that
 * exceeds its weighted share of the remaining capacity, that share.
 */
export function fairShares(capacity, demand) {
  const shares = {};
  let remaining = capacity;
  let unsettled = Object.keys(demand);
  while (unsettled.length > 0) {
    const weights = unsettled.reduce(
      (sum, name) => sum + accountWeights[name],
      0,
    );
    const shareOf = name => (remaining * accountWeights[name]) / weights;
    const satisfied = unsettled.filter(name => demand[name] <= shareOf(name));
    const settled = satisfied.length > 0 ? satisfied : unsettled;
    for (const name of settled)
      shares[name] = satisfied.length > 0 ? demand[name] : shareOf(name);
    remaining -= settled.reduce((sum, name) => sum + shares[name], 0);
    unsettled = unsettled.filter(name => !settled.includes(name));
  }
  return shares;
}
