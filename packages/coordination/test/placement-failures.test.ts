import test from 'ava';
import type {SimulatedEngineFault} from '../src/index.js';
import {
  decodingEngine,
  totalHeldTokens,
  isCompleteStream,
  makeFleet,
  prefillingEngine,
  startRequest,
} from './tools/placement-fleet.js';

const settleMilliseconds = 10_000;
const faults: SimulatedEngineFault[] = [
  {kind: 'dead'},
  {kind: 'stalled'},
  {kind: 'silent'},
];

/** Long enough for a fault to occur during prefill. */
const longPrompt = {prompt: 'word '.repeat(4_000), promptTokens: 4_000};

test('a completion without faults is complete and leaves no held tokens', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
  await fleet.clock.advance(settleMilliseconds);
  t.is(totalHeldTokens(fleet), 0);
});

for (const fault of faults) {
  test(`a completion survives a prefill engine that is ${fault.kind} before prefill`, async t => {
    const {fleet, runner} = makeFleet();
    fleet.engine('p1').fail(fault);
    const requests = Array.from({length: 4}, () => startRequest(fleet, runner));
    await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
    for (const {events} of requests) t.true(isCompleteStream(events));
  });

  test(`a completion survives a prefill engine that is ${fault.kind} during prefill`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = startRequest(fleet, runner, longPrompt);
    await fleet.clock.advance(30);
    const name = prefillingEngine(fleet);
    fleet.engine(name).fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isCompleteStream(events));
    fleet.engine(name).fail({kind: 'none'});
    await fleet.clock.advance(settleMilliseconds);
    t.is(totalHeldTokens(fleet), 0);
  });

  test(`a completion survives a decode engine that is ${fault.kind} during prefill`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = startRequest(fleet, runner, longPrompt);
    await fleet.clock.advance(30);
    fleet.engine('d1').fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isCompleteStream(events));
  });

  test(`a completion survives a decode engine that is ${fault.kind} during decode`, async t => {
    const {fleet, runner} = makeFleet();
    const {events, done} = startRequest(fleet, runner);
    await fleet.clock.advance(200);
    const name = decodingEngine(fleet);
    t.true(events.length > 0 && events.length < 20);
    fleet.engine(name).fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isCompleteStream(events));
    fleet.engine(name).fail({kind: 'none'});
    await fleet.clock.advance(settleMilliseconds);
    t.is(totalHeldTokens(fleet), 0);
  });
}

test('a KV cache is transferred to another decode engine before it expires', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(101);
  fleet.engine('d1').fail({kind: 'silent'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
  const prefilledTokens = ['p1', 'p2'].map(
    name => fleet.engine(name).prefilledTokens,
  );
  t.is(prefilledTokens[0]! + prefilledTokens[1]!, 4_000);
});

test('a request is completed when its prefill engine dies after prefill', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(30);
  const name = prefillingEngine(fleet);
  await fleet.clock.advance(72);
  t.is(fleet.engine(name).prefilledTokens, 4_000);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
});

test('an observer receives each attempt and the wasted prefill tokens', async t => {
  const {fleet, runner} = makeFleet();
  const observedEvents: Array<number | 'dequeued'> = [];
  const observer = {
    dequeued: () => void observedEvents.push('dequeued'),
    prefillWasted: (tokens: number) => void observedEvents.push(tokens),
  };
  const observedRunner: Pick<typeof runner, 'run'> = {
    run: (request, signal) => runner.run({...request, observer}, signal),
  };
  const {done} = startRequest(fleet, observedRunner, longPrompt);
  await fleet.clock.advance(30);
  const name = prefillingEngine(fleet);
  await fleet.clock.advance(72);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  // The dead engine can receive another attempt before it is ejected.
  const [first, wasted, ...later] = observedEvents;
  t.deepEqual([first, wasted], ['dequeued', 4_000]);
  t.true(later.length > 0 && later.every(each => each === 'dequeued'));
});

test('load reports that are late once refuse no request', async t => {
  const {fleet, runner} = makeFleet();
  await fleet.clock.runUntil(startRequest(fleet, runner).done);
  for (const engine of fleet.engines.values()) engine.fail({kind: 'silent'});
  await fleet.clock.advance(560);
  for (const engine of fleet.engines.values()) engine.fail({kind: 'none'});
  const requests = Array.from({length: 4}, () => startRequest(fleet, runner));
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  for (const {events} of requests) t.true(isCompleteStream(events));
});

test('a silent connection is resumed on the same engine', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  fleet.engine(decodingEngine(fleet)).silenceConnections();
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
  const prefilledTokens = ['p1', 'p2'].map(
    name => fleet.engine(name).prefilledTokens,
  );
  t.is(prefilledTokens[0]! + prefilledTokens[1]!, 400);
});

test('a broken connection is resumed on the same engine', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  fleet.engine(decodingEngine(fleet)).breakConnections();
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
});

test('an engine that regenerates tokens does not count as silent', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, {maximumTokens: 200});
  await fleet.clock.advance(3_000);
  fleet.engine(decodingEngine(fleet)).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events, 200));
  const prefilledTokens = ['p1', 'p2'].map(
    name => fleet.engine(name).prefilledTokens,
  );
  t.is(prefilledTokens[0]! + prefilledTokens[1]!, 800);
});

test('a request whose engines stay silent ends at its deadline with one failure', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, {
    timeoutMilliseconds: 3_000,
  });
  await fleet.clock.advance(200);
  const delivered = events.length;
  for (const engine of fleet.engines.values()) engine.fail({kind: 'silent'});
  await fleet.clock.runUntil(done);
  const last = events.at(-1)!;
  t.is(events.length, delivered + 1);
  t.is(last.kind === 'failed' && last.failure.ran, 'ran');
  t.true(fleet.clock.now() <= 3_001);
});

test('a request whose decode never started is reported as not run', async t => {
  const {fleet, runner} = makeFleet();
  const {events, done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(30);
  for (const engine of fleet.engines.values()) engine.fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  const [event] = events;
  t.is(event?.kind === 'failed' && event.failure.ran, 'not-run');
});

test('the retry budget limits the number of prefills', async t => {
  const {fleet, runner} = makeFleet();
  for (const name of ['d1', 'd2']) fleet.engine(name).fail({kind: 'stalled'});
  const requests = Array.from({length: 8}, () => startRequest(fleet, runner));
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  const prefilledTokens = ['p1', 'p2'].map(
    name => fleet.engine(name).prefilledTokens,
  );
  // 8 first attempts, at most 20 accumulated retries and 8 * 0.2 earned ones.
  t.true(prefilledTokens[0]! + prefilledTokens[1]! <= (8 + 22) * 400);
  t.true(requests.every(({events}) => events.at(-1)?.kind === 'failed'));
});

test('a disconnect of the caller frees the engines', async t => {
  const {fleet, runner} = makeFleet();
  const caller = new AbortController();
  const {events, done} = startRequest(fleet, runner, {}, caller);
  await fleet.clock.advance(200);
  caller.abort();
  await fleet.clock.runUntil(done);
  const last = events.at(-1)!;
  t.is(last.kind === 'failed' && last.failure.code, 'caller-gone');
  await fleet.clock.advance(100);
  t.is(totalHeldTokens(fleet), 0);
});

test('returning the generator early frees the engines', async t => {
  const {fleet, runner} = makeFleet();
  const request = startRequest(fleet, runner).request;
  const events = runner.run(
    {...request, request: 'other' as typeof request.request},
    new AbortController().signal,
  );
  await fleet.clock.runUntil(events.next());
  await fleet.clock.runUntil(events.return(undefined));
  await fleet.clock.advance(settleMilliseconds);
  t.is(totalHeldTokens(fleet), 0);
});

test('attempts are registered before engines receive them', async t => {
  const ownedAttempts = new Set<string>();
  const {fleet, runner} = makeFleet({
    ownedAttempts: {
      register: ({attempt}) => ownedAttempts.add(attempt),
      release: ({attempt}) => ownedAttempts.delete(attempt),
    },
  });
  const {done} = startRequest(fleet, runner, longPrompt);
  await fleet.clock.advance(30);
  for (const engine of fleet.engines.values())
    for (const {attempt} of engine.running())
      t.true(ownedAttempts.has(attempt));
  t.is(ownedAttempts.size, 1);
  await fleet.clock.runUntil(done);
  await runner.close();
  t.is(ownedAttempts.size, 0);
});

test('a partitioned failure domain serves requests with its own engines', async t => {
  const {fleet, runner} = makeFleet();
  fleet.cutDomains.add('a');
  const requests = Array.from({length: 8}, () => startRequest(fleet, runner));
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  for (const {events} of requests) t.true(isCompleteStream(events));
  t.is(
    fleet.engine('p2').prefilledTokens + fleet.engine('d2').decodedTokens,
    0,
  );
});

test('a partitioned failure domain without a decode engine refuses at once', async t => {
  const {fleet, runner} = makeFleet();
  fleet.engine('d1').fail({kind: 'dead'});
  fleet.cutDomains.add('a');
  await fleet.clock.runUntil(startRequest(fleet, runner).done);
  const startedAt = fleet.clock.now();
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.runUntil(done);
  const [event] = events;
  t.is(event?.kind === 'failed' && event.failure.code, 'no-upstream');
  t.is(event?.kind === 'failed' && event.failure.ran, 'not-run');
  t.true(fleet.clock.now() - startedAt < 50);
});

test('a leaving engine finishes its streams and gets no new requests', async t => {
  const {fleet, runner} = makeFleet();
  const first = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.publishLeaving(name);
  const later = Array.from({length: 6}, () => startRequest(fleet, runner));
  await fleet.clock.runUntil(
    Promise.all([first, ...later].map(({done}) => done)),
  );
  for (const {events} of [first, ...later]) t.true(isCompleteStream(events));
  t.is(fleet.engine(name).decodedTokens, 20);
});

test('a slow engine is avoided and used again after its recovery', async t => {
  const {fleet, runner} = makeFleet();
  fleet.engine('d1').fail({kind: 'slow', factor: 10});
  const measureShare = async () => {
    const previousTokens = fleet.engine('d1').decodedTokens;
    const requests = Array.from({length: 10}, () =>
      startRequest(fleet, runner),
    );
    await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
    return (fleet.engine('d1').decodedTokens - previousTokens) / 200;
  };
  await measureShare();
  t.true((await measureShare()) <= 0.1);
  fleet.engine('d1').fail({kind: 'none'});
  let recoveredShare = 0;
  for (let round = 0; round < 20; round += 1) {
    await fleet.clock.advance(1_000);
    recoveredShare = await measureShare();
  }
  t.true(recoveredShare > 0.2);
});
