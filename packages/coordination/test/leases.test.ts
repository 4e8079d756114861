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
  fleet.engine.acceptedTokens.push(reportedToken);
  const report = await fleet.clock.runUntil(fleet.issue('h0'));
  t.true(report.isOk && report.value.fencingToken > reportedToken);
});

test('an engine that ignores fencing tokens gets no order until old orders expire', async t => {
  const fleet = await createFleet(false);
  const startedAt = fleet.clock.now();
  t.true((await fleet.clock.runUntil(fleet.issue('h0'))).isOk);
  t.true(fleet.clock.now() - startedAt >= orderLifetimeMilliseconds * 1.02);
});

type ScheduleStep = {
  kind: 'issue' | 'pause' | 'cut' | 'restart' | 'restart-all';
  atMilliseconds: number;
  host: number;
  durationMilliseconds: number;
};

const stepLists: fc.Arbitrary<ScheduleStep[]> = fc.array(
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

/** Runs `steps`; returns violations and the number of accepted orders. */
async function simulate(
  runSeed: number,
  checksFencing: boolean,
  steps: readonly ScheduleStep[],
  messageLifetimeMilliseconds?: number,
) {
  const random = seededRandom(runSeed);
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
  for (const step of steps) void applyStep(fleet, cuts, step);
  await fleet.clock.advance(100_000);
  return {
    violations: findViolations(fleet),
    accepted: fleet.engine.acceptedTokens.length,
  };
}

async function applyStep(
  fleet: LeaseFleet,
  cuts: Set<string>,
  step: ScheduleStep,
) {
  const name = hostNames[step.host]!;
  await fleet.clock.sleep(step.atMilliseconds);
  switch (step.kind) {
    case 'issue':
      await fleet.issue(name);
      return;
    case 'pause':
      fleet.hosts.get(name)!.machine.pause(step.durationMilliseconds);
      return;
    case 'cut':
      cuts.add(name);
      await fleet.clock.sleep(step.durationMilliseconds);
      cuts.delete(name);
      return;
    case 'restart':
      fleet.start(name);
      return;
    case 'restart-all':
      hostNames.forEach(each => fleet.start(each));
  }
}

/**
 * Describes each accepted order whose lease was acquired before that of the
 * preceding accepted order, and duplicate fencing tokens.
 */
function findViolations({acquiredTokens, engine}: LeaseFleet): string[] {
  const acquisitionIndexes = engine.acceptedTokens.map(token =>
    acquiredTokens.indexOf(token),
  );
  const violations = acquisitionIndexes.flatMap((acquisitionIndex, index) =>
    index > 0 && acquisitionIndex < acquisitionIndexes[index - 1]!
      ? [
          `order accepted after one of a newer lease: ${acquisitionIndexes.join()}`,
        ]
      : [],
  );
  if (new Set(acquiredTokens).size < acquiredTokens.length)
    violations.push('duplicate fencing tokens');
  return violations;
}

for (const checksFencing of [true, false])
  test(`no order of an old holder is accepted, fencing checks: ${checksFencing}`, async t => {
    t.timeout(100_000);
    let orders = 0;
    let accepted = 0;
    await fc.assert(
      fc.asyncProperty(fc.integer(), stepLists, async (runSeed, steps) => {
        orders += steps.filter(({kind}) => kind === 'issue').length;
        const report = await simulate(runSeed, checksFencing, steps);
        accepted += report.accepted;
        return report.violations.length === 0;
      }),
      {seed, numRuns},
    );
    t.log(
      `seed ${seed}, ${numRuns} schedules, ${accepted} of ${orders} orders accepted`,
    );
    t.true(accepted > numRuns);
  });

test('the schedule check detects a new holder that does not wait for previous orders', async t => {
  t.timeout(100_000);
  const details = await fc.check(
    fc.asyncProperty(fc.integer(), stepLists, async (runSeed, steps) => {
      return (await simulate(runSeed, false, steps, 0)).violations.length === 0;
    }),
    {seed, numRuns, endOnFailure: true},
  );
  t.true(details.failed);
  t.log(`seed ${seed}: detected in schedule ${details.numRuns}`);
});
