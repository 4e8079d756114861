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
import type {Beat, FleetChange} from '../src/index.js';
import {UpstreamHealth} from '../src/passthrough/upstream-health.js';

class SteppedClock extends VirtualClock {
  wallAhead = 0;

  override wallNow(): number {
    return super.wallNow() + this.wallAhead;
  }
}

test('a proof counts from when its read was sent', async t => {
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

test('an older proof takes nothing back', async t => {
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

test('a suspension that only the wall clock shows makes proofs old', async t => {
  const clock = new SteppedClock();
  const freshness = new ConfigurationFreshness({
    clock,
    maximumAgeMilliseconds: 5000,
  });
  freshness.confirm(freshness.startProof());
  clock.wallAhead = 6000;
  t.false(freshness.isFresh());
  freshness.confirm({steady: clock.now() + 1, wall: clock.wallNow() + 1});
  t.true(freshness.isFresh());
  clock.wallAhead = 0;
  t.true(freshness.isFresh(), 'a wall clock that is set back proves nothing');
});

test('without a limit keys are always fresh', t => {
  const clock = new VirtualClock();
  const limits = {clock, maximumAgeMilliseconds: undefined};
  t.true(new ConfigurationFreshness(limits).isFresh());
});

test('retries stay within their part of calls and of the fixed amount', async t => {
  const clock = new VirtualClock();
  const allowance = new PoolRetryBudget({
    clock,
    ratio: 0.2,
    extra: 52,
    windowMilliseconds: 10_000,
    hostCount: () => 6,
  });
  for (let call = 0; call < 100; call += 1) allowance.countCall('pool');
  let taken = 0;
  while (allowance.tryTake('pool')) taken += 1;
  t.true(taken <= 100 * 0.2 + 52 / 6);
  t.true(taken >= 20, String(taken));
  t.false(allowance.tryTake('pool'));
  t.true(allowance.tryTake('other'), 'pools are apart');
  await clock.advance(11_000);
  t.true(allowance.tryTake('pool'));
});

test('a host that knows nobody takes little of the fixed amount', t => {
  const allowance = new PoolRetryBudget({
    clock: new VirtualClock(),
    ratio: 0.2,
    extra: 52,
    windowMilliseconds: 10_000,
    hostCount: () => 1,
  });
  let taken = 0;
  while (allowance.tryTake('pool')) taken += 1;
  t.true(taken <= 52 / 4);
});

/** Hosts that send each other beats over a network that can be cut. */
class BeatNetwork {
  readonly clock = new VirtualClock();
  readonly changes: string[] = [];
  private readonly hosts = new Map<string, DiscoveredFleet>();
  private readonly cut = new Set<string>();
  /** Datagrams that the link of a host takes in ten milliseconds. */
  datagramsAtOnce = Infinity;
  private readonly sent = new Map<string, number>();

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
      sender: {send: (to, beat) => this.deliver(address, to, beat)},
      localState: () => ({usage: [], loads: []}),
      onHeartbeat: () => undefined,
      onChange: (change: FleetChange) =>
        this.changes.push(`${name}: ${change.host} ${change.kind}`),
    });
    this.hosts.set(address, fleet);
    fleet.start();
    return fleet;
  }

  /** Ends the process of a host without a word. */
  remove(name: string): void {
    void this.hosts.get(`${name}:1`)?.close();
    this.hosts.delete(`${name}:1`);
  }

  divide(...names: string[]): void {
    for (const name of names) this.cut.add(`${name}:1`);
  }

  heal(): void {
    this.cut.clear();
  }

  private deliver(from: string, to: string, beat: Beat): void {
    const slot = `${from} ${Math.floor(this.clock.now() / 10)}`;
    const count = (this.sent.get(slot) ?? 0) + 1;
    this.sent.set(slot, count);
    if (count > this.datagramsAtOnce) return;
    if (this.cut.has(from) === this.cut.has(to))
      this.hosts.get(to)?.receive(beat);
  }
}

test('hosts that share one seed find each other', async t => {
  const network = new BeatNetwork();
  const fleets = ['a', 'b', 'c', 'd'].map(name => network.add(name, ['a']));
  await network.clock.advance(2000);
  for (const fleet of fleets) t.is(fleet.hostCount, 4);
});

test('a host that has just started is told at once what the others know', async t => {
  const network = new BeatNetwork();
  for (const name of ['a', 'b', 'c']) network.add(name, ['a']);
  // Between two beats, so that only an answer to the new host comes in time.
  await network.clock.advance(2000);
  const late = network.add('d', ['a', 'b', 'c']);
  await network.clock.advance(60);
  t.is(late.hostCount, 4);
});

test('a host that leaves is gone at once and late beats do not revive it', async t => {
  const network = new BeatNetwork();
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

test('a host that is cut off stays known and is heard again', async t => {
  const network = new BeatNetwork();
  const [a, b, c] = ['a', 'b', 'c'].map(name => network.add(name, ['a']));
  await network.clock.advance(1000);
  network.divide('c');
  await network.clock.advance(10_000);
  t.is(a!.hostCount, 3);
  t.is(a!.silentHostCount, 1);
  t.is(c!.silentHostCount, 2);
  network.heal();
  await network.clock.advance(1000);
  t.is(a!.silentHostCount + b!.silentHostCount + c!.silentHostCount, 0);
});

test('a restarted host is told apart and an old process is not heard', async t => {
  const network = new BeatNetwork();
  const a = network.add('a', ['a']);
  network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('b');
  network.add('b', ['a'], 5n);
  await network.clock.advance(1000);
  t.true(network.changes.includes('a: b restarted'));
  t.is(a.hostCount, 2);
});

test('a host whose seeds are gone is found by those it once knew', async t => {
  const network = new BeatNetwork();
  const a = network.add('a', ['s']);
  const b = network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('a');
  network.add('a', ['s'], 2n);
  await network.clock.advance(1000);
  t.is(b.hostCount, 2);
  t.is(a.hostCount, 2);
});

test('beats of a large fleet pass links that take few datagrams at once', async t => {
  const network = new BeatNetwork();
  network.datagramsAtOnce = 20;
  const names = Array.from({length: 60}, (_, index) => `h${index}`);
  const fleets = names.map(name => network.add(name, ['h0', 'h1']));
  await network.clock.advance(10_000);
  network.changes.length = 0;
  await network.clock.advance(20_000);
  for (const fleet of fleets) t.is(fleet.hostCount, 60);
  t.deepEqual(network.changes, [], 'no host falls silent');
});

test('a host that is silent for minutes is forgotten', async t => {
  const network = new BeatNetwork();
  const a = network.add('a', ['a']);
  network.add('b', ['a']);
  await network.clock.advance(1000);
  network.remove('b');
  await network.clock.advance(310_000);
  t.is(a.hostCount, 1);
});

test('events are cut out of any division of the bytes', t => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\nda';
  const bytes = Buffer.from(text);
  for (let size = 1; size <= bytes.length; size += 1) {
    const frames = new EventStreamSplitter();
    const found: (number | undefined)[] = [];
    let passed = '';
    for (let at = 0; at < bytes.length; at += size)
      for (const frame of frames.push(bytes.subarray(at, at + size))) {
        found.push(frame.id);
        passed += Buffer.from(frame.bytes).toString();
      }
    t.deepEqual(found, [1, 2, undefined]);
    t.is(passed, text.slice(0, -8));
    t.is(frames.pendingBytes, 8);
  }
});

test('an upstream that fails gets trials only, and is let back', t => {
  const health = new UpstreamHealth();
  for (let call = 0; call < 6; call += 1) health.recordFailure(1000);
  t.true(health.isUsable(1000), 'a first trial');
  health.recordStart(1000);
  t.false(health.isUsable(1100));
  t.true(health.isUsable(1600), 'one more trial later');
  for (let call = 0; call < 4; call += 1) health.recordSuccess(1600);
  t.true(health.failureShare(1600) < 0.5);
});

test('an upstream that is reached again gets trials until one succeeds', t => {
  const health = new UpstreamHealth();
  health.recordUnreachable(0);
  health.recordReachable(1000);
  t.true(health.isUsable(1000));
  health.recordStart(1000);
  t.false(health.isUsable(1100), 'another process may have the address');
  health.recordMisdirected(1200);
  t.false(health.isUsable(3000));
  t.true(health.isUsable(6000));
  health.recordUnreachable(6000);
  health.recordReachable(7000);
  for (let call = 0; call < 3; call += 1) health.recordSuccess(7000);
  health.recordStart(7000);
  t.true(health.isUsable(7001));
});

test('an upstream that can not be reached rests longer each time', t => {
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
