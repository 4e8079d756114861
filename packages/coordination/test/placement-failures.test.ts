import test from 'ava';
import type {EngineFault} from '../src/index.js';
import {
  decodingEngine,
  heldTokens,
  isWhole,
  makeFleet,
  prefillingEngine,
  start,
} from './tools/placement-fleet.js';

const settleMilliseconds = 10_000;
const faults: EngineFault[] = [
  {kind: 'dead'},
  {kind: 'stalled'},
  {kind: 'silent'},
];

/** Long enough to be caught in the middle of its prefill. */
const slowPrompt = {prompt: 'word '.repeat(4_000), promptTokens: 4_000};

test('a completion without faults is whole and holds nothing', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner);
  await fleet.clock.runUntil(done);
  t.true(isWhole(events));
  await fleet.clock.advance(settleMilliseconds);
  t.is(heldTokens(fleet), 0);
});

for (const fault of faults) {
  test(`prefill engine ${fault.kind} before prefill`, async t => {
    const {fleet, runner} = makeFleet();
    fleet.engine('p1').fail(fault);
    const runs = Array.from({length: 4}, () => start(fleet, runner));
    await fleet.clock.runUntil(Promise.all(runs.map(({done}) => done)));
    for (const {events} of runs) t.true(isWhole(events));
  });

  test(`prefill engine ${fault.kind} during prefill`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = start(fleet, runner, slowPrompt);
    await fleet.clock.advance(30);
    const name = prefillingEngine(fleet);
    fleet.engine(name).fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isWhole(events));
    fleet.engine(name).fail({kind: 'none'});
    await fleet.clock.advance(settleMilliseconds);
    t.is(heldTokens(fleet), 0);
  });

  test(`decode engine ${fault.kind} during prefill`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = start(fleet, runner, slowPrompt);
    await fleet.clock.advance(30);
    fleet.engine('d1').fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isWhole(events));
  });

  test(`decode engine ${fault.kind} in decode`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = start(fleet, runner);
    await fleet.clock.advance(200);
    const name = decodingEngine(fleet);
    t.true(events.length > 0 && events.length < 20);
    fleet.engine(name).fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isWhole(events));
    fleet.engine(name).fail({kind: 'none'});
    await fleet.clock.advance(settleMilliseconds);
    t.is(heldTokens(fleet), 0);
  });
}

test('a KV cache moves to another engine while it lives', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner, slowPrompt);
  await fleet.clock.advance(101);
  fleet.engine('d1').fail({kind: 'silent'});
  await fleet.clock.runUntil(done);
  t.true(isWhole(events));
  const computed = ['p1', 'p2'].map(name => fleet.engine(name).prefilledTokens);
  t.is(computed[0]! + computed[1]!, 4_000);
});

test('an engine that dies after prefill costs one more prefill', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner, slowPrompt);
  await fleet.clock.advance(30);
  const name = prefillingEngine(fleet);
  await fleet.clock.advance(72);
  t.is(fleet.engine(name).prefilledTokens, 4_000);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isWhole(events));
});

test('an observer hears of each attempt and of wasted prefill', async t => {
  const {fleet, runner} = makeFleet();
  const heard: Array<number | 'dequeued'> = [];
  const observer = {
    dequeued: () => void heard.push('dequeued'),
    prefillWasted: (tokens: number) => void heard.push(tokens),
  };
  const observed: Pick<typeof runner, 'run'> = {
    run: (request, signal) => runner.run({...request, observer}, signal),
  };
  const {done} = start(fleet, observed, slowPrompt);
  await fleet.clock.advance(30);
  const name = prefillingEngine(fleet);
  await fleet.clock.advance(72);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  // The dead engine is tried once more before it counts as dead.
  const [first, wasted, ...later] = heard;
  t.deepEqual([first, wasted], ['dequeued', 4_000]);
  t.true(later.length > 0 && later.every(each => each === 'dequeued'));
});

test('a silent connection is resumed on the same engine', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner);
  await fleet.clock.advance(200);
  fleet.engine(decodingEngine(fleet)).silenceConnections();
  await fleet.clock.runUntil(done);
  t.true(isWhole(events));
  const computed = ['p1', 'p2'].map(name => fleet.engine(name).prefilledTokens);
  t.is(computed[0]! + computed[1]!, 400);
});

test('a broken connection is resumed on the same engine', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner);
  await fleet.clock.advance(200);
  fleet.engine(decodingEngine(fleet)).breakConnections();
  await fleet.clock.runUntil(done);
  t.true(isWhole(events));
});

test('an engine that makes tokens again is not taken for silent', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner, {maximumTokens: 200});
  await fleet.clock.advance(3_000);
  fleet.engine(decodingEngine(fleet)).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isWhole(events, 200));
  const computed = ['p1', 'p2'].map(name => fleet.engine(name).prefilledTokens);
  t.is(computed[0]! + computed[1]!, 800);
});

test('failures until the deadline end with a typed failure', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner, {timeoutMilliseconds: 3_000});
  await fleet.clock.advance(200);
  const delivered = events.length;
  for (const engine of fleet.engines.values()) engine.fail({kind: 'silent'});
  await fleet.clock.runUntil(done);
  const last = events.at(-1)!;
  t.is(events.length, delivered + 1);
  t.is(last.kind === 'failed' && last.failure.ran, 'ran');
  t.true(fleet.clock.now() <= 3_001);
});

test('no decode, no run', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = start(fleet, runner, slowPrompt);
  await fleet.clock.advance(30);
  for (const engine of fleet.engines.values()) engine.fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  const [event] = events;
  t.is(event?.kind === 'failed' && event.failure.ran, 'not-run');
});

test('the retry budget bounds prefills', async t => {
  const {fleet, runner} = makeFleet();
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'stalled'});
  const runs = Array.from({length: 8}, () => start(fleet, runner));
  await fleet.clock.runUntil(Promise.all(runs.map(({done}) => done)));
  const computed = ['p1', 'p2'].map(name => fleet.engine(name).prefilledTokens);
  t.true(computed[0]! + computed[1]! <= (8 + 22) * 400);
  t.true(runs.every(({events}) => events.at(-1)?.kind === 'failed'));
});

test('a caller that goes away frees the engines', async t => {
  const {fleet, runner} = makeFleet();
  const caller = new AbortController();
  const {events, done} = start(fleet, runner, {}, caller);
  await fleet.clock.advance(200);
  caller.abort();
  await fleet.clock.runUntil(done);
  const last = events.at(-1)!;
  t.is(last.kind === 'failed' && last.failure.code, 'caller-gone');
  await fleet.clock.advance(100);
  t.is(heldTokens(fleet), 0);
});

test('a generator that is returned early frees the engines', async t => {
  const {fleet, runner} = makeFleet();
  const request = start(fleet, runner).request;
  const events = runner.run(
    {...request, request: 'other' as typeof request.request},
    new AbortController().signal,
  );
  await fleet.clock.runUntil(events.next());
  await fleet.clock.runUntil(events.return(undefined));
  await fleet.clock.advance(settleMilliseconds);
  t.is(heldTokens(fleet), 0);
});

test('attempts are owned before engines see them', async t => {
  const owned = new Set<string>();
  const {fleet, runner} = makeFleet({
    ownedAttempts: {
      register: ({attempt}) => owned.add(attempt),
      release: ({attempt}) => owned.delete(attempt),
    },
  });
  const {done} = start(fleet, runner, slowPrompt);
  await fleet.clock.advance(30);
  for (const engine of fleet.engines.values())
    for (const {attempt} of engine.running()) t.true(owned.has(attempt));
  t.is(owned.size, 1);
  await fleet.clock.runUntil(done);
  await runner.close();
  t.is(owned.size, 0);
});

test('a cut-off domain serves with its own engines', async t => {
  const {fleet, runner} = makeFleet();
  fleet.cutDomains.add('a');
  const runs = Array.from({length: 8}, () => start(fleet, runner));
  await fleet.clock.runUntil(Promise.all(runs.map(({done}) => done)));
  for (const {events} of runs) t.true(isWhole(events));
  t.is(
    fleet.engine('p2').prefilledTokens + fleet.engine('d2').decodedTokens,
    0,
  );
});

test('what a cut-off domain cannot serve is refused at once', async t => {
  const {fleet, runner} = makeFleet();
  fleet.engine('d1').fail({kind: 'dead'});
  fleet.cutDomains.add('a');
  await fleet.clock.runUntil(start(fleet, runner).done);
  const before = fleet.clock.now();
  const {events, done} = start(fleet, runner);
  await fleet.clock.runUntil(done);
  const [event] = events;
  t.is(event?.kind === 'failed' && event.failure.code, 'no-upstream');
  t.is(event?.kind === 'failed' && event.failure.ran, 'not-run');
  t.true(fleet.clock.now() - before < 50);
});

test('a leaving engine finishes its streams and gets nothing new', async t => {
  const {fleet, runner} = makeFleet();
  const first = start(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.leave(name);
  const later = Array.from({length: 6}, () => start(fleet, runner));
  await fleet.clock.runUntil(
    Promise.all([first, ...later].map(({done}) => done)),
  );
  for (const {events} of [first, ...later]) t.true(isWhole(events));
  t.is(fleet.engine(name).decodedTokens, 20);
});

test('a slow engine is avoided and let back in', async t => {
  const {fleet, runner} = makeFleet();
  fleet.engine('d1').fail({kind: 'slow', factor: 10});
  const share = async () => {
    const before = fleet.engine('d1').decodedTokens;
    const runs = Array.from({length: 10}, () => start(fleet, runner));
    await fleet.clock.runUntil(Promise.all(runs.map(({done}) => done)));
    return (fleet.engine('d1').decodedTokens - before) / 200;
  };
  await share();
  t.true((await share()) <= 0.1);
  fleet.engine('d1').fail({kind: 'none'});
  let healed = 0;
  for (let round = 0; round < 20; round += 1) {
    await fleet.clock.advance(1_000);
    healed = await share();
  }
  t.true(healed > 0.2);
});
