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
import {QueryScheduler} from '../src/ownership/query-scheduler.js';
import {upstream} from './tools/documents.js';
import {PausableClock} from './tools/pausable-clock.js';

/** Time within which all attempts of an unreachable owner are cancelled. */
const silentOwnerLimitMilliseconds = 25_000;
/** Time within which all attempts of a replaced owner are cancelled. */
const replacedOwnerLimitMilliseconds = 8000;

class InMemoryEngine implements SweptEngine {
  readonly id = upstreamId('e');
  readonly attempts = new Map<
    AttemptId,
    RunningAttempt & {startedAt: number}
  >();

  constructor(private readonly clock: VirtualClock) {}

  hold(attempt: AttemptId, owner: PeerIdentity): void {
    this.attempts.set(attempt, {
      request: requestId(attempt),
      attempt,
      owner,
      state: 'decoding',
      ageMilliseconds: 0,
      startedAt: this.clock.now(),
    });
  }

  async running() {
    const now = this.clock.now();
    return Result.ok<readonly RunningAttempt[], never>(
      [...this.attempts.values()].map(attempt => ({
        ...attempt,
        ageMilliseconds: now - attempt.startedAt,
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

/** Hosts `h0` to `h5`; those with even numbers are in `d0`, as is the engine. */
class SweepFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly engine = new InMemoryEngine(this.clock);
  readonly reasons: SweepReason[] = [];
  readonly hosts: SweepHost[] = [];
  readonly clocks: PausableClock[] = [];
  private readonly random = seededRandom(31);
  private startCount = 0;

  constructor() {
    for (let index = 0; index < 6; index += 1) this.start(index);
  }

  start(index: number): SweepHost {
    const host = hostId(`h${index}`);
    this.startCount += 1;
    const self = {host, incarnation: incarnation(`i${this.startCount}`)};
    const clock = new PausableClock(this.clock);
    this.clocks[index] = clock;
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
      failureDomain: failureDomainId(`d${index % 2}`),
      configuration: () => configuration,
      engines: {engineOf: () => this.engine},
      transport,
      ownedAttempts: owned,
      isLikelyLive: other => other !== hostId('h0'),
      onCancelled: (_attempt, _engine, reason) => this.reasons.push(reason),
    });
    this.hosts[index] = {...self, owned, sweeper};
    if (index !== 0) sweeper.start();
    return this.hosts[index];
  }

  /** Adds attempts that `owner` registers and the engine runs. */
  addAttempts(owner: SweepHost, name: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      const attempt = attemptId(`${name}-${index}`);
      owner.owned.register(attempt);
      this.engine.hold(attempt, owner);
    }
  }

  countAttempts(name: string): number {
    return [...this.engine.attempts.keys()].filter(attempt =>
      attempt.startsWith(name),
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
      members: [0, 1, 2, 3, 4, 5].map(index => ({
        host: `h${index}`,
        failureDomain: `d${index % 2}`,
        address: `10.0.0.${index}:7000`,
      })),
    },
  },
]).unwrapOr(emptyConfiguration);

/** Starts 20 streams each for the owner `h0` and for `h2`. */
function startStreams() {
  const fleet = new SweepFleet();
  const [owner, , other] = fleet.hosts;
  fleet.addAttempts(owner!, 'owned', 20);
  fleet.addAttempts(other!, 'other', 20);
  return {fleet, owner: owner!, other: other!};
}

test('attempts of live owners are not cancelled', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(120_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('attempts of a killed owner are cancelled within the limit', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(5000);
  fleet.network.detach(hostId('h0'));
  await fleet.clock.advance(silentOwnerLimitMilliseconds);
  t.is(fleet.countAttempts('owned'), 0);
  t.is(fleet.countAttempts('other'), 20);
  t.deepEqual([...new Set(fleet.reasons)], ['owner-silent']);
});

test('attempts of a replaced owner are cancelled within the limit', async t => {
  const {fleet} = startStreams();
  await fleet.clock.advance(5000);
  fleet.addAttempts(fleet.start(0), 'new', 5);
  await fleet.clock.advance(replacedOwnerLimitMilliseconds);
  t.deepEqual(
    [
      fleet.countAttempts('owned'),
      fleet.countAttempts('new'),
      fleet.countAttempts('other'),
    ],
    [0, 5, 20],
  );
  t.deepEqual([...new Set(fleet.reasons)], ['owner-replaced']);
});

test('a released attempt is cancelled', async t => {
  const {fleet, owner} = startStreams();
  owner.owned.release(attemptId('owned-3'));
  await fleet.clock.advance(replacedOwnerLimitMilliseconds);
  t.false(fleet.engine.attempts.has(attemptId('owned-3')));
  t.is(fleet.engine.attempts.size, 39);
});

test('attempts that start between and during sweeps are not cancelled', async t => {
  const {fleet, owner} = startStreams();
  for (let round = 0; round < 40; round += 1) {
    fleet.addAttempts(owner, `fresh${round}`, 1);
    await fleet.clock.advance(777);
  }
  t.is(fleet.countAttempts('fresh'), 40);
});

test('a short pause of the owner cancels no attempts', async t => {
  const {fleet} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(10_000);
  fleet.clocks[0]!.resume();
  await fleet.clock.advance(60_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('an owner that resumes after its attempts were cancelled keeps new ones', async t => {
  const {fleet, owner} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(silentOwnerLimitMilliseconds);
  t.is(fleet.countAttempts('owned'), 0);
  fleet.clocks[0]!.resume();
  fleet.addAttempts(owner, 'after', 5);
  await fleet.clock.advance(60_000);
  t.is(fleet.countAttempts('after'), 5);
  t.is(fleet.countAttempts('other'), 20);
});

test('an owner unreachable from the sweepers is queried through relays', async t => {
  const {fleet} = startStreams();
  const isPartitioned = (from: string, to: string) =>
    (from === 'h0' && ['h2', 'h4'].includes(to)) ||
    (to === 'h0' && ['h2', 'h4'].includes(from));
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: 1.5,
    isDropped: isPartitioned(from, to),
    copyDelaysMilliseconds: [],
  });
  await fleet.clock.advance(120_000);
  t.is(fleet.engine.attempts.size, 40);
});

test('attempts of an owner unreachable from all hosts are cancelled', async t => {
  const {fleet} = startStreams();
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: 1.5,
    isDropped: from === 'h0' || to === 'h0',
    copyDelaysMilliseconds: [],
  });
  await fleet.clock.advance(14_000);
  t.is(
    fleet.countAttempts('owned'),
    20,
    'cancelled before the silence timeout',
  );
  await fleet.clock.advance(silentOwnerLimitMilliseconds - 14_000);
  t.is(fleet.countAttempts('owned'), 0);
  t.is(fleet.countAttempts('other'), 20);
});

test('a pause of the sweepers resets their failure counts', async t => {
  const {fleet} = startStreams();
  fleet.clocks[0]!.pause();
  await fleet.clock.advance(15_500);
  for (const clock of fleet.clocks) clock.pause();
  await fleet.clock.advance(60_000);
  for (const clock of fleet.clocks.slice(1)) clock.resume();
  await fleet.clock.advance(8000);
  fleet.clocks[0]!.resume();
  await fleet.clock.advance(60_000);
  t.is(fleet.countAttempts('owned'), 20);
});

test('routine queries are limited in each sweep and reach all owners', async t => {
  const scheduler = new QueryScheduler();
  const owners = Array.from({length: 36}, (_, index) => ({
    host: hostId(`h${index}`),
    incarnation: incarnation(`i${index}`),
  }));
  const queried = new Set<string>();
  for (let sweep = 0; sweep < 9; sweep += 1) {
    const chosen = scheduler.choose(owners, owner => owner === owners[3]);
    t.true(chosen.length <= 5 && chosen.includes(owners[3]!));
    for (const owner of chosen) queried.add(owner.host);
  }
  t.is(queried.size, 36);
});
