import test from 'ava';
import {hostId, liveUpstreams} from '../src/index.js';
import {account, accountsWithKeys, key, upstream} from './tools/documents.js';
import {VirtualHosts} from './tools/virtual-hosts.js';

/** Starts nine hosts in three failure domains with the first version active. */
async function startFleet(seed: number) {
  const fleet = new VirtualHosts(9, 3, seed);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.startAll();
  await fleet.millisecondsUntilActive(1n, 5000);
  await fleet.clock.advance(5000);
  return fleet;
}

const watchers = (fleet: VirtualHosts) =>
  [...fleet.hosts.values()].filter(each => each.distributor.isWatcher);

test('a change reaches all hosts within two seconds', async t => {
  const fleet = await startFleet(1);
  t.is(watchers(fleet).length, 6);
  const version = fleet.platform.publish(account('b'));
  t.true((await fleet.millisecondsUntilActive(version, 5000)) < 2000);
  await fleet.close();
});

test('only watchers read the platform', async t => {
  const fleet = await startFleet(2);
  const before = fleet.platform.calls;
  await fleet.clock.advance(60_000);
  // Each of the six watchers keeps one watch of 3 s open.
  t.true(fleet.platform.calls - before <= 6 * (60 / 3 + 1));
  await fleet.close();
});

test('a host bootstraps from peers while the platform is down', async t => {
  const fleet = await startFleet(3);
  fleet.platform.publish(...accountsWithKeys(6100));
  await fleet.millisecondsUntilActive(2n, 5000);
  fleet.platform.fault = 'down';
  await fleet.stop(hostId('h8'));
  const restarted = fleet.start(hostId('h8'));
  await fleet.clock.advance(2000);
  t.is(restarted.store.current.version, 2n);
  t.is(restarted.store.current.accounts.size, 6101);
  await fleet.close();
});

test('a fleet that starts without the platform recovers with it', async t => {
  const fleet = new VirtualHosts(9, 3, 4);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.platform.fault = 'down';
  fleet.startAll();
  await fleet.clock.advance(10_000);
  t.deepEqual(fleet.activeVersions, [0n]);
  fleet.platform.fault = 'none';
  t.true((await fleet.millisecondsUntilActive(1n, 5000)) < 2000);
  await fleet.close();
});

test('a stale platform reader does not revert a new host', async t => {
  const fleet = await startFleet(5);
  fleet.platform.publish(account('b'));
  await fleet.millisecondsUntilActive(2n, 5000);
  await fleet.stop(hostId('h1'));
  const restarted = fleet.start(
    hostId('h1'),
    fleet.platform.source(() => 1n),
  );
  await fleet.clock.advance(3000);
  t.deepEqual(restarted.versions, [2n]);
  const version = fleet.platform.publish(account('c'));
  t.true((await fleet.millisecondsUntilActive(version, 7000)) < 7000);
  await fleet.close();
});

test('a flapping platform neither reverts a host nor causes a read loop', async t => {
  const fleet = new VirtualHosts(1, 1, 6);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.platform.publish(account('b'));
  const isBehind = () => Math.floor(fleet.clock.now() / 700) % 2 === 0;
  const host = fleet.start(
    hostId('h0'),
    fleet.platform.source(() => (isBehind() ? 1n : undefined)),
  );
  await fleet.clock.advance(20_000);
  t.true(
    host.versions.every((each, at, all) => at === 0 || each > all[at - 1]!),
  );
  t.is(host.store.current.version, 2n);
  t.true(fleet.platform.calls < 70);
  await fleet.close();
});

test('distribution recovers from malformed, missing and failed platform answers', async t => {
  const fleet = await startFleet(7);
  for (const fault of ['garbage', 'silent', 'down'] as const) {
    fleet.platform.fault = fault;
    await fleet.clock.advance(30_000);
    fleet.platform.fault = 'none';
    const version = fleet.platform.publish(account(`after-${fault}`));
    t.true(
      (await fleet.millisecondsUntilActive(version, 30_000)) < 30_000,
      fault,
    );
  }
  await fleet.close();
});

test('all hosts refuse an invalid version and accept its correction', async t => {
  const fleet = await startFleet(8);
  fleet.platform.publish(key('k', 'missing'));
  await fleet.clock.advance(5000);
  t.deepEqual(fleet.activeVersions, [1n]);
  const version = fleet.platform.publish(account('missing'));
  t.true((await fleet.millisecondsUntilActive(version, 7000)) < 2000);
  for (const host of fleet.hosts.values()) {
    t.true(host.store.current.accountOfKey.size === 1);
    t.true(host.refused.length <= 1);
  }
  await fleet.close();
});

test('other hosts read the platform when the watchers are stopped', async t => {
  const fleet = await startFleet(9);
  const stopped = watchers(fleet).filter(each => each.domain === 'd0');
  for (const {host} of stopped) await fleet.stop(host);
  const version = fleet.platform.publish(account('b'));
  t.true((await fleet.millisecondsUntilActive(version, 30_000)) < 7000);
  await fleet.close();
});

test('a domain without the platform pulls changes from other domains', async t => {
  const fleet = new VirtualHosts(9, 3, 10);
  fleet.platform.publish(fleet.membership(), account('a'));
  const staleSource = fleet.platform.source(() => 1n);
  for (const host of fleet.hostIds)
    fleet.start(host, fleet.domainOf(host) === 'd0' ? staleSource : undefined);
  await fleet.millisecondsUntilActive(1n, 5000);
  await fleet.clock.advance(5000);
  const version = fleet.platform.publish(account('b'));
  t.true((await fleet.millisecondsUntilActive(version, 30_000)) < 7000);
  await fleet.close();
});

test('a partitioned domain catches up when the partition heals', async t => {
  const fleet = new VirtualHosts(9, 3, 11);
  fleet.platform.publish(fleet.membership(), account('a'));
  let isPartitioned = false;
  const isInPartition = (host: string) => fleet.domainOf(hostId(host)) === 'd0';
  fleet.isPartitioned = (from, to) =>
    isPartitioned && isInPartition(from) !== isInPartition(to);
  const limit = () => (isPartitioned ? 1n : undefined);
  for (const host of fleet.hostIds)
    fleet.start(
      host,
      fleet.platform.source(isInPartition(host) ? limit : undefined),
    );
  await fleet.millisecondsUntilActive(1n, 5000);
  isPartitioned = true;
  const version = fleet.platform.publish(account('b'));
  await fleet.clock.advance(60_000);
  t.deepEqual(fleet.activeVersions, [1n, version]);
  isPartitioned = false;
  t.true((await fleet.millisecondsUntilActive(version, 30_000)) < 7000);
  await fleet.close();
});

test('a host with an older version catches up before it executes a request', async t => {
  const fleet = await startFleet(12);
  const [behind] = [...fleet.hosts.values()];
  fleet.platform.fault = 'down';
  const ahead = fleet.hosts.get(hostId('h4'))!;
  fleet.isPartitioned = (from, to) => to !== ahead.host && from !== ahead.host;
  ahead.store.apply(
    {from: 1n, to: 2n, changes: [{kind: 'publish', document: account('b')}]},
    {kind: 'platform'},
  );
  const caughtUp = behind!.distributor.catchUp(
    2n,
    ahead.host,
    fleet.clock.now() + 100,
  );
  t.true(await fleet.clock.runUntil(caughtUp));
  const late = behind!.distributor.catchUp(
    3n,
    ahead.host,
    fleet.clock.now() + 100,
  );
  t.false(await fleet.clock.runUntil(late));
  await fleet.close();
});

test('a simultaneous start of 360 hosts stays within the read rate limit', async t => {
  const fleet = new VirtualHosts(360, 7, 13);
  fleet.platform.publish(fleet.membership(), account('a'));
  fleet.startAll();
  await fleet.clock.advance(4000);
  t.deepEqual(fleet.activeVersions, [1n]);
  const maximumReadsPerSecond = Math.max(
    ...fleet.platform.callTimes.map(
      start =>
        fleet.platform.callTimes.filter(
          time => time >= start && time < start + 1000,
        ).length,
    ),
  );
  t.true(
    maximumReadsPerSecond < 2000,
    `${maximumReadsPerSecond} reads in a second`,
  );
  const version = fleet.platform.publish(account('b'));
  t.true((await fleet.millisecondsUntilActive(version, 8000)) < 7000);
  await fleet.close();
});

test('a paused host refreshes its configuration before it is fresh again', async t => {
  const fleet = await startFleet(14);
  const host = fleet.hosts.get(hostId('h5'))!;
  host.clock.pause();
  await fleet.clock.advance(5000);
  const version = fleet.platform.publish(account('b'));
  await fleet.clock.advance(20_000);
  t.is(host.store.current.version, 1n);
  host.clock.resume();
  t.true(host.pauses.check());
  t.false(host.distributor.isFresh);
  await fleet.clock.runUntil(host.distributor.whenFresh());
  t.is(host.store.current.version, version);
  t.true(host.distributor.isFresh);
  await fleet.close();
});

test('a paused watcher delays changes only briefly', async t => {
  const fleet = await startFleet(15);
  const paused = watchers(fleet).filter(each => each.domain === 'd0');
  for (const each of paused.slice(0, 1)) each.clock.pause();
  await fleet.clock.advance(2500);
  const version = fleet.platform.publish(account('b'));
  await fleet.clock.advance(7000);
  const behind = [...fleet.hosts.values()].filter(
    each => each.store.current.version < version,
  );
  t.deepEqual(
    behind.filter(each => !each.clock.isPaused).map(each => each.host),
    [],
  );
  for (const each of paused) each.clock.resume();
  await fleet.close();
});

test('lost watchers are replaced when they appear to be dead', async t => {
  const fleet = await startFleet(16);
  const lost = watchers(fleet).filter(each => each.domain === 'd0');
  for (const {host} of lost) await fleet.stop(host, false);
  const version = fleet.platform.publish(account('b'));
  await fleet.clock.advance(5000);
  for (const {host} of lost) fleet.suspected.add(host);
  t.true((await fleet.millisecondsUntilActive(version, 30_000)) < 2000);
  await fleet.close();
});

test('lost watchers that still appear live delay changes for a bounded time', async t => {
  const fleet = await startFleet(17);
  const lost = watchers(fleet).filter(each => each.domain === 'd0');
  for (const {host} of lost) await fleet.stop(host, false);
  const version = fleet.platform.publish(account('b'));
  t.true((await fleet.millisecondsUntilActive(version, 60_000)) < 30_000);
  await fleet.close();
});

test('all hosts exclude a leaving upstream within three seconds', async t => {
  const fleet = await startFleet(18);
  const pool = {
    kind: 'Pool',
    name: 'p',
    spec: {role: 'service', upstreams: {}},
  } as const;
  fleet.platform.publish(upstream('u'), pool);
  await fleet.clock.advance(3000);
  const live = () =>
    [...fleet.hosts.values()].map(
      each => liveUpstreams(each.store.current, pool).length,
    );
  t.deepEqual(new Set(live()), new Set([1]));
  fleet.platform.publish(upstream('u', 'd0', 'leaving'));
  await fleet.clock.advance(3000);
  t.deepEqual(new Set(live()), new Set([0]));
  await fleet.close();
});
