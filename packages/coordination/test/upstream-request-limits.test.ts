import test from 'ava';
import {RequestLimitFleet, upstream} from './tools/request-limit-fleet.js';

const contactMilliseconds = 3000;
const allowedInWindow = (requestsPerSecond: number) =>
  1.5 * requestsPerSecond * 4 + 5;
const seeds = [1, 2, 3];

/** Presses on a fleet whose upstream names a limit from the start. */
async function pressed(
  hosts: number,
  requestsPerSecond: number,
  seed: number,
  {pressure = 0.3, cost = 1, milliseconds = 12_000} = {},
): Promise<RequestLimitFleet> {
  const fleet = new RequestLimitFleet({hosts, seed, lossFraction: 0.1});
  fleet.requestsPerSecond = requestsPerSecond;
  await fleet.run(milliseconds, pressure, cost);
  return fleet;
}

for (const [hosts, limits] of [
  [1, [0, 0.3, 2.7, 50]],
  [6, [0, 0.3, 1, 1.5, 2.7, 4, 20]],
  [9, [0.3, 1, 2.7, 4, 20]],
  [30, [0.3, 2.7, 20]],
  [195, [2.7]],
] as const)
  test(`${hosts} hosts hold to a limit that an upstream names`, async t => {
    for (const limit of limits)
      for (const cost of [1, 2])
        for (const seed of seeds) {
          const fleet = await pressed(hosts, limit, seed, {cost});
          const worst = fleet.worstWindow(contactMilliseconds);
          t.true(
            worst <= allowedInWindow(limit),
            `${worst} at a limit of ${limit}, cost ${cost}, seed ${seed}`,
          );
        }
  });

for (const hosts of [1, 6, 9])
  test(`${hosts} hosts use what a limit allows`, async t => {
    for (const limit of [1, 2.7, 4, 20])
      for (const seed of seeds) {
        const fleet = await pressed(hosts, limit, seed);
        const {length} = fleet.requestTimes.filter(time => time >= 4000);
        t.true(length >= 0.85 * limit * 8, `${length} at ${limit}`);
      }
  });

test('one host with all calls uses what a limit allows', async t => {
  const fleet = new RequestLimitFleet({hosts: 9, seed: 1, lossFraction: 0.1});
  fleet.requestsPerSecond = 4;
  for (const {limits} of fleet.hosts) limits.recordStatement(upstream, 4);
  const {limits} = fleet.hosts[0]!;
  let sent = 0;
  for (let step = 0; step < 2000; step += 1) {
    if (limits.tryAcquire(upstream.name)) sent += 1;
    await fleet.clock.advance(10);
  }
  t.true(sent >= 0.95 * 4 * 20, `${sent} in 20 s`);
});

test('both sides of a partition together hold to a limit', async t => {
  for (const seed of seeds) {
    const fleet = await pressed(6, 2.7, seed, {milliseconds: 5000});
    fleet.hosts.forEach((host, index) => (host.partition = index % 2));
    await fleet.run(15_000, 0.3, 1);
    const worst = fleet.worstWindow(5000 + contactMilliseconds);
    t.true(worst <= allowedInWindow(2.7), `${worst}, seed ${seed}`);
  }
});

test('hosts that restart one after another hold to a limit', async t => {
  for (const seed of seeds) {
    const fleet = await pressed(6, 2.7, seed, {milliseconds: 5000});
    for (const host of fleet.hosts) {
      fleet.restart(host);
      await fleet.run(4000, 0.3, 1);
    }
    const worst = fleet.worstWindow(contactMilliseconds);
    t.true(worst <= allowedInWindow(2.7), `${worst}, seed ${seed}`);
  }
});

test('a limit that changes with each answer holds at its highest value', async t => {
  const fleet = new RequestLimitFleet({hosts: 6, seed: 1, lossFraction: 0.1});
  for (let change = 0; change < 200; change += 1) {
    fleet.requestsPerSecond = [0, 3.5, 3, 0.001, 4][change % 5]!;
    await fleet.run(100, 0.3, 1);
  }
  t.true(fleet.worstWindow(contactMilliseconds) <= allowedInWindow(4));
  t.is(fleet.hosts[0]!.limits.report().length, 1);
});

test('the end of a limit reaches all hosts', async t => {
  const fleet = await pressed(6, 1, 1, {milliseconds: 5000});
  fleet.requestsPerSecond = undefined;
  await fleet.run(2000, 0.3, 1);
  for (const {limits} of fleet.hosts) {
    t.true(limits.canSend(upstream.name, 1));
    t.is(limits.penaltyOf(upstream.name), 1);
  }
});

test('a late report of an earlier process or answer changes nothing', async t => {
  const fleet = new RequestLimitFleet({hosts: 2, seed: 1, lossFraction: 0});
  const [{limits, id}, other] = [fleet.hosts[0]!, fleet.hosts[1]!];
  limits.recordStatement(upstream, 5);
  const late = limits.report();
  await fleet.clock.advance(1000);
  const spec = {...upstream.spec, startedAt: 2};
  other.limits.recordStatement({...upstream, spec}, 3);
  const before = other.limits.report();
  other.limits.recordPeer(id, 1n, 1000, late);
  t.deepEqual(other.limits.report(), before);
});

test('an absurd report keeps no host from sending for long', async t => {
  const fleet = new RequestLimitFleet({hosts: 2, seed: 1, lossFraction: 0});
  const [{limits}, other] = [fleet.hosts[0]!, fleet.hosts[1]!];
  limits.recordStatement(upstream, 5);
  const [report] = limits.report();
  const absurd = {...report!, sentRequests: 2 ** 31 - 1};
  other.limits.recordPeer(fleet.hosts[0]!.id, 1n, 0, [absurd]);
  t.false(other.limits.canSend(upstream.name, 1));
  await fleet.clock.advance(5000);
  t.true(other.limits.canSend(upstream.name, 1));
});

test('a limited upstream is a normal choice again when nothing is heard of it', async t => {
  const fleet = new RequestLimitFleet({hosts: 1, seed: 1, lossFraction: 0});
  const [{limits}] = [fleet.hosts[0]!];
  limits.recordStatement(upstream, 5);
  t.true(limits.penaltyOf(upstream.name) > 1);
  await fleet.clock.advance(5000);
  t.is(limits.penaltyOf(upstream.name), 1);
  limits.recordStatement(upstream, 5);
  t.true(limits.penaltyOf(upstream.name) > 1);
});
