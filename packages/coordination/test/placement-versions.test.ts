import test from 'ava';
import {SimulatedFleet} from '../src/index.js';
import type {
  RunningAttempt,
  SimulatedEngineFault,
  SimulatedEngineSpec,
} from '../src/index.js';
import {
  decodingEngine,
  isCompleteStream,
  startRequest,
  testHost,
} from './tools/placement-fleet.js';

/** Decode engines of two versions; `names` are `d1` to `d4`, odd ones of v1. */
function makeFleet(
  names: readonly string[],
  options: SimulatedEngineSpec['options'] = {},
) {
  const fleet = new SimulatedFleet({
    engines: [
      {name: 'p1', role: 'prefill', failureDomain: 'a', softwareVersion: 'v1'},
      ...names.map(name => ({
        name,
        role: 'decode' as const,
        failureDomain: 'a',
        softwareVersion: versionOf(name),
        startedAt: 1000,
        options,
      })),
    ],
    hosts: [testHost],
    accounts: {batinah: 1},
    firstTokenMilliseconds: 1_500,
    betweenTokensMilliseconds: 60,
    domainDelayMilliseconds: 1.5,
    seed: 1,
  });
  return {fleet, runner: fleet.makeRunner(testHost)};
}

const versionOf = (name: string) => (Number(name[1]) % 2 === 1 ? 'v1' : 'v2');

/** Versions of the engines that have decoded anything. */
const writersOf = (fleet: SimulatedFleet): Set<string> =>
  new Set(
    [...fleet.engines]
      .filter(([name, {decodedTokens}]) => name[0] === 'd' && decodedTokens > 0)
      .map(([name]) => versionOf(name)),
  );

const isDecoding = ({state}: RunningAttempt) => state === 'decoding';

const faults: SimulatedEngineFault[] = [
  {kind: 'dead'},
  {kind: 'stalled'},
  {kind: 'silent'},
];

for (const fault of faults) {
  // Guards against a text whose beginning and end are of two versions.
  test(`a completion whose engine is ${fault.kind} ends if only another version is left`, async t => {
    const {fleet, runner} = makeFleet(['d1', 'd2']);
    const {events, done} = startRequest(fleet, runner);
    await fleet.clock.advance(200);
    t.true(events.length > 0 && events.length < 20);
    fleet.engine(decodingEngine(fleet)).fail(fault);
    await fleet.clock.runUntil(done);
    t.is(events.at(-1)?.kind, 'failed');
    t.is(writersOf(fleet).size, 1);
  });

  test(`a completion whose engine is ${fault.kind} goes on at its version`, async t => {
    const {fleet, runner} = makeFleet(['d1', 'd2', 'd3', 'd4']);
    const {events, done} = startRequest(fleet, runner);
    await fleet.clock.advance(200);
    fleet.engine(decodingEngine(fleet)).fail(fault);
    await fleet.clock.runUntil(done);
    t.true(isCompleteStream(events));
    t.is(writersOf(fleet).size, 1);
  });
}

// Guards against a document that still names the version of an earlier process.
test('a completion whose engine was found to be another process ends', async t => {
  const {fleet, runner} = makeFleet(['d1', 'd2', 'd3', 'd4']);
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.publish(name, {softwareVersion: 'v3', startedAt: 2000});
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.like(events.at(-1), {
    kind: 'failed',
    failure: {code: 'stream-not-resumable', ran: 'ran'},
  });
});

// Guards against a replacement that was sought while the version was certain.
test('a completion found to be of another process ends in spite of a replacement', async t => {
  const {fleet, runner} = makeFleet(['d1', 'd2', 'd3', 'd4']);
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.engine(name).fail({kind: 'stalled'});
  const isReplaced = () =>
    [...fleet.engines].some(
      ([other, engine]) => other !== name && engine.running().some(isDecoding),
    );
  for (let step = 0; step < 1500 && !isReplaced(); step += 1)
    await fleet.clock.advance(1);
  t.true(isReplaced());
  fleet.publish(name, {softwareVersion: 'v3', startedAt: 2000});
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.like(events.at(-1), {
    kind: 'failed',
    failure: {code: 'stream-not-resumable', ran: 'ran'},
  });
});

test('a completion whose version is no longer published names the reason', async t => {
  const {fleet, runner} = makeFleet(['d1', 'd2']);
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.publishLeaving(name);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.like(events.at(-1), {
    kind: 'failed',
    failure: {code: 'stream-not-resumable', ran: 'ran'},
  });
});

// A new document of the same process is no restart.
test('a completion goes on if only the state of its engine was published', async t => {
  const {fleet, runner} = makeFleet(['d1', 'd2', 'd3', 'd4']);
  const {events, done} = startRequest(fleet, runner);
  await fleet.clock.advance(200);
  const name = decodingEngine(fleet);
  fleet.publishLeaving(name);
  fleet.engine(name).fail({kind: 'dead'});
  await fleet.clock.runUntil(done);
  t.true(isCompleteStream(events));
});

// Guards against a queue that stands still for one resumption that has to wait.
test('a completion that waits for its version holds up no other one', async t => {
  const {fleet, runner} = makeFleet(['d1', 'd2', 'd3'], {decodeSlots: 1});
  const running = ['d1', 'd2', 'd3'].map(() => {
    const caller = new AbortController();
    const started = startRequest(
      fleet,
      runner,
      {maximumTokens: 400, timeoutMilliseconds: 20_000},
      caller,
    );
    return {caller, ...started};
  });
  await fleet.clock.advance(300);
  t.true(running.every(({events}) => events.length > 0));
  const [atNewer] = fleet.engine('d2').running();
  running
    .find(({request}) => request.request === atNewer!.request)!
    .caller.abort();
  // The other engine of this version is busy for 8 s.
  fleet.engine('d1').fail({kind: 'dead'});
  await fleet.clock.advance(500);
  const {events, done} = startRequest(fleet, runner, {maximumTokens: 5});
  const startedAt = fleet.clock.now();
  await fleet.clock.runUntil(done);
  t.is(events.at(-1)?.kind, 'finished');
  t.true(fleet.clock.now() - startedAt < 1000);
});
