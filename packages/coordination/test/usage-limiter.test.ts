import test from 'ava';
import fc from 'fast-check';
import {UsageFleet} from './tools/usage-fleet.js';

const rate = {tokensPerSecond: 40_000, burstTokens: 40_000};
const windowMilliseconds = 8000;
const slack = {windowMilliseconds, excess: 0.25, tokens: 140_000};
const noSlack = {windowMilliseconds, excess: 0, tokens: 0};
const beatMilliseconds = 260;
const seed = 20261204;

type Step =
  | {readonly kind: 'divide'; readonly mask: number}
  | {readonly kind: 'heal'}
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'restart-all'};

/** Plays steps a second or so apart while each host is asked for too much. */
async function play(
  hosts: number,
  pressure: number,
  steps: readonly Step[],
): Promise<UsageFleet> {
  const fleet = new UsageFleet(hosts, rate, slack);
  const tokens = 3300;
  const calls = Math.ceil(
    (pressure * rate.tokensPerSecond * beatMilliseconds) /
      1000 /
      tokens /
      hosts,
  );
  for (const step of steps) {
    switch (step.kind) {
      case 'divide':
        if (step.mask >= 0) fleet.divide(index => (step.mask >> index) & 1);
        break;
      case 'heal':
        fleet.divide(() => 0);
        break;
      case 'restart':
        fleet.restart(step.host % hosts);
        break;
      case 'restart-all':
        for (let host = 0; host < hosts; host += 1) fleet.restart(host);
    }
    for (let beat = 0; beat < 6; beat += 1) {
      for (let call = 0; call < calls; call += 1)
        for (let host = 0; host < hosts; host += 1) fleet.ask(host, tokens);
      await fleet.clock.advance(beatMilliseconds);
      fleet.beat();
    }
  }
  return fleet;
}

test('a rate is served in full while hosts hear each other', async t => {
  const fleet = new UsageFleet(6, rate, slack);
  let refused = 0;
  // One host of six gets all the calls, a tenth under the rate.
  for (let call = 0; call < 300; call += 1) {
    if (!fleet.ask(0, 3000)) refused += 1;
    await fleet.clock.advance(83);
    if (call % 3 === 0) fleet.beat();
  }
  t.is(refused, 0);
});

test('a refusal tells when the tokens will be there', async t => {
  const fleet = new UsageFleet(1, rate, noSlack);
  t.false(fleet.ask(0, 40_000), 'a new process starts with little');
  await fleet.clock.advance(1000);
  t.true(fleet.ask(0, 40_000));
  const wait = fleet.waitOf(0, 4000);
  t.is(wait, 100);
  await fleet.clock.advance(wait);
  t.true(fleet.ask(0, 4000));
});

test('what was not used before the first call is there for it', async t => {
  const fleet = new UsageFleet(6, rate, slack);
  await fleet.clock.advance(8000);
  t.true(fleet.ask(3, 60_000));
  fleet.beat();
  t.false(fleet.ask(4, 60_000), 'others heard of it');
});

test('without slack a host that hears nobody takes its share only', async t => {
  const fleet = new UsageFleet(4, rate, noSlack);
  fleet.divide(index => index);
  let admitted = 0;
  for (let tick = 0; tick < 100; tick += 1) {
    if (fleet.ask(0, 1000)) admitted += 1000;
    await fleet.clock.advance(10);
  }
  t.true(admitted <= (40_000 + 40_000) / 4);
});

test('steady pressure stays inside the bound', async t => {
  const steps: Step[] = Array.from({length: 20}, () => ({kind: 'heal'}));
  for (const hosts of [2, 6, 9]) {
    const fleet = await play(hosts, 8, steps);
    const most = fleet.mostInWindow(windowMilliseconds);
    t.true(most <= fleet.bound(windowMilliseconds), `${hosts}: ${most}`);
  }
});

test('a fleet that restarts while pressed stays inside the bound', async t => {
  const calm: Step = {kind: 'heal'};
  const steps: Step[] = [calm, calm, calm, {kind: 'restart-all'}, calm, calm];
  const fleet = await play(6, 8, steps);
  const most = fleet.mostInWindow(windowMilliseconds);
  t.true(most <= fleet.bound(windowMilliseconds), String(most));
});

test('cuts and restarts a few seconds apart stay inside the bound', async t => {
  const anyStep: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
      kind: fc.constant('divide' as const),
      mask: fc.integer({min: 0, max: 63}),
    }),
    fc.constant({kind: 'heal' as const}),
    fc.record({
      kind: fc.constant('restart' as const),
      host: fc.integer({min: 0, max: 5}),
    }),
  );
  // Each step lasts six beats; a host is restarted at most every 4.7 s.
  const spaced = fc
    .array(anyStep, {minLength: 3, maxLength: 8})
    .map(steps => steps.flatMap(step => [step, still, still]));
  await fc.assert(
    fc.asyncProperty(spaced, async steps => {
      const fleet = await play(6, 6, steps);
      return (
        fleet.mostInWindow(windowMilliseconds) <=
        fleet.bound(windowMilliseconds)
      );
    }),
    {seed, numRuns: 60},
  );
  t.pass();
});

/** Changes nothing: the parts stay as they are. */
const still: Step = {kind: 'divide', mask: -1};
