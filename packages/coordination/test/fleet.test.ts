import test from 'ava';
import {Result} from 'true-myth';
import {
  FleetView,
  PlatformHostListReader,
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

/** Maximum time until a stopped host is detected as dead. */
const detectionBoundMilliseconds = 15_000;
/** Maximum time until a status report has spread to all hosts. */
const gossipBoundMilliseconds = 12_000;

class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly views = new Map<HostId, FleetView>();
  readonly clocks = new Map<HostId, PausableClock>();
  readonly detectors = new Map<HostId, PauseDetector>();
  /** Connections, such as `h1 h2`, that drop all messages without an error. */
  readonly brokenConnections = new Set<string>();
  reconnects = 0;
  isPartitioned: (from: HostId, to: HostId) => boolean = () => false;
  private starts = 0;

  constructor(
    readonly hostCount: number,
    readonly domainCount: number,
  ) {
    this.network.policy = (from, to) => ({
      delayMilliseconds: 1.5,
      isDropped:
        this.isPartitioned(from, to) ||
        this.brokenConnections.has(`${from} ${to}`),
      copyDelaysMilliseconds: [],
    });
    for (const host of this.names) this.start(host);
  }

  get names(): HostId[] {
    return Array.from({length: this.hostCount}, (_, index) =>
      hostId(`h${index}`),
    );
  }

  domainOf(host: HostId): string {
    return `d${Number(host.slice(1)) % this.domainCount}`;
  }

  private get configuration() {
    const members = this.names.map((host, index) => ({
      host,
      failureDomain: this.domainOf(host),
      address: `10.0.0.1:${7000 + index}`,
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
        this.brokenConnections.delete(`${host} ${other}`);
        this.brokenConnections.delete(`${other} ${host}`);
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

  /**
   * Pairs `viewer host` in which a running host does not consider another live.
   */
  get pairsNotConsideredLive(): string[] {
    return [...this.views].flatMap(([viewer, view]) =>
      this.names
        .filter(host => !view.isLikelyLive(host))
        .map(host => `${viewer} ${host}`),
    );
  }
}

const [h0, h4, h8] = [hostId('h0'), hostId('h4'), hostId('h8')];

test('live hosts are not suspected', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(60_000);
  t.deepEqual(fleet.pairsNotConsideredLive, []);
  t.true([...fleet.views.values()].every(view => view.isFresh));
});

test('all hosts detect a dead host and suspect no other', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  await fleet.kill(h4);
  await fleet.clock.advance(
    detectionBoundMilliseconds + gossipBoundMilliseconds,
  );
  t.deepEqual(
    fleet.pairsNotConsideredLive.sort(),
    [...fleet.views.keys()].map(viewer => `${viewer} h4`).sort(),
  );
});

test('a broken connection does not make a host appear dead', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  for (const host of fleet.names) fleet.brokenConnections.add(`${host} h4`);
  for (let time = 0; time < 30_000; time += 100) {
    await fleet.clock.advance(100);
    if (fleet.pairsNotConsideredLive.length > 0) break;
  }
  t.deepEqual(fleet.pairsNotConsideredLive, []);
  t.true(fleet.reconnects > 0);
});

test('all hosts report the new incarnation of a replaced host', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  const before = fleet.views.get(h0)!.incarnationOf(h4);
  await fleet.kill(h4);
  await fleet.clock.advance(3000);
  fleet.start(h4);
  await fleet.clock.advance(gossipBoundMilliseconds);
  t.is(before, incarnation('i5'));
  for (const view of fleet.views.values())
    t.is(view.incarnationOf(h4), incarnation('i10'));
  t.deepEqual(fleet.pairsNotConsideredLive, []);
});

test('a leaving host is not considered live', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  void fleet.views.get(h8)!.announceLeaving();
  await fleet.clock.advance(gossipBoundMilliseconds);
  t.deepEqual(
    fleet.pairsNotConsideredLive.sort(),
    fleet.names.map(viewer => `${viewer} h8`).sort(),
  );
  const leavingHost = fleet.views
    .get(h0)!
    .hosts()
    .find(each => each.host === h8);
  t.is(leavingHost?.status, 'leaving');
});

test('a partitioned failure domain is considered live again when it heals', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  const isInside = (host: HostId) => fleet.domainOf(host) === 'd1';
  fleet.isPartitioned = (from, to) => isInside(from) !== isInside(to);
  await fleet.clock.advance(60_000);
  t.false(fleet.views.get(h0)!.isLikelyLive(h4));
  t.false(fleet.views.get(h4)!.isLikelyLive(h0));
  t.true(fleet.views.get(h4)!.isLikelyLive(hostId('h7')));
  fleet.isPartitioned = () => false;
  await fleet.clock.advance(30_000);
  t.deepEqual(fleet.pairsNotConsideredLive, []);
});

test('a paused host refreshes its view before it is fresh again', async t => {
  const fleet = new SimulatedFleet(9, 3);
  await fleet.clock.advance(10_000);
  const view = fleet.views.get(h4)!;
  const pauses: number[] = [];
  fleet.detectors.get(h4)!.subscribe(paused => pauses.push(paused));
  fleet.clocks.get(h4)!.pause();
  await fleet.clock.advance(30_000);
  t.false(fleet.views.get(h0)!.isLikelyLive(h4));
  fleet.clocks.get(h4)!.resume();
  await fleet.clock.advance(0);
  t.is(pauses.length, 1);
  t.true(pauses[0]! > 28_000);
  t.false(view.isFresh);
  t.deepEqual(
    fleet.pairsNotConsideredLive.filter(pair => pair.startsWith('h4')),
    [],
  );
  await fleet.clock.advance(gossipBoundMilliseconds);
  t.true(view.isFresh);
  t.deepEqual(fleet.pairsNotConsideredLive, []);
});

test('a leaving entry does not apply to the next incarnation of the host', async t => {
  const fleet = new SimulatedFleet(3, 1);
  await fleet.clock.advance(5000);
  const view = fleet.views.get(h0)!;
  const host = hostId('h1');
  view.recordPlatformHosts([{host, state: 'leaving'}]);
  t.false(view.isLikelyLive(host));
  await fleet.kill(host);
  fleet.start(host);
  await fleet.clock.advance(gossipBoundMilliseconds);
  view.recordPlatformHosts([{host, state: 'leaving'}]);
  t.true(view.isLikelyLive(host));
});

test('all hosts of a large failure domain detect a dead host', async t => {
  const fleet = new SimulatedFleet(51, 1);
  await fleet.clock.advance(30_000);
  await fleet.kill(h4);
  await fleet.clock.advance(
    detectionBoundMilliseconds + gossipBoundMilliseconds,
  );
  t.is(fleet.pairsNotConsideredLive.length, 50);
});

test('the host list of the platform is read periodically', async t => {
  const clock = new VirtualClock();
  let reads = 0;
  const hostCounts: number[] = [];
  const reader = new PlatformHostListReader({
    clock,
    random: seededRandom(1),
    source: {
      async read() {
        reads += 1;
        const error = {kind: 'unreachable', address: '', reason: ''} as const;
        return reads === 1 ? Result.err(error) : Result.ok([]);
      },
    },
    onHosts: hosts => hostCounts.push(hosts.length),
  });
  reader.start();
  await clock.advance(120_000);
  t.true(reads >= 3 && reads <= 5);
  t.is(hostCounts.length, reads - 1);
  await reader.close();
});
