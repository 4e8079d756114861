import test from 'ava';
import {
  DiscoveredFleet,
  EventStreamSplitter,
  ConfigurationFreshness,
  PoolRetryBudget,
  VirtualClock,
  failureDomainId,
  hostId,
  seededRandom,
} from '../src/index.js';
import type {Beat, FleetChange, FleetShare} from '../src/index.js';
import {SlidingWindowCounter} from '../src/sliding-window-counter.js';
import {UpstreamHealth} from '../src/passthrough/upstream-health.js';

class ShiftedWallClock extends VirtualClock {
  wallOffsetMilliseconds = 0;

  override wallNow(): number {
    return super.wallNow() + this.wallOffsetMilliseconds;
  }
}

test('the age of a proof counts from the start of its read', async t => {
  const clock = new VirtualClock();
  const freshness = new ConfigurationFreshness({
    clock,
    maximumAgeMilliseconds: 5000,
  });
  t.false(freshness.isFresh());
  const proof = freshness.startProof();
  await clock.advance(4000);
  freshness.confirm(proof);
  t.true(freshness.isFresh());
  await clock.advance(800);
  t.false(freshness.isFresh());
});

test('an older proof does not replace a newer one', async t => {
  const clock = new VirtualClock();
  const freshness = new ConfigurationFreshness({
    clock,
    maximumAgeMilliseconds: 5000,
  });
  const older = freshness.startProof();
  await clock.advance(2000);
  freshness.confirm(freshness.startProof());
  freshness.confirm(older);
  t.is(freshness.age(), 0);
});

test('a suspension visible only in the wall clock ages the proof', async t => {
  const clock = new ShiftedWallClock();
  const freshness = new ConfigurationFreshness({
    clock,
    maximumAgeMilliseconds: 5000,
  });
  freshness.confirm(freshness.startProof());
  clock.wallOffsetMilliseconds = 6000;
  t.false(freshness.isFresh());
  freshness.confirm({steady: clock.now() + 1, wall: clock.wallNow() + 1});
  t.true(freshness.isFresh());
  clock.wallOffsetMilliseconds = 0;
  t.true(
    freshness.isFresh(),
    'setting the wall clock back does not age the proof',
  );
});

test('without a maximum age the configuration is always fresh', t => {
  const clock = new VirtualClock();
  const limits = {clock, maximumAgeMilliseconds: undefined};
  t.true(new ConfigurationFreshness(limits).isFresh());
});

function createBudget(clock: VirtualClock, share: FleetShare) {
  const bounds = {ratio: 0.2, extra: 52, windowMilliseconds: 10_000};
  return new PoolRetryBudget({clock, ...bounds, share: () => share});
}

/** Spends all that the budget allows; returns how much that was. */
function spendAll(budget: PoolRetryBudget, pool = 'pool'): number {
  let spent = 0;
  for (;;) {
    const held = budget.tryAcquire(pool);
    if (held === undefined) return spent;
    for (const retry of held) retry.use();
    spent += 1;
  }
}

test('retries stay within the ratio of calls and the share of extra retries', async t => {
  const clock = new VirtualClock();
  const budget = createBudget(clock, {kind: 'counted', hosts: 6});
  let acquired = 0;
  for (let call = 0; call < 100; call += 1) {
    await clock.advance(99);
    budget.recordCall('pool');
    acquired += spendAll(budget);
  }
  t.true(acquired <= 100 * 0.2 + 52 / 6);
  t.true(acquired >= 20, String(acquired));
  t.is(budget.tryAcquire('pool'), undefined);
  t.true(spendAll(budget, 'other') > 0, 'each pool has its own budget');
  await clock.advance(11_000);
  t.true(spendAll(budget) > 0);
});

test('a host that may not count on a share has what its calls earn', async t => {
  for (const kind of ['starting', 'detached'] as const) {
    const clock = new VirtualClock();
    const budget = createBudget(clock, {kind, hosts: 1});
    t.is(spendAll(budget), 0, kind);
    let acquired = 0;
    for (let call = 0; call < 100; call += 1) {
      await clock.advance(99);
      budget.recordCall('pool');
      acquired += spendAll(budget);
    }
    t.true(acquired <= 100 * 0.2, String(acquired));
    t.true(acquired >= 18, String(acquired));
  }
});

test('a retry that was not sent goes back to the budget', t => {
  const clock = new VirtualClock();
  const budget = createBudget(clock, {kind: 'counted', hosts: 6});
  const held = budget.tryAcquire('pool', 6);
  t.is(budget.tryAcquire('pool'), undefined);
  for (const retry of held ?? []) retry.release();
  for (const retry of held ?? []) retry.use();
  t.is(spendAll(budget), 6);
});

test('no window holds more than the sum that is kept, whatever its phase', t => {
  const windowMilliseconds = 10_000;
  for (let phase = 0; phase < 500; phase += 50) {
    const counter = new SlidingWindowCounter(windowMilliseconds);
    counter.add(phase);
    const lastMoment = phase + windowMilliseconds - 1;
    t.is(counter.total(lastMoment), 1, String(phase));
    t.is(counter.total(phase + 1.1 * windowMilliseconds), 0);
  }
});

/** Hosts that exchange heartbeats over a network that can be partitioned. */
class HeartbeatNetwork {
  readonly clock = new VirtualClock();
  readonly changes: string[] = [];
  /** Senders of the heartbeats that were used, at any host. */
  readonly received: string[] = [];
  private readonly lastHeartbeats = new Map<string, Beat>();
  private readonly hosts = new Map<string, DiscoveredFleet>();
  private readonly isolatedAddresses = new Set<string>();
  /** Datagrams that the link of one host carries in ten milliseconds. */
  datagramsPerInterval = Infinity;
  sentCount = 0;
  private readonly sentCounts = new Map<string, number>();

  add(name: string, seeds: readonly string[], incarnation = 1n) {
    const address = `${name}:1`;
    const fleet = new DiscoveredFleet({
      clock: this.clock,
      random: seededRandom(7),
      self: hostId(name),
      incarnation,
      address: () => address,
      failureDomain: failureDomainId('a'),
      seeds: seeds.map(seed => `${seed}:1`),
      sender: {send: (to, heartbeat) => this.deliver(address, to, heartbeat)},
      localState: () => ({
        usage: [],
        loads: [],
        configurationVersion: 1n,
        platformEpoch: undefined,
        platformEpochAgeMilliseconds: Infinity,
        quarantine: {
          upstreamLosses: [],
          quarantinedTraits: [],
          soundTraits: [],
        },
        requestLimits: [],
        handoverAddress: '',
        unreachablePools: [],
      }),
      onHeartbeat: heartbeat => this.received.push(heartbeat.host),
      onChange: (change: FleetChange) =>
        this.changes.push(`${name}: ${change.host} ${change.kind}`),
    });
    this.hosts.set(address, fleet);
    fleet.start();
    return fleet;
  }

  /** Stops the process of a host without a leaving heartbeat. */
  remove(name: string): void {
    void this.hosts.get(`${name}:1`)?.close();
    this.hosts.delete(`${name}:1`);
  }

  isolate(...names: string[]): void {
    for (const name of names) this.isolatedAddresses.add(`${name}:1`);
  }

  heal(): void {
    this.isolatedAddresses.clear();
  }

  /** The last heartbeat that a host sent. */
  lastHeartbeatOf(name: string): Beat {
    return this.lastHeartbeats.get(name)!;
  }

  private deliver(from: string, to: string, heartbeat: Beat): void {
    this.sentCount += 1;
    this.lastHeartbeats.set(heartbeat.host, heartbeat);
    const interval = `${from} ${Math.floor(this.clock.now() / 10)}`;
    const count = (this.sentCounts.get(interval) ?? 0) + 1;
    this.sentCounts.set(interval, count);
    if (count > this.datagramsPerInterval) return;
    if (this.isolatedAddresses.has(from) === this.isolatedAddresses.has(to))
      this.hosts.get(to)?.receive(heartbeat);
  }
}

test('hosts that share one seed discover each other', async t => {
  const network = new HeartbeatNetwork();
  const fleets = ['a', 'b', 'c', 'd'].map(name => network.add(name, ['a']));
  await network.clock.advance(2000);
  for (const fleet of fleets) t.is(fleet.hostCount, 4);
});

test('a host that has just started receives the state of the others at once', async t => {
  const network = new HeartbeatNetwork();
  for (const name of ['a', 'b', 'c']) network.add(name, ['a']);
  // The new host starts between two heartbeats of the others, so only a reply
  // to it can arrive within 60 ms.
  await network.clock.advance(2000);
  const late = network.add('d', ['a', 'b', 'c']);
  await network.clock.advance(60);
  t.is(late.hostCount, 4);
});

test('a host that leaves is removed at once and late heartbeats do not bring it back', async t => {
  const network = new HeartbeatNetwork();
  const [a, b] = ['a', 'b'].map(name => network.add(name, ['a']));
  await network.clock.advance(1000);
  b!.leave();
  t.is(a!.hostCount, 1);
  await network.clock.advance(1000);
  t.is(a!.hostCount, 1);
  network.add('b', ['a'], 2n);
  await network.clock.advance(1000);
  t.is(a!.hostCount, 2);
});

test('a partitioned host stays known and returns when the partition heals', async t => {
  const network = new HeartbeatNetwork();
  const [a, b, c] = ['a', 'b', 'c'].map(name => network.add(name, ['a']));
  await network.clock.advance(1000);
  network.isolate('c');
  await network.clock.advance(10_000);
  t.is(a!.hostCount, 3);
  t.is(a!.silentHostCount, 1);
  t.is(c!.silentHostCount, 2);
  network.heal();
  await network.clock.advance(1000);
  t.is(a!.silentHostCount + b!.silentHostCount + c!.silentHostCount, 0);
});

test('a restarted host is reported and counted once', async t => {
  const network = new HeartbeatNetwork();
  const a = network.add('a', ['a']);
  network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('b');
  network.add('b', ['a'], 5n);
  await network.clock.advance(1000);
  t.true(network.changes.includes('a: b restarted'));
  t.is(a.hostCount, 2);
});

test('a restarted host with unavailable seeds is found by its former peers', async t => {
  const network = new HeartbeatNetwork();
  const a = network.add('a', ['s']);
  const b = network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('a');
  const restarted = network.add('a', ['s'], 2n);
  await network.clock.advance(1000);
  t.is(b.hostCount, 2);
  t.is(restarted.hostCount, 2);
  t.is(restarted.silentHostCount, 0);
  t.true(a.hostCount > 0, 'the stopped process takes no part');
});

test('late heartbeats of an earlier process change nothing after a restart', async t => {
  const network = new HeartbeatNetwork();
  const a = network.add('a', ['a']);
  network.add('b', ['a']);
  await network.clock.advance(1000);
  const late = network.lastHeartbeatOf('b');
  network.remove('b');
  const restarted = network.add('b', ['a'], 5n);
  await network.clock.advance(1000);
  network.changes.length = 0;
  network.received.length = 0;
  a.receive({...late, sequence: late.sequence + 1000n});
  a.receive({...late, sequence: late.sequence + 1001n, leaving: true});
  t.deepEqual(network.changes, []);
  t.deepEqual(network.received, [], 'the state of the old process is not used');
  t.is(a.hostCount, 2);
  t.is(restarted.hostCount, 2);
});

test('heartbeats of a large fleet fit through links with short queues', async t => {
  const network = new HeartbeatNetwork();
  network.datagramsPerInterval = 20;
  const names = Array.from({length: 60}, (_, index) => `h${index}`);
  const fleets = names.map(name => network.add(name, ['h0', 'h1']));
  await network.clock.advance(10_000);
  network.changes.length = 0;
  await network.clock.advance(20_000);
  for (const fleet of fleets) t.is(fleet.hostCount, 60);
  t.deepEqual(network.changes, [], 'no host becomes silent');
});

test('195 hosts that start at once know each other soon, without a flood', async t => {
  const network = new HeartbeatNetwork();
  const hostCount = 195;
  const names = Array.from({length: hostCount}, (_, index) => `h${index}`);
  const fleets = names.map(name => network.add(name, ['h0', 'h1', 'h2']));
  await network.clock.advance(3000);
  for (const fleet of fleets) t.is(fleet.hostCount, hostCount);
  const datagramsPerPair = network.sentCount / (hostCount * (hostCount - 1));
  // One to discover the other host, and one in each interval of 2.5 s.
  t.true(datagramsPerPair < 4, String(datagramsPerPair));
});

test('a host that is silent for minutes is forgotten', async t => {
  const network = new HeartbeatNetwork();
  const a = network.add('a', ['a']);
  network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('b');
  await network.clock.advance(310_000);
  t.is(a.hostCount, 1);
});

test('events are parsed from any division of the bytes into chunks', t => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\nda';
  const bytes = Buffer.from(text);
  for (let size = 1; size <= bytes.length; size += 1) {
    const frames = new EventStreamSplitter();
    const found: (number | undefined)[] = [];
    let relayed = '';
    for (let at = 0; at < bytes.length; at += size)
      for (const frame of frames.push(bytes.subarray(at, at + size))) {
        found.push(frame.id);
        relayed += Buffer.from(frame.bytes).toString();
      }
    t.deepEqual(found, [1, 2, undefined]);
    t.is(relayed, text.slice(0, -8));
    t.is(frames.pendingBytes, 8);
  }
});

test('a failing upstream gets only trial calls until it recovers', t => {
  const health = new UpstreamHealth();
  for (let call = 0; call < 6; call += 1) health.recordFailure(1000);
  t.true(health.isUsable(1000), 'the first trial call');
  health.recordAttempt(1000);
  t.false(health.isUsable(1100));
  t.true(health.isUsable(1600), 'another trial call after the interval');
  for (let call = 0; call < 4; call += 1) health.recordSuccess(1600);
  t.true(health.failureShare(1600) < 0.5);
});

test('an upstream that is reachable again gets trial calls until they succeed', t => {
  const health = new UpstreamHealth();
  health.recordUnreachable(0);
  health.recordReachable(1000);
  t.true(health.isUsable(1000));
  health.recordAttempt(1000);
  t.false(
    health.isUsable(1100),
    'no second trial call before the interval has passed',
  );
  health.recordMisdirected(1200);
  t.false(health.isUsable(3000));
  t.true(health.isUsable(6000));
  health.recordUnreachable(6000);
  health.recordReachable(7000);
  for (let call = 0; call < 3; call += 1) health.recordSuccess(7000);
  health.recordAttempt(7000);
  t.true(health.isUsable(7001));
});

test('the backoff of an unreachable upstream grows with each failure', t => {
  const health = new UpstreamHealth();
  health.recordUnreachable(0);
  t.false(health.isUsable(100));
  t.true(health.isUsable(250));
  health.recordUnreachable(250);
  t.false(health.isUsable(600));
  t.true(health.isUsable(700));
  health.recordSuccess(700);
  health.recordUnreachable(1000);
  t.true(health.isUsable(1250));
});
