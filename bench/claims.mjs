/**
 * Measures the latency that a claim adds and the fraction of refused claims under
 * each fault in virtual time, for 3 and 5 witnesses and for a single home host
 * selected by rendezvous hashing.
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
const claimIntervalMilliseconds = 40;
const claimTimeoutMilliseconds = 2000;
const durationMilliseconds = 60_000;
const faultAtMilliseconds = 5000;
const replacementIntervalMilliseconds = 10_000;
const pauseMilliseconds = 20_000;
/** Maximum refused fraction and median added latency without a fault. */
const bounds = {refusedFraction: 0, medianMilliseconds: 2 * oneWayMilliseconds};

const hostNames = Array.from({length: hostCount}, (_, index) => `h${index}`);
const domainOf = name => Number(name.slice(1)) % domainCount;

const faults = {
  none: async () => {},
  'one host down': async fleet => {
    fleet.hosts.get('h0').machine.kill();
    fleet.unresponsiveHosts.add('h0');
  },
  'one host paused 20 s': async fleet => {
    fleet.hosts.get('h0').machine.pause(pauseMilliseconds);
    fleet.unresponsiveHosts.add('h0');
    await fleet.clock.sleep(pauseMilliseconds);
    fleet.unresponsiveHosts.delete('h0');
  },
  'one domain cut off': async fleet => {
    fleet.isCut = true;
  },
  'one host replaced each 10 s': async fleet => {
    for (let index = 0; ; index += 1) {
      fleet.start(hostNames[index % hostCount]);
      await fleet.clock.sleep(replacementIntervalMilliseconds);
    }
  },
};

async function startFleet(witnesses) {
  const fleet = new ClaimFleet(seed);
  fleet.unresponsiveHosts = new Set();
  fleet.isCut = false;
  const isCutOff = (from, to) =>
    fleet.isCut && (domainOf(from) === 0) !== (domainOf(to) === 0);
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: from === to ? 0 : oneWayMilliseconds,
    isDropped: isCutOff(from, to),
    copyDelaysMilliseconds: [],
  });
  const members = createMembers(hostCount, domainCount);
  await fleet.startAll(hostNames, {members, witnesses});
  return fleet;
}

/** Claims a key with the product's code; sends and records without delay. */
async function claimByWitnesses(fleet, hostName, key) {
  const startedAt = fleet.clock.now();
  const result = await fleet.begin(
    hostName,
    claimKey(key),
    claimTimeoutMilliseconds,
  );
  const latency = fleet.clock.now() - startedAt;
  if (result.isErr || result.value.kind !== 'run') return undefined;
  if (result.value.permit.markSending().isErr) return undefined;
  void result.value.permit.record(textOutcome('done'));
  return latency;
}

/**
 * Claims a key at its home host, the highest-ranked member, in one exchange. A
 * restarted home host has lost its claims and must refuse to vote for the retention time.
 */
async function claimAtHomeHost(fleet, hostName, key) {
  const [homeHost] = rankByRendezvous(key, hostNames, candidate => candidate);
  const startedAt = fleet.clock.now();
  const home = fleet.hosts.get(homeHost);
  // Stands for a claim request; only its round-trip time matters.
  const body = {
    $case: 'claim',
    value: {
      key: claimKey(key),
      owner: {host: '-', incarnation: '-', attempt: '-'},
      action: {$case: 'ownerQuery', value: {waitMilliseconds: 0}},
    },
  };
  const hasLostClaims =
    home.machine.identity.incarnation !== fleet.firstIncarnations[homeHost];
  if (homeHost !== hostName) {
    const {transport} = fleet.hosts.get(hostName).machine;
    const reply = await transport.exchange(hostId(homeHost), body, 1000);
    if (reply.isErr) return undefined;
  }
  return hasLostClaims ? undefined : fleet.clock.now() - startedAt;
}

async function measure(witnesses, claimOnce, fault) {
  const fleet = await startFleet(witnesses);
  fleet.firstIncarnations = Object.fromEntries(
    hostNames.map(name => [
      name,
      fleet.hosts.get(name).machine.identity.incarnation,
    ]),
  );
  const random = seededRandom(seed);
  const latencies = [];
  const counts = {total: 0, refused: 0, cutOffTotal: 0, cutOffRefused: 0};
  const claims = [];
  let isFinished = false;
  void fleet.clock.sleep(faultAtMilliseconds).then(() => faults[fault](fleet));
  void (async () => {
    for (let index = 0; !isFinished; index += 1) {
      const name = hostNames[Math.floor(random.next() * hostCount)];
      await fleet.clock.sleep(claimIntervalMilliseconds);
      // The load balancer sends no calls to a host that does not respond.
      if (fleet.unresponsiveHosts.has(name)) continue;
      const isCutOff = fleet.isCut && domainOf(name) === 0;
      claims.push({isCutOff, result: claimOnce(fleet, name, `k${index}`)});
    }
  })();
  await fleet.clock.advance(durationMilliseconds);
  isFinished = true;
  await fleet.clock.advance(5000);
  for (const {isCutOff, result} of claims) {
    const latency = await Promise.race([result, Promise.resolve(undefined)]);
    counts.total += 1;
    if (latency === undefined) counts.refused += 1;
    else latencies.push(latency);
    if (isCutOff) counts.cutOffTotal += 1;
    if (isCutOff && latency === undefined) counts.cutOffRefused += 1;
  }
  latencies.sort((left, right) => left - right);
  const quantile = fraction =>
    latencies[
      Math.min(latencies.length - 1, Math.floor(latencies.length * fraction))
    ];
  return {counts, median: quantile(0.5), p99: quantile(0.99)};
}

const methods = [
  ['3 witnesses', 3, claimByWitnesses],
  ['5 witnesses', 5, claimByWitnesses],
  ['one home host', 3, claimAtHomeHost],
];
console.log(
  `seed ${seed}, ${hostCount} hosts, ${domainCount} failure domains,`,
);
console.log(
  `${oneWayMilliseconds} ms one way, ${durationMilliseconds / 1000} s`,
);
console.log(
  '| Fault | Method | Claims | Refused | Refused outside the cut-off domain | Median ms | p99 ms |',
);
console.log('|---|---|---|---|---|---|---|');
const percent = (part, all) =>
  `${((100 * part) / Math.max(1, all)).toFixed(2)} %`;
for (const fault of Object.keys(faults))
  for (const [method, witnesses, claimOnce] of methods) {
    const {counts, median, p99} = await measure(witnesses, claimOnce, fault);
    const outsideAll = counts.total - counts.cutOffTotal;
    const outsideRefused = counts.refused - counts.cutOffRefused;
    console.log(
      `| ${fault} | ${method} | ${counts.total} | ${percent(counts.refused, counts.total)} | ${percent(outsideRefused, outsideAll)} | ${median.toFixed(1)} | ${p99.toFixed(1)} |`,
    );
    const isWithinBounds =
      counts.refused / counts.total <= bounds.refusedFraction &&
      median <= bounds.medianMilliseconds;
    if (fault === 'none' && method !== 'one home host' && !isWithinBounds)
      process.exitCode = 1;
  }
