/**
 * Measures configuration and fleet view: validation and delta times, message
 * sizes, and, in virtual time, the propagation of a change and the number of
 * platform calls. Exits with status 1 if a figure exceeds its bound.
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
  const isMet = bound === undefined || value <= bound;
  isWithinBounds &&= isMet;
  const limit =
    bound === undefined ? '' : ` (bound ${bound}${isMet ? '' : ', VIOLATED'})`;
  console.log(`${name.padEnd(58)} ${value.toFixed(2)} ${unit}${limit}`);
}

function medianMilliseconds(rounds, execute) {
  const times = Array.from({length: rounds}, () => {
    const start = performance.now();
    execute();
    return performance.now() - start;
  });
  return times.sort((left, right) => left - right)[rounds >> 1];
}

function measureValidation() {
  const documents = [
    ...accountsWithKeys(accountCount),
    ...Array.from({length: 640}, (_, index) => upstream(`u${index}`)),
  ];
  let built = buildConfiguration(1n, documents);
  const fullMilliseconds = medianMilliseconds(9, () => {
    built = buildConfiguration(1n, documents);
  });
  report(
    'full validation, 6,100 accounts with keys, 640 upstreams',
    fullMilliseconds,
    'ms',
    200,
  );
  const baseConfiguration = built.value;
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
      medianMilliseconds(51, () =>
        applyChanges(baseConfiguration, 2n, changes),
      ),
      'ms',
      20,
    );
  return JSON.stringify(documents).length;
}

/** A UUID, like the incarnation ids in a fleet of 360 hosts. */
const incarnationId = '01890a5d-ac96-774b-bcce-b302099a8057';
const hostReport = {
  host: 'sohar-north-117',
  incarnation: incarnationId,
  revision: 3,
  status: 0,
};

function requestBytes(body) {
  return PeerRequest.encode({
    fromHost: 'sohar-north-117',
    fromIncarnation: incarnationId,
    toIncarnation: incarnationId,
    configurationVersion: 1_000_000n,
    body,
  }).finish().length;
}

function replyBytes(body) {
  return PeerReply.encode({
    fromHost: 'sohar-north-118',
    fromIncarnation: incarnationId,
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
  report('heartbeat without reports', heartbeat(0), 'bytes');
  report('heartbeat with one report', heartbeat(1), 'bytes');
  report('reply to a heartbeat', heartbeatReply, 'bytes');
  const poll = requestBytes({
    $case: 'configuration',
    value: {
      afterVersion: 1_000_000n,
      waitMilliseconds: 3000,
      transferVersion: 0n,
      afterKey: '',
    },
  });
  const replyWith = changes =>
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
  report('configuration request', poll, 'bytes');
  report('configuration reply without change', replyWith([]), 'bytes');
  report(
    'configuration reply with one upstream',
    replyWith([{key: 'Upstream/drawings-north-17', document}]),
    'bytes',
  );
  const attempts = Array.from({length: 40}, () => incarnationId);
  report(
    'ownership request for 40 attempts',
    requestBytes({$case: 'ownership', value: {attempts, relayHost: ''}}),
    'bytes',
  );
}

/**
 * The first `countPerDomain` watchers of each failure domain. Watchers poll the
 * platform for the other hosts of their domain.
 */
function watchersToPause(fleet, countPerDomain) {
  const watchers = [...fleet.hosts.values()].filter(
    host => host.distributor.isWatcher,
  );
  return watchers.filter(
    (host, index) =>
      watchers.slice(0, index).filter(other => other.domain === host.domain)
        .length < countPerDomain,
  );
}

/** Measures the time from a publication until each host applies the change. */
async function measurePropagation(
  hostCount,
  domainCount,
  rounds,
  pausedPerDomain,
) {
  const fleet = new VirtualHosts(hostCount, domainCount, seed);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.startAll();
  await fleet.millisecondsUntilActive(1n, 10_000);
  await fleet.clock.advance(6000);
  const paused = watchersToPause(fleet, pausedPerDomain);
  for (const host of paused) host.clock.pause();
  const running = [...fleet.hosts.values()].filter(
    host => !paused.includes(host),
  );
  const callsBefore = fleet.platform.calls;
  const start = fleet.clock.now();
  const propagationTimes = [];
  let publishedAt = 0;
  for (const {store} of running)
    store.subscribe(() =>
      propagationTimes.push(fleet.clock.now() - publishedAt),
    );
  for (let round = 0; round < rounds; round += 1) {
    await fleet.clock.advance(3000 + ((round * 997) % 2000));
    publishedAt = fleet.clock.now();
    fleet.platform.publish(account('a', round + 1));
    await fleet.clock.advance(7000);
  }
  const seconds = (fleet.clock.now() - start) / 1000;
  const calls = fleet.platform.calls - callsBefore;
  for (const host of paused) host.clock.resume();
  await fleet.close();
  propagationTimes.sort((left, right) => left - right);
  const suffix =
    pausedPerDomain > 0 ? `, ${pausedPerDomain} watcher paused per domain` : '';
  const name = `${hostCount} hosts in ${domainCount} domains${suffix}`;
  const expected = running.length * rounds;
  console.log(
    `${name}: ${propagationTimes.length} of ${expected} changes applied within 7 s`,
  );
  isWithinBounds &&= propagationTimes.length === expected;
  const bound = hostCount <= 18 && pausedPerDomain === 0 ? 2000 : 7000;
  report(
    `${name}: change applied, median`,
    propagationTimes[propagationTimes.length >> 1],
    'ms',
  );
  report(
    `${name}: change applied, last host`,
    propagationTimes.at(-1),
    'ms',
    bound,
  );
  report(
    `${name}: platform calls, ${rounds} changes in ${seconds.toFixed(0)} s`,
    calls / seconds,
    'calls/s',
    2000,
  );
}

/** Measures the peak of platform calls per second when all hosts start. */
async function measureRestart(hostCount, domainCount, fault) {
  const fleet = new VirtualHosts(hostCount, domainCount, seed);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.platform.fault = fault;
  fleet.startAll();
  await fleet.clock.advance(20_000);
  const times = fleet.platform.callTimes;
  let peakCalls = 0;
  for (let first = 0, last = 0; last < times.length; last += 1) {
    while (times[last] - times[first] >= 1000) first += 1;
    peakCalls = Math.max(peakCalls, last - first + 1);
  }
  await fleet.close();
  report(
    `all ${hostCount} hosts start, platform ${fault === 'none' ? 'up' : fault}: peak calls per second`,
    peakCalls,
    'calls',
    2000,
  );
}

console.log(`seed ${seed}, Node.js ${process.version}`);
const documentBytes = measureValidation();
report('complete configuration as JSON', documentBytes / 1e6, 'MB');
measureMessages();
await measurePropagation(9, 3, 60, 0);
await measurePropagation(18, 3, 60, 0);
await measurePropagation(360, 7, 5, 0);
await measurePropagation(9, 3, 60, 1);
await measurePropagation(360, 7, 5, 1);
await measureRestart(9, 3, 'none');
await measureRestart(360, 7, 'none');
await measureRestart(360, 7, 'down');
process.exitCode = isWithinBounds ? 0 : 1;
