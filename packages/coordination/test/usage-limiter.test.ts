import test from 'ava';
import fc from 'fast-check';
import {UsageFleet} from './tools/usage-fleet.js';

const rate = {tokensPerSecond: 40_000, burstTokens: 40_000};
const windowMilliseconds = 8000;
const slack = {windowMilliseconds, excess: 0.25, tokens: 140_000};
const noSlack = {windowMilliseconds, excess: 0, tokens: 0};
const heartbeatIntervalMilliseconds = 260;
const seed = 20261204;

type Step =
  | {readonly kind: 'partition'; readonly mask: number}
  | {readonly kind: 'heal'}
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'restart-all'};

/**
 * Runs steps of about 1.5 seconds each while every host receives more than its
 * share of the rate.
 */
async function runSteps(
  hosts: number,
  loadFactor: number,
  steps: readonly Step[],
): Promise<UsageFleet> {
  const fleet = new UsageFleet(hosts, rate, slack);
  const tokens = 3300;
  const calls = Math.ceil(
    (loadFactor * rate.tokensPerSecond * heartbeatIntervalMilliseconds) /
      1000 /
      tokens /
      hosts,
  );
  for (const step of steps) {
    switch (step.kind) {
      case 'partition':
        if (step.mask >= 0) fleet.partition(index => (step.mask >> index) & 1);
        break;
      case 'heal':
        fleet.partition(() => 0);
        break;
      case 'restart':
        fleet.restart(step.host % hosts);
        break;
      case 'restart-all':
        for (let host = 0; host < hosts; host += 1) fleet.restart(host);
    }
    for (let heartbeat = 0; heartbeat < 6; heartbeat += 1) {
      for (let call = 0; call < calls; call += 1)
        for (let host = 0; host < hosts; host += 1)
          fleet.requestAdmission(host, tokens);
      await fleet.clock.advance(heartbeatIntervalMilliseconds);
      fleet.exchangeUsage();
    }
  }
  return fleet;
}

test('the full rate is admitted while the hosts can reach each other', async t => {
  const fleet = new UsageFleet(6, rate, slack);
  let refused = 0;
  // One of six hosts receives all calls, 10% below the rate.
  for (let call = 0; call < 300; call += 1) {
    if (!fleet.requestAdmission(0, 3000)) refused += 1;
    await fleet.clock.advance(83);
    if (call % 3 === 0) fleet.exchangeUsage();
  }
  t.is(refused, 0);
});

test('a refusal reports when the tokens will be available', async t => {
  const fleet = new UsageFleet(1, rate, noSlack);
  t.false(
    fleet.requestAdmission(0, 40_000),
    'a new process starts with few tokens',
  );
  await fleet.clock.advance(1000);
  t.true(fleet.requestAdmission(0, 40_000));
  const wait = fleet.retryAfterOf(0, 4000);
  t.is(wait, 100);
  await fleet.clock.advance(wait);
  t.true(fleet.requestAdmission(0, 4000));
});

test('tokens that accumulated before the first call are available to it', async t => {
  const fleet = new UsageFleet(6, rate, slack);
  await fleet.clock.advance(8000);
  t.true(fleet.requestAdmission(3, 60_000));
  fleet.exchangeUsage();
  t.false(fleet.requestAdmission(4, 60_000), 'other hosts received the usage');
});

test('without slack an isolated host admits only its share', async t => {
  const fleet = new UsageFleet(4, rate, noSlack);
  fleet.partition(index => index);
  let admitted = 0;
  for (let tick = 0; tick < 100; tick += 1) {
    if (fleet.requestAdmission(0, 1000)) admitted += 1000;
    await fleet.clock.advance(10);
  }
  t.true(admitted <= (40_000 + 40_000) / 4);
});

test('sustained overload stays within the limit', async t => {
  const steps: Step[] = Array.from({length: 20}, () => ({kind: 'heal'}));
  for (const hosts of [2, 6, 9]) {
    const fleet = await runSteps(hosts, 8, steps);
    const maximumTokens = fleet.maximumTokensInWindow(windowMilliseconds);
    t.true(
      maximumTokens <= fleet.allowedTokensInWindow(windowMilliseconds),
      `${hosts}: ${maximumTokens}`,
    );
  }
});

test('a fleet that restarts during overload stays within the limit', async t => {
  const healed: Step = {kind: 'heal'};
  const steps: Step[] = [
    healed,
    healed,
    healed,
    {kind: 'restart-all'},
    healed,
    healed,
  ];
  const fleet = await runSteps(6, 8, steps);
  const maximumTokens = fleet.maximumTokensInWindow(windowMilliseconds);
  t.true(
    maximumTokens <= fleet.allowedTokensInWindow(windowMilliseconds),
    String(maximumTokens),
  );
});

test('partitions and restarts a few seconds apart stay within the limit', async t => {
  const anyStep: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
      kind: fc.constant('partition' as const),
      mask: fc.integer({min: 0, max: 63}),
    }),
    fc.constant({kind: 'heal' as const}),
    fc.record({
      kind: fc.constant('restart' as const),
      host: fc.integer({min: 0, max: 5}),
    }),
  );
  // Each step lasts six heartbeats. A host restarts at most every 4.7 s.
  const spacedSteps = fc
    .array(anyStep, {minLength: 3, maxLength: 8})
    .map(steps => steps.flatMap(step => [step, unchanged, unchanged]));
  await fc.assert(
    fc.asyncProperty(spacedSteps, async steps => {
      const fleet = await runSteps(6, 6, steps);
      return (
        fleet.maximumTokensInWindow(windowMilliseconds) <=
        fleet.allowedTokensInWindow(windowMilliseconds)
      );
    }),
    {seed, numRuns: 60},
  );
  t.pass();
});

/** Keeps the current partitions. */
const unchanged: Step = {kind: 'partition', mask: -1};
