/**
 * Measures configuration and fleet view: check and delta times, sizes of
 * messages, spread of a change and calls of the platform on virtual time.
 * Exits with 1 when a figure is beyond its bound.
 */
import {performance} from 'node:perf_hooks';
import {
  PeerReply,
  PeerRequest,
  applyChanges,
  buildConfiguration,
} from '../packages/coordination/dist/src/index.js';
import {
  account,
  accountsWithKeys,
  key,
  upstream,
} from '../packages/coordination/dist/test/tools/documents.js';
import {VirtualHosts} from '../packages/coordination/dist/test/tools/virtual-hosts.js';

const seed = 20260101;
const accountCount = 6100;
let isWithinBounds = true;

function report(name, value, unit, bound) {
  const isKept = bound === undefined || value <= bound;
  isWithinBounds &&= isKept;
  const limit =
    bound === undefined ? '' : ` (bound ${bound}${isKept ? '' : ', MISSED'})`;
  console.log(`${name.padEnd(58)} ${value.toFixed(2)} ${unit}${limit}`);
}

function medianMilliseconds(runs, run) {
  const times = Array.from({length: runs}, () => {
    const start = performance.now();
    run();
    return performance.now() - start;
  });
  return times.sort((left, right) => left - right)[runs >> 1];
}

function measureChecks() {
  const documents = [
    ...accountsWithKeys(accountCount),
    ...Array.from({length: 640}, (_, at) => upstream(`u${at}`)),
  ];
  let built = buildConfiguration(1n, documents);
  const full = medianMilliseconds(9, () => {
    built = buildConfiguration(1n, documents);
  });
  report(
    'full check, 6,100 accounts with keys, 640 upstreams',
    full,
    'ms',
    200,
  );
  const base = built.value;
  const publish = document => [{kind: 'publish', document}];
  const deltas = [
    ['delta: one key published', publish(key('fresh', 'account-1'))],
    ['delta: one key withdrawn', [{kind: 'withdraw', key: 'Key/key-7'}]],
    ['delta: one upstream leaving', publish(upstream('u7', 'd0', 'leaving'))],
    ['delta: one rate changed', publish(account('account-9', 7))],
    [
      'delta: one account and its key withdrawn',
      ['Key/key-7', 'ClientAccount/account-7'].map(name => ({
        kind: 'withdraw',
        key: name,
      })),
    ],
  ];
  for (const [name, changes] of deltas)
    report(
      name,
      medianMilliseconds(51, () => applyChanges(base, 2n, changes)),
      'ms',
      20,
    );
  return JSON.stringify(documents).length;
}

/** Ids of the length that a fleet of 360 hosts has. */
const identifier = '01890a5d-ac96-774b-bcce-b302099a8057';
const hostReport = {
  host: 'sohar-north-117',
  incarnation: identifier,
  revision: 3,
  status: 0,
};

function requestBytes(body) {
  return PeerRequest.encode({
    fromHost: 'sohar-north-117',
    fromIncarnation: identifier,
    toIncarnation: identifier,
    configurationVersion: 1_000_000n,
    body,
  }).finish().length;
}

function replyBytes(body) {
  return PeerReply.encode({
    fromHost: 'sohar-north-118',
    fromIncarnation: identifier,
    configurationVersion: 1_000_000n,
    body,
  }).finish().length;
}

function measureMessages() {
  const heartbeat = reports =>
    requestBytes({
      $case: 'fleet',
      value: {
        sequence: 100_000n,
        sender: hostReport,
        reports: Array.from({length: reports}, () => hostReport),
        receivedChange: 1000,
      },
    });
  const heartbeatReply = replyBytes({
    $case: 'fleet',
    value: {
      sequence: 100_000n,
      sender: hostReport,
      reports: [],
      newestChange: 1000,
    },
  });
  report('heartbeat without news', heartbeat(0), 'bytes');
  report('heartbeat with one report', heartbeat(1), 'bytes');
  report('answer of a heartbeat', heartbeatReply, 'bytes');
  const poll = requestBytes({
    $case: 'configuration',
    value: {
      afterVersion: 1_000_000n,
      waitMilliseconds: 3000,
      transferVersion: 0n,
      afterKey: '',
    },
  });
  const answer = changes =>
    replyBytes({
      $case: 'configuration',
      value: {
        fromVersion: 1_000_000n,
        toVersion: 1_000_001n,
        reset: false,
        more: false,
        changes,
      },
    });
  const document = JSON.stringify(upstream('drawings-north-17', 'north'));
  report('question for configuration', poll, 'bytes');
  report('answer without change', answer([]), 'bytes');
  report(
    'answer with one upstream',
    answer([{key: 'Upstream/drawings-north-17', document}]),
    'bytes',
  );
  const attempts = Array.from({length: 40}, () => identifier);
  report(
    'question about 40 attempts',
    requestBytes({$case: 'ownership', value: {attempts, relayHost: ''}}),
    'bytes',
  );
}

/** The first watchers of each failure domain. */
function watchersToPause(fleet, count) {
  const watchers = [...fleet.hosts.values()].filter(
    host => host.distributor.isWatcher,
  );
  return watchers.filter(
    (host, at) =>
      watchers.slice(0, at).filter(other => other.domain === host.domain)
        .length < count,
  );
}

/** Times at which hosts had each of `rounds` changes, after its publication. */
async function measureSpread(hostCount, domainCount, rounds, pausedCount) {
  const fleet = new VirtualHosts(hostCount, domainCount, seed);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.startAll();
  await fleet.millisecondsUntilInForce(1n, 10_000);
  await fleet.clock.advance(6000);
  const paused = watchersToPause(fleet, pausedCount);
  for (const host of paused) host.clock.pause();
  const awake = [...fleet.hosts.values()].filter(
    host => !paused.includes(host),
  );
  const callsBefore = fleet.platform.calls;
  const start = fleet.clock.now();
  const times = [];
  let published = 0;
  for (const {store} of awake)
    store.subscribe(() => times.push(fleet.clock.now() - published));
  for (let round = 0; round < rounds; round += 1) {
    await fleet.clock.advance(3000 + ((round * 997) % 2000));
    published = fleet.clock.now();
    fleet.platform.publish(account('a', round + 1));
    await fleet.clock.advance(7000);
  }
  const seconds = (fleet.clock.now() - start) / 1000;
  const calls = fleet.platform.calls - callsBefore;
  for (const host of paused) host.clock.resume();
  await fleet.close();
  times.sort((left, right) => left - right);
  const suffix = pausedCount > 0 ? `, ${pausedCount} watcher each paused` : '';
  const name = `${hostCount} hosts in ${domainCount} domains${suffix}`;
  const expected = awake.length * rounds;
  console.log(`${name}: ${times.length} of ${expected} arrivals within 7 s`);
  isWithinBounds &&= times.length === expected;
  const bound = hostCount <= 18 && pausedCount === 0 ? 2000 : 7000;
  report(`${name}: change in force, median`, times[times.length >> 1], 'ms');
  report(`${name}: change in force, last host`, times.at(-1), 'ms', bound);
  report(
    `${name}: platform calls, ${rounds} changes in ${seconds.toFixed(0)} s`,
    calls / seconds,
    'calls/s',
    2000,
  );
}

/** Greatest number of platform calls in a second when all hosts start. */
async function measureRestart(hostCount, domainCount, fault) {
  const fleet = new VirtualHosts(hostCount, domainCount, seed);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.platform.fault = fault;
  fleet.startAll();
  await fleet.clock.advance(20_000);
  const times = fleet.platform.callTimes;
  let busiest = 0;
  for (let first = 0, last = 0; last < times.length; last += 1) {
    while (times[last] - times[first] >= 1000) first += 1;
    busiest = Math.max(busiest, last - first + 1);
  }
  await fleet.close();
  report(
    `all ${hostCount} hosts start, platform ${fault === 'none' ? 'up' : fault}: busiest second`,
    busiest,
    'calls',
    2000,
  );
}

console.log(`seed ${seed}, Node.js ${process.version}`);
const wholeBytes = measureChecks();
report('whole configuration as JSON', wholeBytes / 1e6, 'MB');
measureMessages();
await measureSpread(9, 3, 60, 0);
await measureSpread(18, 3, 60, 0);
await measureSpread(360, 7, 5, 0);
await measureSpread(9, 3, 60, 1);
await measureSpread(360, 7, 5, 1);
await measureRestart(9, 3, 'none');
await measureRestart(360, 7, 'none');
await measureRestart(360, 7, 'down');
process.exitCode = isWithinBounds ? 0 : 1;
