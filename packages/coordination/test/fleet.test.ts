import test from 'ava';
import {Result} from 'true-myth';
import {
  FleetView,
  HostHintReader,
  InMemoryNetwork,
  PauseDetector,
  VirtualClock,
  buildConfiguration,
  emptyConfiguration,
  failureDomainId,
  hostId,
  incarnation,
  seededRandom,
} from '../src/index.js';
import type {HostId} from '../src/index.js';
import {PausableClock} from './tools/pausable-clock.js';

/** A host that stopped looks dead to all within this time. */
const deathBoundMilliseconds = 15_000;
/** News reach all within this time. */
const newsBoundMilliseconds = 12_000;

class ViewFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly views = new Map<HostId, FleetView>();
  readonly clocks = new Map<HostId, PausableClock>();
  readonly detectors = new Map<HostId, PauseDetector>();
  /** Connections, as `h1 h2`, that lose all and do not know it. */
  readonly silent = new Set<string>();
  reconnects = 0;
  isCut: (from: HostId, to: HostId) => boolean = () => false;
  private starts = 0;

  constructor(
    readonly hostCount: number,
    readonly domainCount: number,
  ) {
    this.network.policy = (from, to) => ({
      delayMilliseconds: 1.5,
      isDropped: this.isCut(from, to) || this.silent.has(`${from} ${to}`),
      copyDelaysMilliseconds: [],
    });
    for (const host of this.names) this.start(host);
  }

  get names(): HostId[] {
    return Array.from({length: this.hostCount}, (_, at) => hostId(`h${at}`));
  }

  domainOf(host: HostId): string {
    return `d${Number(host.slice(1)) % this.domainCount}`;
  }

  private get configuration() {
    const members = this.names.map((host, at) => ({
      host,
      failureDomain: this.domainOf(host),
      address: `10.0.0.1:${7000 + at}`,
    }));
    const document = {kind: 'Membership', name: 'fleet', spec: {members}};
    return buildConfiguration(1n, [document]).unwrapOr(emptyConfiguration);
  }

  start(host: HostId): FleetView {
    this.starts += 1;
    const clock = new PausableClock(this.clock);
    const self = {host, incarnation: incarnation(`i${this.starts}`)};
    const {configuration} = this;
    const pauses = new PauseDetector({clock});
    const view = new FleetView({
      clock,
      random: seededRandom(this.starts),
      self,
      failureDomain: failureDomainId(this.domainOf(host)),
      configuration: () => configuration,
      transport: this.network.transportOf(self),
      pauseDetector: pauses,
      reconnect: async other => {
        this.reconnects += 1;
        this.silent.delete(`${host} ${other}`);
        this.silent.delete(`${other} ${host}`);
      },
    });
    this.network.attach(host, async (body, from) => {
      await clock.waitUntilResumed();
      return body.$case === 'fleet'
        ? {$case: body.$case, value: view.handle(body.value, from)}
        : {$case: 'refusal', value: {code: 0}};
    });
    this.views.set(host, view);
    this.clocks.set(host, clock);
    this.detectors.set(host, pauses);
    pauses.start();
    view.start();
    return view;
  }

  async kill(host: HostId): Promise<void> {
    this.network.detach(host);
    const view = this.views.get(host)!;
    this.views.delete(host);
    void view.close();
    await this.detectors.get(host)!.close();
  }

  /** Hosts that some running host takes for gone, as `viewer host`. */
  get doubts(): string[] {
    return [...this.views].flatMap(([viewer, view]) =>
      this.names
        .filter(host => !view.isLikelyLive(host))
        .map(host => `${viewer} ${host}`),
    );
  }
}

const [h0, h4, h8] = [hostId('h0'), hostId('h4'), hostId('h8')];

test('quiet hosts are not doubted', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(60_000);
  t.deepEqual(fleet.doubts, []);
  t.true([...fleet.views.values()].every(view => view.isFresh));
});

test('a dead host is noticed by all and nobody else doubted', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  await fleet.kill(h4);
  await fleet.clock.advance(deathBoundMilliseconds + newsBoundMilliseconds);
  t.deepEqual(
    fleet.doubts.sort(),
    [...fleet.views.keys()].map(viewer => `${viewer} h4`).sort(),
  );
});

test('a silent connection is no dead host', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  for (const host of fleet.names) fleet.silent.add(`${host} h4`);
  for (let time = 0; time < 30_000; time += 100) {
    await fleet.clock.advance(100);
    if (fleet.doubts.length > 0) break;
  }
  t.deepEqual(fleet.doubts, []);
  t.true(fleet.reconnects > 0);
});

test('a replaced host is known by its new incarnation', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  const before = fleet.views.get(h0)!.incarnationOf(h4);
  await fleet.kill(h4);
  await fleet.clock.advance(3000);
  fleet.start(h4);
  await fleet.clock.advance(newsBoundMilliseconds);
  t.is(before, incarnation('i5'));
  for (const view of fleet.views.values())
    t.is(view.incarnationOf(h4), incarnation('i10'));
  t.deepEqual(fleet.doubts, []);
});

test('a leaving host takes no new roles', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  void fleet.views.get(h8)!.announceLeaving();
  await fleet.clock.advance(newsBoundMilliseconds);
  t.deepEqual(
    fleet.doubts.sort(),
    fleet.names.map(viewer => `${viewer} h8`).sort(),
  );
  const seen = fleet.views
    .get(h0)!
    .hosts()
    .find(each => each.host === h8);
  t.is(seen?.status, 'leaving');
});

test('a domain that is cut off and healed is known again', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  const isInside = (host: HostId) => fleet.domainOf(host) === 'd1';
  fleet.isCut = (from, to) => isInside(from) !== isInside(to);
  await fleet.clock.advance(60_000);
  t.false(fleet.views.get(h0)!.isLikelyLive(h4));
  t.false(fleet.views.get(h4)!.isLikelyLive(h0));
  t.true(fleet.views.get(h4)!.isLikelyLive(hostId('h7')));
  fleet.isCut = () => false;
  await fleet.clock.advance(30_000);
  t.deepEqual(fleet.doubts, []);
});

test('a paused host refreshes before it trusts its view', async t => {
  const fleet = new ViewFleet(9, 3);
  await fleet.clock.advance(10_000);
  const view = fleet.views.get(h4)!;
  const heard: number[] = [];
  fleet.detectors.get(h4)!.subscribe(paused => heard.push(paused));
  fleet.clocks.get(h4)!.pause();
  await fleet.clock.advance(30_000);
  t.false(fleet.views.get(h0)!.isLikelyLive(h4));
  fleet.clocks.get(h4)!.resume();
  await fleet.clock.advance(0);
  t.is(heard.length, 1);
  t.true(heard[0]! > 28_000);
  t.false(view.isFresh);
  t.deepEqual(
    fleet.doubts.filter(doubt => doubt.startsWith('h4')),
    [],
  );
  await fleet.clock.advance(newsBoundMilliseconds);
  t.true(view.isFresh);
  t.deepEqual(fleet.doubts, []);
});

test('an outdated hint does not outlive the process', async t => {
  const fleet = new ViewFleet(3, 1);
  await fleet.clock.advance(5000);
  const view = fleet.views.get(h0)!;
  const host = hostId('h1');
  view.recordHints([{host, state: 'leaving'}]);
  t.false(view.isLikelyLive(host));
  await fleet.kill(host);
  fleet.start(host);
  await fleet.clock.advance(newsBoundMilliseconds);
  view.recordHints([{host, state: 'leaving'}]);
  t.true(view.isLikelyLive(host));
});

test('a large failure domain notices a death', async t => {
  const fleet = new ViewFleet(51, 1);
  await fleet.clock.advance(30_000);
  await fleet.kill(h4);
  await fleet.clock.advance(deathBoundMilliseconds + newsBoundMilliseconds);
  t.is(fleet.doubts.length, 50);
});

test('the platform list is read from time to time', async t => {
  const clock = new VirtualClock();
  let reads = 0;
  const heard: number[] = [];
  const reader = new HostHintReader({
    clock,
    random: seededRandom(1),
    source: {
      async read() {
        reads += 1;
        const error = {kind: 'unreachable', address: '', reason: ''} as const;
        return reads === 1 ? Result.err(error) : Result.ok([]);
      },
    },
    onHints: hints => heard.push(hints.length),
  });
  reader.start();
  await clock.advance(120_000);
  t.true(reads >= 3 && reads <= 5);
  t.is(heard.length, reads - 1);
  await reader.close();
});
