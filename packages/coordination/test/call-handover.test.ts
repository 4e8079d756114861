import test from 'ava';
import {Result} from 'true-myth';
import {
  UpstreamTable,
  VirtualClock,
  failureDomainId,
  hostId,
  seededRandom,
  upstreamId,
} from '../src/index.js';
import type {
  PassthroughError,
  PassthroughResponse,
  RoutedCall,
  UpstreamDocument,
} from '../src/index.js';
import type {PoolDocument} from '../src/generated/documents.js';
import {
  CallHandover,
  isHandoverNeeded,
} from '../src/passthrough/call-handover.js';
import {CallSends} from '../src/passthrough/call-sends.js';
import type {FleetMember} from '../src/passthrough/fleet-member.js';
import {chooseHandoverHost} from '../src/passthrough/handover-choice.js';
import {createRetryBudget} from './tools/unlimited.js';
import type {PassthroughParts} from '../src/passthrough/passthrough-parts.js';

const pool = {
  kind: 'Pool',
  name: 'desk',
  spec: {upstreams: {matchLabels: {use: 'desk'}}},
} as unknown as PoolDocument;

function createMembers(hosts: number, domains: number): FleetMember[] {
  return Array.from({length: hosts}, (_, index) => ({
    host: hostId(`host-${index}`),
    failureDomain: failureDomainId(`zone-${index % domains}`),
    address: `host-${index}:1`,
    isLive: true,
    reportAgeMilliseconds: 0,
    handoverAddress: `host-${index}:2`,
    unreachablePools: [],
  }));
}

const strand = (member: FleetMember): FleetMember => ({
  ...member,
  unreachablePools: ['desk'],
});

const choose = (
  members: readonly FleetMember[],
  callsAt: (member: FleetMember) => number = () => 0,
  seed = 1,
  isEligibleDomain: (failureDomain: string) => boolean = () => true,
) =>
  chooseHandoverHost(
    {
      pools: ['desk'],
      members,
      triedHosts: new Set(),
      preferredDomain: 'zone-0',
      isEligibleDomain,
      callsAt,
    },
    seededRandom(seed),
  );

test('a call goes to a live host of the own domain that reaches the pool', t => {
  const members = createMembers(6, 3);
  t.is(
    choose(members.map((each, i) => (i === 0 ? strand(each) : each)))?.host,
    hostId('host-3'),
  );
  t.is(choose(members.map(strand)), undefined);
  t.is(choose(members.map(each => ({...each, isLive: false}))), undefined);
  t.is(
    choose(members.map(each => ({...each, handoverAddress: ''}))),
    undefined,
  );
});

test('a call is not handed over to hosts of domains that may not serve it', t => {
  const members = createMembers(6, 3);
  const isEligible = (domain: string) => domain === 'zone-2';
  t.is(
    choose(members, () => 0, 1, isEligible)?.failureDomain,
    failureDomainId('zone-2'),
  );
  t.is(
    choose(
      members,
      () => 0,
      1,
      () => false,
    ),
    undefined,
  );
});

test('a busy host of the own domain leaves calls to other domains', t => {
  const isLocal = ({failureDomain}: FleetMember) =>
    failureDomain === failureDomainId('zone-0');
  const chosen = choose(createMembers(6, 3), each => (isLocal(each) ? 4 : 0));
  t.false(isLocal(chosen!));
});

for (const [hosts, domains] of [
  [195, 5],
  [361, 7],
] as const)
  test(`${hosts} hosts: those cut off spread their calls over the others`, t => {
    const members = createMembers(hosts, domains);
    const cutCount = Math.round(hosts * 0.6);
    const view = members.map((each, i) => (i < cutCount ? strand(each) : each));
    const taken = new Map<string, number>();
    const random = seededRandom(1);
    for (let index = 0; index < cutCount; index += 1) {
      const calls = new Map<string, number>();
      for (let call = 0; call < 3; call += 1) {
        const {host} = chooseHandoverHost(
          {
            pools: ['desk'],
            members: view.filter(each => each !== view[index]),
            triedHosts: new Set(),
            preferredDomain: members[index]!.failureDomain,
            isEligibleDomain: () => true,
            callsAt: each => calls.get(each.host) ?? 0,
          },
          random,
        )!;
        calls.set(host, (calls.get(host) ?? 0) + 1);
        taken.set(host, (taken.get(host) ?? 0) + 1);
      }
    }
    const mean = (3 * cutCount) / (hosts - cutCount);
    const most = Math.max(...taken.values());
    t.true(most <= 3.5 * mean, `${most} calls, ${mean} in the mean`);
  });

interface Answers {
  readonly repeatable: boolean;
  readonly answers: readonly (PassthroughError['kind'] | 'answered')[];
  readonly allowedRegions?: ReadonlySet<string>;
  readonly evacuated?: ReadonlySet<string>;
  /** Retries in the budget. */
  readonly retries?: number;
}

/** Hands over one call to hosts that answer in turn. */
async function handOver({
  repeatable,
  answers,
  allowedRegions,
  evacuated = new Set(),
  retries = 1000,
}: Answers) {
  const clock = new VirtualClock();
  // Zone 0 is in the region `west`, and the other two are in `east`.
  const upstreams = new UpstreamTable(clock, domain =>
    domain === 'zone-0' ? 'west' : 'east',
  );
  upstreams.replaceEvacuations(evacuated);
  const asked: string[] = [];
  const remaining: number[] = [];
  const parts = {
    clock,
    upstreams,
    random: seededRandom(1),
    failureDomain: failureDomainId('zone-0'),
    members: () => createMembers(6, 3),
    observer: () => undefined,
    retryBudget: createRetryBudget(clock, retries),
    handoverTransport: {
      handOver: async (
        address: string,
        _call: RoutedCall,
        milliseconds: number,
      ) => {
        const answer = answers[asked.length] ?? 'answered';
        asked.push(address);
        remaining.push(milliseconds);
        await clock.sleep(100);
        if (answer !== 'answered')
          return Result.err({kind: answer, upstream: upstreamId(address)});
        const response = {
          status: 200,
          headers: [],
          body: (async function* () {})(),
        };
        return Result.ok(response as PassthroughResponse);
      },
    },
  } as unknown as PassthroughParts;
  const call = {
    id: 'call',
    deadline: 1000,
    isHandedOver: false,
    allowedRegions,
    route: {
      pools: [{pool, weight: 1}],
      target: {repeatable, maximumTries: 2},
    },
  } as unknown as RoutedCall;
  const sends = new CallSends(parts.retryBudget, () => undefined, false);
  const forwarding = new CallHandover(parts).forward(
    call,
    sends,
    new AbortController().signal,
  );
  await clock.advance(500);
  return {result: await forwarding, asked, remaining, parts, call, sends};
}

test('a host that declines is followed by another one', async t => {
  const {result, asked, remaining} = await handOver({
    repeatable: false,
    answers: ['refused', 'unreachable', 'answered'],
  });
  t.true(result?.isOk);
  t.is(new Set(asked).size, 3);
  t.deepEqual(remaining, [1000, 900, 800], 'the deadline does not move');
});

test('a call is handed over only in its regions and outside evacuated domains', async t => {
  const {result, asked} = await handOver({
    repeatable: false,
    answers: ['refused', 'refused', 'refused'],
    allowedRegions: new Set(['east']),
    evacuated: new Set(['zone-1']),
  });
  t.is(result, undefined);
  t.deepEqual(asked.sort(), ['host-2:2', 'host-5:2'], 'both hosts of zone 2');
});

test('a call that three hosts decline has not run', async t => {
  const answers = ['refused', 'refused', 'refused'] as const;
  const {result, asked} = await handOver({repeatable: false, answers});
  t.is(result, undefined);
  t.is(asked.length, 3);
});

test('a call that may run once and was lost is not sent again', async t => {
  const answers = ['refused', 'broken', 'answered'] as const;
  const {result, asked} = await handOver({repeatable: false, answers});
  t.is(asked.length, 2);
  t.like(result?.isErr && result.error, {
    code: 'upstream-failed',
    ran: 'unknown',
  });
});

test('a repeatable call is sent again within the tries of its route', async t => {
  const once = await handOver({repeatable: true, answers: ['broken']});
  t.true(once.result?.isOk);
  const answers = ['broken', 'broken', 'answered'] as const;
  const twice = await handOver({repeatable: true, answers});
  t.is(twice.asked.length, 2);
  t.like(twice.result?.isErr && twice.result.error, {ran: 'unknown'});
});

// Guards against the first attempt of a call being free at each host that gets it.
test('a call that may have reached an upstream is not handed over again without a retry', async t => {
  const answers = ['broken', 'answered'] as const;
  const without = await handOver({repeatable: true, answers, retries: 0});
  t.is(without.asked.length, 1);
  t.like(without.result?.isErr && without.result.error, {ran: 'unknown'});
  const covered = await handOver({repeatable: true, answers, retries: 1});
  t.is(covered.asked.length, 2);
  t.true(covered.result?.isOk);
});

test('a call that reached no upstream is handed over again without a retry', async t => {
  const answers = ['refused', 'unreachable', 'answered'] as const;
  const {asked, sends} = await handOver({
    repeatable: false,
    answers,
    retries: 0,
  });
  t.is(asked.length, 3);
  t.false(sends.canCover(pool.name, 1), 'the third host may have sent it');
});

test('a call that was handed over earns no second retry', t => {
  const pools: string[] = [];
  const retries = {
    recordCall: (name: string) => pools.push(name),
    canAcquire: () => false,
    acquire: () => Promise.resolve(undefined),
  };
  for (const earns of [true, false]) {
    const sends = new CallSends(retries, () => undefined, earns);
    sends.recordCall('desk');
    sends.recordCall('desk');
  }
  t.deepEqual(pools, ['desk']);
});

test('a call is handed over only once, and only without any link', async t => {
  const {parts, call} = await handOver({repeatable: true, answers: []});
  const engine = (name: string): UpstreamDocument => ({
    kind: 'Upstream',
    name,
    labels: {use: 'desk'},
    spec: {address: `${name}:80`, failureDomain: 'zone-0'},
  });
  const {upstreams, clock} = parts;
  t.false(isHandoverNeeded(parts, call), 'no upstream is listed');
  upstreams.replace(new Map([engine('a'), engine('b')].map(e => [e.name, e])));
  const [first, second] = upstreams.acceptingOf(pool);
  first!.health.recordUnreachable(clock.now());
  t.false(isHandoverNeeded(parts, call), 'one upstream is reached');
  second!.health.recordFailure(clock.now());
  t.false(isHandoverNeeded(parts, call), 'a failure is no lost link');
  second!.health.recordUnreachable(clock.now());
  t.true(isHandoverNeeded(parts, call));
  t.false(isHandoverNeeded(parts, {...call, isHandedOver: true}));
});
