import test from 'ava';
import fc from 'fast-check';
import {randomBelow, seededRandom} from '../src/index.js';
import {LeaseFleet, orderLifetimeMilliseconds} from './tools/lease-fleet.js';

const seed = 20260105;
const numRuns = 1000;
const abstentionMilliseconds = 10_200;
const hostNames = ['h0', 'h1', 'h2'];

async function createFleet(checksFencing = true) {
  const fleet = new LeaseFleet(seededRandom(1), checksFencing);
  await fleet.clock.advance(abstentionMilliseconds);
  return fleet;
}

test('one host holds a lease at a time', async t => {
  const {clock, hosts} = await createFleet();
  const acquire = (name: string) =>
    clock.runUntil(hosts.get(name)!.manager.acquire('e0'));
  const first = (await acquire('h0')).unwrapOrElse(() => t.fail() as never);
  t.true((await acquire('h1')).isErr);
  await clock.advance(9000);
  const renewed = await clock.runUntil(hosts.get('h0')!.manager.renew(first));
  t.is(renewed.unwrapOr(undefined)?.fencingToken, first.fencingToken);
  await clock.advance(9801);
  t.false(hosts.get('h0')!.manager.isValid(renewed.unwrapOr(first)));
  t.true((await acquire('h1')).isErr);
  await clock.advance(200);
  const second = (await acquire('h1')).unwrapOrElse(() => t.fail() as never);
  t.true(second.fencingToken > first.fencingToken);
});

test('a released lease can be acquired at once', async t => {
  const fleet = await createFleet();
  t.true((await fleet.clock.runUntil(fleet.issue('h0'))).isOk);
  await fleet.clock.runUntil(fleet.hosts.get('h0')!.issuer.close());
  t.true((await fleet.clock.runUntil(fleet.issue('h1'))).isOk);
});

test('fencing tokens increase when all hosts restart', async t => {
  const fleet = await createFleet();
  const before = await fleet.clock.runUntil(fleet.issue('h0'));
  for (const name of hostNames) fleet.start(name);
  t.true((await fleet.clock.runUntil(fleet.issue('h1'))).isErr);
  await fleet.clock.advance(abstentionMilliseconds);
  const after = await fleet.clock.runUntil(fleet.issue('h1'));
  if (before.isErr || after.isErr) return t.fail();
  return t.true(after.value.fencingToken > before.value.fencingToken);
});

test('a new lease exceeds the fencing token that an upstream reports', async t => {
  const fleet = await createFleet();
  const reportedToken = BigInt(fleet.clock.wallNow()) + 1_000_000n;
  fleet.engine.obeyedTokens.push(reportedToken);
  const report = await fleet.clock.runUntil(fleet.issue('h0'));
  t.true(report.isOk && report.value.fencingToken > reportedToken);
});

test('an engine that ignores fencing tokens gets no order until old orders expire', async t => {
  const fleet = await createFleet(false);
  const startedAt = fleet.clock.now();
  t.true((await fleet.clock.runUntil(fleet.issue('h0'))).isOk);
  t.true(fleet.clock.now() - startedAt >= orderLifetimeMilliseconds * 1.02);
});

type ScheduleEvent = {
  kind: 'issue' | 'pause' | 'cut' | 'restart' | 'restart-all';
  atMilliseconds: number;
  host: number;
  durationMilliseconds: number;
};

const eventLists: fc.Arbitrary<ScheduleEvent[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      'issue' as const,
      'issue' as const,
      'issue' as const,
      'pause' as const,
      'cut' as const,
      'restart' as const,
      'restart-all' as const,
    ),
    atMilliseconds: fc.nat(60_000),
    host: fc.nat(2),
    durationMilliseconds: fc.nat(20_000),
  }),
  {minLength: 4, maxLength: 16},
);

/** Runs `events`; returns faults and the number of orders that were obeyed. */
async function runEvents(
  caseSeed: number,
  checksFencing: boolean,
  events: readonly ScheduleEvent[],
  messageLifetimeMilliseconds?: number,
) {
  const random = seededRandom(caseSeed);
  const fleet = new LeaseFleet(
    random,
    checksFencing,
    3000,
    messageLifetimeMilliseconds,
  );
  const cuts = new Set<string>();
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: randomBelow(random, 20),
    isDropped: cuts.has(from) !== cuts.has(to) || randomBelow(random, 20) === 0,
    copyDelaysMilliseconds:
      randomBelow(random, 10) === 0 ? [randomBelow(random, 5000)] : [],
  });
  await fleet.clock.advance(abstentionMilliseconds);
  for (const event of events) void runEvent(fleet, cuts, event);
  await fleet.clock.advance(100_000);
  return {
    faults: findFaults(fleet),
    obeyed: fleet.engine.obeyedTokens.length,
  };
}

async function runEvent(
  fleet: LeaseFleet,
  cuts: Set<string>,
  event: ScheduleEvent,
) {
  const name = hostNames[event.host]!;
  await fleet.clock.sleep(event.atMilliseconds);
  switch (event.kind) {
    case 'issue':
      await fleet.issue(name);
      return;
    case 'pause':
      fleet.hosts.get(name)!.machine.pause(event.durationMilliseconds);
      return;
    case 'cut':
      cuts.add(name);
      await fleet.clock.sleep(event.durationMilliseconds);
      cuts.delete(name);
      return;
    case 'restart':
      fleet.start(name);
      return;
    case 'restart-all':
      hostNames.forEach(each => fleet.start(each));
  }
}

/** Finds orders under a lease older than that of an order obeyed before. */
function findFaults({acquiredTokens, engine}: LeaseFleet): string[] {
  const acquisitionIndexes = engine.obeyedTokens.map(token =>
    acquiredTokens.indexOf(token),
  );
  const faults = acquisitionIndexes.flatMap((acquisitionIndex, index) =>
    index > 0 && acquisitionIndex < acquisitionIndexes[index - 1]!
      ? [`${acquisitionIndexes.join()}`]
      : [],
  );
  if (new Set(acquiredTokens).size < acquiredTokens.length)
    faults.push('duplicate fencing tokens');
  return faults;
}

for (const checksFencing of [true, false])
  test(`no order of an old holder is obeyed, fencing checks: ${checksFencing}`, async t => {
    t.timeout(100_000);
    let orders = 0;
    let obeyed = 0;
    await fc.assert(
      fc.asyncProperty(fc.integer(), eventLists, async (caseSeed, events) => {
        orders += events.filter(({kind}) => kind === 'issue').length;
        const report = await runEvents(caseSeed, checksFencing, events);
        obeyed += report.obeyed;
        return report.faults.length === 0;
      }),
      {seed, numRuns},
    );
    t.log(
      `seed ${seed}, ${numRuns} schedules, ${obeyed} of ${orders} orders obeyed`,
    );
    t.true(obeyed > numRuns);
  });

test('the schedule check detects a holder that does not wait', async t => {
  t.timeout(100_000);
  const details = await fc.check(
    fc.asyncProperty(fc.integer(), eventLists, async (caseSeed, events) => {
      return (await runEvents(caseSeed, false, events, 0)).faults.length === 0;
    }),
    {seed, numRuns, endOnFailure: true},
  );
  t.true(details.failed);
  t.log(`seed ${seed}: detected in schedule ${details.numRuns}`);
});
