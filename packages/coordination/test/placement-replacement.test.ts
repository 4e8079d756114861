import test from 'ava';
import type {RunningAttempt, SimulatedFleet} from '../src/index.js';
import {
  decodingEngine,
  isCompleteStream,
  makeFleet,
  prefillingEngine,
  startRequest,
  testHost,
  totalHeldTokens,
} from './tools/placement-fleet.js';
import {PausableClock} from './tools/pausable-clock.js';

/** Long enough for a fault to occur during prefill, too short to be cached. */
const longPrompt = {prompt: 'word '.repeat(1_900), promptTokens: 1_900};

/** Completed requests that earn one retry, and less than two. */
const requestsPerRetry = 6;

/** A fleet whose host has as many retries as its completions have earned. */
async function makeFleetWithRetries(retries: number) {
  const {fleet, runner} = makeFleet({retryStartMilliseconds: 1e9});
  for (let index = 0; index < retries * requestsPerRetry; index += 1) {
    const {events, done} = startRequest(fleet, runner);
    await fleet.clock.runUntil(done);
    if (!isCompleteStream(events)) throw new Error('a request failed');
  }
  return {fleet, runner};
}

function totalPrefilledTokens(fleet: SimulatedFleet): number {
  return (
    fleet.engine('p1').prefilledTokens + fleet.engine('p2').prefilledTokens
  );
}

/** Advances until an engine other than `first` has an attempt in `state`. */
async function advanceUntilReplacement(
  fleet: SimulatedFleet,
  first: string,
  state: RunningAttempt['state'],
) {
  for (let milliseconds = 0; milliseconds < 1500; milliseconds += 1) {
    for (const [name, engine] of fleet.engines)
      if (name !== first && engine.running().some(each => each.state === state))
        return engine;
    await fleet.clock.advance(1);
  }
  throw new Error(`no replacement was ${state}`);
}

for (const state of ['prefilling', 'imported', 'decoding'] as const)
  test(`a stream outlives a replacement that is lost while ${state}`, async t => {
    const {fleet, runner} = await makeFleetWithRetries(1);
    const prefilledBefore = totalPrefilledTokens(fleet);
    const {events, done} = startRequest(fleet, runner, longPrompt);
    await fleet.clock.advance(300);
    const first = decodingEngine(fleet);
    const delivered = events.length;
    t.true(delivered > 0 && delivered < 20);
    fleet.engine(first).fail({kind: 'stalled'});
    const replacement = await advanceUntilReplacement(fleet, first, state);
    replacement.fail({kind: 'dead'});
    await fleet.clock.advance(300);
    fleet.engine(first).fail({kind: 'none'});
    await fleet.clock.runUntil(done);
    t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
    const prefilled = totalPrefilledTokens(fleet) - prefilledBefore;
    t.true(prefilled <= 2 * longPrompt.promptTokens, 'one retry, not more');
    await fleet.clock.advance(10_000);
    t.is(totalHeldTokens(fleet), 0);
  });

test('a stream outlives a replacement that is refused', async t => {
  const {fleet, runner} = await makeFleetWithRetries(1);
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(300);
  const first = decodingEngine(fleet);
  fleet.engine(first).fail({kind: 'stalled'});
  const replacement = await advanceUntilReplacement(fleet, first, 'imported');
  replacement.attempts.clear();
  await fleet.clock.advance(300);
  fleet.engine(first).fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
});

test('a stream whose engine is lost goes on at the replacement under way', async t => {
  const {fleet, runner} = await makeFleetWithRetries(1);
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(300);
  const first = decodingEngine(fleet);
  fleet.engine(first).fail({kind: 'stalled'});
  await advanceUntilReplacement(fleet, first, 'prefilling');
  fleet.engine(first).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
  await fleet.clock.advance(10_000);
  t.is(totalHeldTokens(fleet), 0);
});

test('a stream whose replacement stalls goes on at a further one', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(300);
  const first = decodingEngine(fleet);
  fleet.engine(first).fail({kind: 'stalled'});
  const replacement = await advanceUntilReplacement(fleet, first, 'prefilling');
  replacement.fail({kind: 'stalled'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
  t.true(fleet.clock.now() < 4000, `${fleet.clock.now()} ms`);
});

test('a transfer outlives a replacement that is lost', async t => {
  const {fleet, runner} = await makeFleetWithRetries(1);
  fleet.publishLeaving('d2');
  const {events, done} = startRequest(fleet, runner, longPrompt);
  const first = await advanceUntilReplacement(fleet, '', 'imported');
  first.fail({kind: 'stalled'});
  await fleet.clock.advance(100);
  const replacement = await advanceUntilReplacement(
    fleet,
    first.id,
    'prefilling',
  );
  replacement.fail({kind: 'dead'});
  await fleet.clock.advance(300);
  first.fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
});

test('a prefill that stalls without a retry is kept', async t => {
  const {fleet, runner} = await makeFleetWithRetries(0);
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(30);
  const prefill = fleet.engine(prefillingEngine(fleet));
  prefill.fail({kind: 'stalled'});
  await fleet.clock.advance(1200);
  prefill.fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
});

test('prefills of engines that stall for a while are kept', async t => {
  const {fleet, runner} = makeFleet();
  const requests = Array.from({length: 40}, () =>
    startRequest(fleet, runner, {service: 'deferrable', ...longPrompt}),
  );
  await fleet.clock.advance(30);
  for (const name of ['p1', 'p2']) fleet.engine(name).fail({kind: 'stalled'});
  await fleet.clock.advance(2500);
  for (const name of ['p1', 'p2']) fleet.engine(name).fail({kind: 'none'});
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  const failures = requests.filter(({events}) => !isCompleteStream(events));
  t.is(failures.length, 0, JSON.stringify(failures[0]?.events.at(-1)));
  await fleet.clock.advance(10_000);
  t.is(totalHeldTokens(fleet), 0);
});

// Guards against silent prefills that hold all decode engines that could replace them.
test('prefills whose answers are lost are replaced', async t => {
  const {fleet, runner} = makeFleet();
  await fleet.clock.runUntil(startRequest(fleet, runner).done);
  // Engines that come back admit one request at a time.
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.advance(500);
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'none'});
  await fleet.clock.advance(2000);
  const requests = ['first', 'second'].map(() =>
    startRequest(fleet, runner, longPrompt),
  );
  await fleet.clock.advance(20);
  for (const name of ['p1', 'p2']) fleet.engine(name).fail({kind: 'silent'});
  await fleet.clock.advance(100);
  for (const name of ['p1', 'p2']) fleet.engine(name).fail({kind: 'none'});
  const startedAt = fleet.clock.now();
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  for (const {events} of requests)
    t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
  t.true(fleet.clock.now() - startedAt < 5000, `${fleet.clock.now()} ms`);
});

test('a prefill is not replaced because its host stood still', async t => {
  const {fleet} = makeFleet();
  const clock = new PausableClock(fleet.clock);
  const runner = fleet.makeRunner(testHost, {clock});
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(30);
  const prefill = fleet.engine(prefillingEngine(fleet));
  prefill.fail({kind: 'stalled'});
  clock.pause();
  await fleet.clock.advance(1200);
  clock.resume();
  await fleet.clock.advance(300);
  prefill.fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
  t.is(prefill.prefilledTokens, longPrompt.promptTokens);
});

test('a transfer outlives the engine that was to take it over', async t => {
  const {fleet, runner} = await makeFleetWithRetries(0);
  const {events, done} = startRequest(fleet, runner, longPrompt);
  const first = await advanceUntilReplacement(fleet, '', 'imported');
  first.fail({kind: 'stalled'});
  await fleet.clock.advance(700);
  first.fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
  await fleet.clock.advance(10_000);
  t.is(totalHeldTokens(fleet), 0);
});

test('a stream outlives a link that refuses new connections for a while', async t => {
  const {fleet, runner} = await makeFleetWithRetries(0);
  fleet.publishLeaving('d1');
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  t.is(decodingEngine(fleet), 'd2');
  fleet.cutDomains.add('b');
  await fleet.clock.advance(900);
  fleet.cutDomains.delete('b');
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
});

test('a stream outlives a time in which no engine is available', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.advance(3000);
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'none'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events), JSON.stringify(events.at(-1)));
});

test('a stream whose engine is lost waits for a retry', async t => {
  const {fleet, runner} = await makeFleetWithRetries(0);
  const {events, done} = startRequest(fleet, runner, {maximumTokens: 40});
  await fleet.clock.advance(200);
  fleet.engine(decodingEngine(fleet)).fail({kind: 'dead'});
  for (let index = 0; index < requestsPerRetry; index += 1)
    await fleet.clock.runUntil(startRequest(fleet, runner).done);
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events, 40), JSON.stringify(events.at(-1)));
});
