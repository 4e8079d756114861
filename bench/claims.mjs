/**
 * Added latency of a claim and the share of tries refused in each fault, in
 * virtual time, for 3 and 5 witnesses and for one home host by rendezvous hash.
 *
 *     npx tsc -b && node bench/claims.mjs
 */
import {
  hostId,
  rankByRendezvous,
  seededRandom,
} from '../packages/coordination/dist/src/index.js';
import {
  ClaimFleet,
  claimKey,
  createMembers,
  textOutcome,
} from '../packages/coordination/dist/test/tools/claim-fleet.js';

const seed = 7;
const hostCount = 9;
const domainCount = 3;
const oneWayMilliseconds = 1.5;
const tryGapMilliseconds = 40;
const patienceMilliseconds = 2000;
const durationMilliseconds = 60_000;
const faultAtMilliseconds = 5000;
const replaceGapMilliseconds = 10_000;
const pauseMilliseconds = 20_000;
/** Largest share refused with no fault, and longest median added latency. */
const bounds = {refusedShare: 0, medianMilliseconds: 2 * oneWayMilliseconds};

const names = Array.from({length: hostCount}, (_, index) => `h${index}`);
const domainOf = name => Number(name.slice(1)) % domainCount;

const faults = {
  none: async () => {},
  'one host down': async fleet => {
    fleet.hosts.get('h0').machine.kill();
    fleet.gone.add('h0');
  },
  'one host paused 20 s': async fleet => {
    fleet.hosts.get('h0').machine.pause(pauseMilliseconds);
    fleet.gone.add('h0');
    await fleet.clock.sleep(pauseMilliseconds);
    fleet.gone.delete('h0');
  },
  'one domain cut off': async fleet => {
    fleet.isCut = true;
  },
  'one host replaced each 10 s': async fleet => {
    for (let index = 0; ; index += 1) {
      fleet.start(names[index % hostCount]);
      await fleet.clock.sleep(replaceGapMilliseconds);
    }
  },
};

async function newFleet(witnesses) {
  const fleet = new ClaimFleet(seed);
  fleet.gone = new Set();
  fleet.isCut = false;
  const isCutOff = (from, to) =>
    fleet.isCut && (domainOf(from) === 0) !== (domainOf(to) === 0);
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: from === to ? 0 : oneWayMilliseconds,
    isDropped: isCutOff(from, to),
    copyDelaysMilliseconds: [],
  });
  const members = createMembers(hostCount, domainCount);
  await fleet.startAll(names, {members, witnesses});
  return fleet;
}

/** Claims through the product's code; sends and records at once. */
async function tryClaim(fleet, name, key) {
  const startedAt = fleet.clock.now();
  const result = await fleet.begin(name, claimKey(key), patienceMilliseconds);
  const latency = fleet.clock.now() - startedAt;
  if (result.isErr || result.value.kind !== 'run') return undefined;
  if (result.value.permit.markSending().isErr) return undefined;
  void result.value.permit.record(textOutcome('done'));
  return latency;
}

/**
 * One home host: a try asks the highest-ranked member and gets one answer. A
 * replaced home has forgotten its claims and must abstain for the retention.
 */
async function tryHome(fleet, name, key) {
  const [home] = rankByRendezvous(key, names, each => each);
  const startedAt = fleet.clock.now();
  const host = fleet.hosts.get(home);
  const body = {
    $case: 'claim',
    value: {
      key: claimKey(key),
      owner: {host: '-', incarnation: '-', attempt: '-'},
      action: {$case: 'ownerQuery', value: {waitMilliseconds: 0}},
    },
  };
  const isForgetful = host.machine.identity.incarnation !== fleet.first[home];
  if (home !== name) {
    const {transport} = fleet.hosts.get(name).machine;
    const reply = await transport.exchange(hostId(home), body, 1000);
    if (reply.isErr) return undefined;
  }
  return isForgetful ? undefined : fleet.clock.now() - startedAt;
}

async function measure(witnesses, tryOne, fault) {
  const fleet = await newFleet(witnesses);
  fleet.first = Object.fromEntries(
    names.map(name => [
      name,
      fleet.hosts.get(name).machine.identity.incarnation,
    ]),
  );
  const random = seededRandom(seed);
  const latencies = [];
  const tally = {all: 0, refused: 0, cutAll: 0, cutRefused: 0};
  const tries = [];
  let isOver = false;
  void fleet.clock.sleep(faultAtMilliseconds).then(() => faults[fault](fleet));
  void (async () => {
    for (let index = 0; !isOver; index += 1) {
      const name = names[Math.floor(random.next() * hostCount)];
      await fleet.clock.sleep(tryGapMilliseconds);
      // The balancer sends nothing to a host that does not answer.
      if (fleet.gone.has(name)) continue;
      const isCutOff = fleet.isCut && domainOf(name) === 0;
      tries.push({isCutOff, done: tryOne(fleet, name, `k${index}`)});
    }
  })();
  await fleet.clock.advance(durationMilliseconds);
  isOver = true;
  await fleet.clock.advance(5000);
  for (const {isCutOff, done} of tries) {
    const latency = await Promise.race([done, Promise.resolve(undefined)]);
    tally.all += 1;
    if (latency === undefined) tally.refused += 1;
    else latencies.push(latency);
    if (isCutOff) tally.cutAll += 1;
    if (isCutOff && latency === undefined) tally.cutRefused += 1;
  }
  latencies.sort((left, right) => left - right);
  const quantile = share =>
    latencies[
      Math.min(latencies.length - 1, Math.floor(latencies.length * share))
    ];
  return {tally, median: quantile(0.5), p99: quantile(0.99)};
}

const ways = [
  ['3 witnesses', 3, tryClaim],
  ['5 witnesses', 5, tryClaim],
  ['one home host', 3, tryHome],
];
console.log(
  `seed ${seed}, ${hostCount} hosts, ${domainCount} failure domains,`,
);
console.log(
  `${oneWayMilliseconds} ms one way, ${durationMilliseconds / 1000} s`,
);
console.log(
  '| Fault | Way | Tries | Refused | Refused outside the cut-off domain | Median ms | p99 ms |',
);
console.log('|---|---|---|---|---|---|---|');
const percent = (part, all) =>
  `${((100 * part) / Math.max(1, all)).toFixed(2)} %`;
for (const fault of Object.keys(faults))
  for (const [way, witnesses, tryOne] of ways) {
    const {tally, median, p99} = await measure(witnesses, tryOne, fault);
    const restAll = tally.all - tally.cutAll;
    const restRefused = tally.refused - tally.cutRefused;
    console.log(
      `| ${fault} | ${way} | ${tally.all} | ${percent(tally.refused, tally.all)} | ${percent(restRefused, restAll)} | ${median.toFixed(1)} | ${p99.toFixed(1)} |`,
    );
    const isWithin =
      tally.refused / tally.all <= bounds.refusedShare &&
      median <= bounds.medianMilliseconds;
    if (fault === 'none' && way !== 'one home host' && !isWithin)
      process.exitCode = 1;
  }
