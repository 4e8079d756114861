import test from 'ava';
import fc from 'fast-check';
import {randomBelow, seededRandom} from '../src/index.js';
import {LeaseFleet, lifetimeMilliseconds} from './tools/lease-fleet.js';

const seed = 20260105;
const numRuns = 1000;
const abstentionMilliseconds = 10_200;
const names = ['h0', 'h1', 'h2'];

async function newFleet(checksFencing = true) {
  const fleet = new LeaseFleet(seededRandom(1), checksFencing);
  await fleet.clock.advance(abstentionMilliseconds);
  return fleet;
}

test('one host holds a lease at a time', async t => {
  const {clock, hosts} = await newFleet();
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

test('a released lease is free at once', async t => {
  const fleet = await newFleet();
  t.true((await fleet.clock.runUntil(fleet.issue('h0'))).isOk);
  await fleet.clock.runUntil(fleet.hosts.get('h0')!.issuer.close());
  t.true((await fleet.clock.runUntil(fleet.issue('h1'))).isOk);
});

test('numbers grow when all hosts restart', async t => {
  const fleet = await newFleet();
  const before = await fleet.clock.runUntil(fleet.issue('h0'));
  for (const name of names) fleet.start(name);
  t.true((await fleet.clock.runUntil(fleet.issue('h1'))).isErr);
  await fleet.clock.advance(abstentionMilliseconds);
  const after = await fleet.clock.runUntil(fleet.issue('h1'));
  if (before.isErr || after.isErr) return t.fail();
  return t.true(after.value.fencingToken > before.value.fencingToken);
});

test('a number that an upstream reports is exceeded', async t => {
  const fleet = await newFleet();
  const ahead = BigInt(fleet.clock.wallNow()) + 1_000_000n;
  fleet.engine.obeyed.push(ahead);
  const report = await fleet.clock.runUntil(fleet.issue('h0'));
  t.true(report.isOk && report.value.fencingToken > ahead);
});

test('an engine that ignores numbers is waited for', async t => {
  const fleet = await newFleet(false);
  const startedAt = fleet.clock.now();
  t.true((await fleet.clock.runUntil(fleet.issue('h0'))).isOk);
  t.true(fleet.clock.now() - startedAt >= lifetimeMilliseconds * 1.02);
});

type Event = {
  kind: 'issue' | 'pause' | 'cut' | 'restart' | 'restart-all';
  at: number;
  host: number;
  lasting: number;
};

const events: fc.Arbitrary<Event[]> = fc.array(
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
    at: fc.nat(60_000),
    host: fc.nat(2),
    lasting: fc.nat(20_000),
  }),
  {minLength: 4, maxLength: 16},
);

/** Faults that an engine saw while `events` were played. */
async function play(
  scheduleSeed: number,
  checksFencing: boolean,
  list: readonly Event[],
  waitsFor?: number,
) {
  const random = seededRandom(scheduleSeed);
  const fleet = new LeaseFleet(random, checksFencing, 3000, waitsFor);
  const cuts = new Set<string>();
  fleet.network.policy = (from, to) => ({
    delayMilliseconds: randomBelow(random, 20),
    isDropped: cuts.has(from) !== cuts.has(to) || randomBelow(random, 20) === 0,
    copyDelaysMilliseconds:
      randomBelow(random, 10) === 0 ? [randomBelow(random, 5000)] : [],
  });
  await fleet.clock.advance(abstentionMilliseconds);
  for (const event of list) void playOne(fleet, cuts, event);
  await fleet.clock.advance(100_000);
  return {faults: findFaults(fleet), obeyed: fleet.engine.obeyed.length};
}

async function playOne(fleet: LeaseFleet, cuts: Set<string>, event: Event) {
  const name = names[event.host]!;
  await fleet.clock.sleep(event.at);
  switch (event.kind) {
    case 'issue':
      await fleet.issue(name);
      return;
    case 'pause':
      fleet.hosts.get(name)!.machine.pause(event.lasting);
      return;
    case 'cut':
      cuts.add(name);
      await fleet.clock.sleep(event.lasting);
      cuts.delete(name);
      return;
    case 'restart':
      fleet.start(name);
      return;
    case 'restart-all':
      names.forEach(each => fleet.start(each));
  }
}

/** An order of a lease that is older than that of an order obeyed before. */
function findFaults({acquired, engine}: LeaseFleet): string[] {
  const ages = engine.obeyed.map(number => acquired.indexOf(number));
  const faults = ages.flatMap((age, index) =>
    index > 0 && age < ages[index - 1]! ? [`${ages.join()}`] : [],
  );
  if (new Set(acquired).size < acquired.length) faults.push('equal numbers');
  return faults;
}

for (const checksFencing of [true, false])
  test(`no old holder is obeyed, checks: ${checksFencing}`, async t => {
    t.timeout(100_000);
    let orders = 0;
    let obeyed = 0;
    await fc.assert(
      fc.asyncProperty(fc.integer(), events, async (each, list) => {
        orders += list.filter(({kind}) => kind === 'issue').length;
        const report = await play(each, checksFencing, list);
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

test('a holder that does not wait is found out', async t => {
  t.timeout(100_000);
  const details = await fc.check(
    fc.asyncProperty(fc.integer(), events, async (each, list) => {
      return (await play(each, false, list, 0)).faults.length === 0;
    }),
    {seed, numRuns, endOnFailure: true},
  );
  t.true(details.failed);
  t.log(`seed ${seed}: found in schedule ${details.numRuns}`);
});
