import test from 'ava';
import {Result} from 'true-myth';
import {
  InMemoryNetwork,
  OwnedAttempts,
  OwnershipHandler,
  Sweeper,
  VirtualClock,
  attemptId,
  buildConfiguration,
  emptyConfiguration,
  failureDomainId,
  hostId,
  incarnation,
  requestId,
  seededRandom,
  upstreamId,
} from '../src/index.js';
import type {
  AttemptId,
  PeerIdentity,
  RunningAttempt,
  SweepReason,
  SweptEngine,
} from '../src/index.js';
import {QuestionPlan} from '../src/ownership/question-plan.js';
import {upstream} from './tools/documents.js';
import {PausableClock} from './tools/pausable-clock.js';

/** Every attempt of an unreachable owner is gone after this. */
const silentBoundMilliseconds = 25_000;
/** Every attempt of an owner that was replaced is gone after this. */
const replacedBoundMilliseconds = 8000;

class MemoryEngine implements SweptEngine {
  readonly id = upstreamId('e');
  readonly attempts = new Map<AttemptId, RunningAttempt & {from: number}>();

  constructor(private readonly clock: VirtualClock) {}

  hold(attempt: AttemptId, owner: PeerIdentity): void {
    this.attempts.set(attempt, {
      request: requestId(attempt),
      attempt,
      owner,
      state: 'decoding',
      ageMilliseconds: 0,
      from: this.clock.now(),
    });
  }

  async running() {
    const now = this.clock.now();
    return Result.ok<readonly RunningAttempt[], never>(
      [...this.attempts.values()].map(each => ({
        ...each,
        ageMilliseconds: now - each.from,
      })),
    );
  }

  async cancel({attempt}: {attempt: AttemptId}) {
    this.attempts.delete(attempt);
    return Result.ok<void, never>(undefined);
  }
}

interface SweepHost extends PeerIdentity {
  readonly owned: OwnedAttempts;
  readonly sweeper: Sweeper;
}

/** Hosts `h0` to `h5`, the even ones in `d0` with the engine. */
class SweepFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly engine = new MemoryEngine(this.clock);
  readonly reasons: SweepReason[] = [];
  readonly hosts: SweepHost[] = [];
  readonly clocks: PausableClock[] = [];
  private readonly random = seededRandom(31);
  private starts = 0;

  constructor() {
    for (let at = 0; at < 6; at += 1) this.start(at);
  }

  start(at: number): SweepHost {
    const host = hostId(`h${at}`);
    this.starts += 1;
    const self = {host, incarnation: incarnation(`i${this.starts}`)};
    const clock = new PausableClock(this.clock);
    this.clocks[at] = clock;
    const owned = new OwnedAttempts();
    const transport = this.network.transportOf(self);
    const handler = new OwnershipHandler(self, owned, transport);
    this.network.attach(host, async body => {
      await clock.waitUntilResumed();
      if (body.$case !== 'ownership')
        return {$case: 'refusal', value: {code: 0}};
      return {$case: body.$case, value: await handler.handle(body.value)};
    });
    const sweeper = new Sweeper({
      clock,
      random: this.random,
      self,
      failureDomain: failureDomainId(`d${at % 2}`),
      configuration: () => configuration,
      engines: {engineOf: () => this.engine},
      transport,
      owned,
      isLikelyLive: other => other !== hostId('h0'),
      onCancelled: (_attempt, _engine, reason) => this.reasons.push(reason),
    });
    this.hosts[at] = {...self, owned, sweeper};
    if (at !== 0) sweeper.start();
    return this.hosts[at];
  }

  /** Attempts of `owner` that it registered and the engine holds. */
  run(owner: SweepHost, name: string, count: number): void {
    for (let at = 0; at < count; at += 1) {
      const attempt = attemptId(`${name}-${at}`);
      owner.owned.register(attempt);
      this.engine.hold(attempt, owner);
    }
  }

  held(name: string): number {
    return [...this.engine.attempts.keys()].filter(each =>
      each.startsWith(name),
    ).length;
  }
}

const configuration = buildConfiguration(1n, [
  upstream('e'),
  {
    kind: 'Pool',
    name: 'p',
    spec: {role: 'decode', model: 'm', upstreams: {}},
  },
  {
    kind: 'Membership',
    name: 'fleet',
    spec: {
      members: [0, 1, 2, 3, 4, 5].map(at => ({
        host: `h${at}`,
        failureDomain: `d${at % 2}`,
        address: `10.0.0.${at}:7000`,
      })),
    },
  },
]).unwrapOr(emptyConfiguration);

/** The owner `h0` with 20 streams and another host with live ones. */
function startStreams() {
  const fleet = new SweepFleet();
  const [owner, , other] = fleet.hosts;
  fleet.run(owner!, 'lost', 20);
  fleet.run(other!, 'live', 20);
  return {fleet, owner: owner!, other: other!};
}

test('live streams are left alone', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(120_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('a killed owner holds nothing after the bound', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(5000);
  fleet.network.detach(hostId('h0'));
  await fleet.clock.advance(silentBoundMilliseconds);
  t.is(fleet.held('lost'), 0);
  t.is(fleet.held('live'), 20);
  t.deepEqual([...new Set(fleet.reasons)], ['owner-silent']);
});

test('a replaced owner holds nothing after a sweep', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(5000);
  fleet.run(fleet.start(0), 'new', 5);
  await fleet.clock.advance(replacedBoundMilliseconds);
  t.deepEqual(
    [fleet.held('lost'), fleet.held('new'), fleet.held('live')],
    [0, 5, 20],
  );
  t.deepEqual([...new Set(fleet.reasons)], ['owner-replaced']);
});

test('a released attempt is cancelled', async t => {
  const {fleet, owner} = startStreams();
  owner.owned.release(attemptId('lost-3'));
  await fleet.clock.advance(replacedBoundMilliseconds);
  t.false(fleet.engine.attempts.has(attemptId('lost-3')));
  t.is(fleet.engine.attempts.size, 39);
});

test('an attempt taken during a question is not disowned', async t => {
  const {fleet, owner} = startStreams();
  for (let round = 0; round < 40; round += 1) {
    fleet.run(owner, `fresh${round}`, 1);
    await fleet.clock.advance(777);
  }
  t.is(fleet.held('fresh'), 40);
});

test('a short pause of the owner costs nothing', async t => {
  const {fleet} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(10_000);
  fleet.clocks[0]!.resume();
  await fleet.clock.advance(60_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('an owner that wakes late has lost its streams only', async t => {
  const {fleet, owner} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(silentBoundMilliseconds);
  t.is(fleet.held('lost'), 0);
  fleet.clocks[0]!.resume();
  fleet.run(owner, 'after', 5);
  await fleet.clock.advance(60_000);
  t.is(fleet.held('after'), 5);
  t.is(fleet.held('live'), 20);
});

test('an owner cut off from the sweepers is asked by others', async t => {
  const {fleet} = startStreams();
  const isCut = (from: string, to: string) =>
    (from === 'h0' && ['h2', 'h4'].includes(to)) ||
    (to === 'h0' && ['h2', 'h4'].includes(from));
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: 1.5,
    isDropped: isCut(from, to),
    copyDelaysMilliseconds: [],
  });
  await fleet.clock.advance(120_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('an owner cut off from all loses its streams at the bound', async t => {
  const {fleet} = startStreams();
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: 1.5,
    isDropped: from === 'h0' || to === 'h0',
    copyDelaysMilliseconds: [],
  });
  await fleet.clock.advance(14_000);
  t.is(fleet.held('lost'), 20, 'not before the owner had its time');
  await fleet.clock.advance(silentBoundMilliseconds - 14_000);
  t.is(fleet.held('lost'), 0);
  t.is(fleet.held('live'), 20);
});

test('a sweeper that wakes late starts its counts again', async t => {
  const {fleet} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(15_500);
  for (const clock of fleet.clocks) clock.pause();
  await fleet.clock.advance(60_000);
  for (const clock of fleet.clocks.slice(1)) clock.resume();
  await fleet.clock.advance(8000);
  fleet.clocks[0]!.resume();
  await fleet.clock.advance(60_000);
  t.is(fleet.held('lost'), 20);
});

test('questions to quiet owners are bounded and reach all', async t => {
  const plan = new QuestionPlan();
  const owners = Array.from({length: 36}, (_, at) => ({
    host: hostId(`h${at}`),
    incarnation: incarnation(`i${at}`),
  }));
  const asked = new Set<string>();
  for (let sweep = 0; sweep < 9; sweep += 1) {
    const chosen = plan.choose(owners, owner => owner === owners[3]);
    t.true(chosen.length <= 5 && chosen.includes(owners[3]!));
    for (const owner of chosen) asked.add(owner.host);
  }
  t.is(asked.size, 36);
});
