/** Fleets and arrivals of the two deployments. */

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
const uncachedTokens = {least: 800, most: 4_800};
const answerTokens = {least: 30, most: 90};

/** Shares of demand; they are also the accounts' weights. */
const accounts = {
  first: 0.35,
  second: 0.3,
  third: 0.15,
  fourth: 0.12,
  fifth: 0.08,
};

/** Cache blocks of a prompt written as `account:tokens:name`. */
const promptBlocks = (scope, prompt) => {
  const [, tokens, name] = prompt.split(':');
  const count = Math.floor(Number(tokens) / blockTokens);
  return Array.from({length: count}, (_, index) =>
    index === 0 ? `${scope}/preamble` : `${scope}/${name}/${index}`,
  );
};

const options = {
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

const enginesOf = (prefillDomains, decodeDomains) => [
  ...prefillDomains.map((failureDomain, index) => ({
    name: `p${index}`,
    role: 'prefill',
    failureDomain,
    options,
  })),
  ...decodeDomains.map((failureDomain, index) => ({
    name: `d${index}`,
    role: 'decode',
    failureDomain,
    options,
  })),
];

const hostsOf = domains =>
  domains.map((failureDomain, index) => ({
    name: `host-${index}`,
    failureDomain,
  }));

export const deployments = {
  consortium: {
    engines: enginesOf(['a', 'b', 'c', 'a'], ['a', 'b', 'c', 'b']),
    hosts: hostsOf(['a', 'a', 'b', 'b', 'c', 'c']),
    deferrableShare: 0.6,
  },
  utility: {
    engines: enginesOf(['a', 'b', 'c', 'd'], ['a', 'b', 'c', 'd']),
    hosts: hostsOf(['a', 'a', 'b', 'b', 'c', 'c', 'd', 'd']),
    deferrableShare: 0,
  },
};

export const fleetSpecOf = (deployment, seed) => ({
  engines: deployment.engines,
  hosts: deployment.hosts,
  accounts,
  ...targets,
  domainDelayMilliseconds: 1.5,
  seed,
});

export const placementOptions = {promptBlocks, blockTokens};

const mean = ({least, most}) => (least + most) / 2;

/** Answer tokens a second that `engines` can make for the workload. */
export function capacityOf(engines) {
  const count = role => engines.filter(engine => engine.role === role).length;
  const answer = mean(answerTokens);
  const transferMilliseconds =
    (((preambleTokens + mean(uncachedTokens)) * bytesPerToken) /
      linkBytesPerSecond) *
    1000;
  const slotMilliseconds =
    answer * decodeStepMilliseconds + transferMilliseconds;
  const decoded = (count('decode') * decodeSlots * 1000) / slotMilliseconds;
  const prefilled =
    (count('prefill') * prefillTokensPerSecond) / mean(uncachedTokens);
  return Math.min(decoded, prefilled) * answer;
}

/** Draws the arrivals of one run, in order of time. */
export function drawArrivals({deployment, load, milliseconds, seed, factors}) {
  const perSecond =
    (load * capacityOf(deployment.engines)) / mean(answerTokens);
  const arrivals = [];
  for (const [index, [account, share]] of Object.entries(accounts).entries()) {
    // Each account draws for itself, so that one's load changes no other's.
    const random = seededRandom(seed + index);
    const rate = (perSecond * share * (factors[account] ?? 1)) / 1000;
    let time = 0;
    for (;;) {
      time += -Math.log(1 - random.next()) / rate;
      if (time > milliseconds) break;
      arrivals.push(drawRequest(deployment, account, time, random));
    }
  }
  return arrivals.sort((left, right) => left.time - right.time);
}

function drawRequest(deployment, account, time, random) {
  const between = ({least, most}) =>
    Math.round(least + random.next() * (most - least));
  const promptTokens = preambleTokens + between(uncachedTokens);
  const isDeferrable = random.next() < deployment.deferrableShare;
  return {
    time,
    hostDraw: random.next(),
    spec: {
      account,
      service: isDeferrable ? 'deferrable' : 'targeted',
      prompt: `${account}:${promptTokens}:${Math.floor(random.next() * 2 ** 32)}`,
      promptTokens,
      maximumTokens: between(answerTokens),
      timeoutMilliseconds: isDeferrable ? 120_000 : 10_000,
    },
  };
}

/** Cost that each account is due: its demand, or its weight of what is left. */
export function fairShares(capacity, demand) {
  const due = {};
  let left = capacity;
  let open = Object.keys(demand);
  while (open.length > 0) {
    const weights = open.reduce((sum, name) => sum + accounts[name], 0);
    const shareOf = name => (left * accounts[name]) / weights;
    const small = open.filter(name => demand[name] <= shareOf(name));
    const settled = small.length > 0 ? small : open;
    for (const name of settled)
      due[name] = small.length > 0 ? demand[name] : shareOf(name);
    left -= settled.reduce((sum, name) => sum + due[name], 0);
    open = open.filter(name => !settled.includes(name));
  }
  return due;
}
