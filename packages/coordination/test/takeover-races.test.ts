/** Streams that go on at two engines at the same time, on virtual time. */

import test from 'ava';
import {ScriptedEngines} from './tools/scripted-engines.js';

const allIds = Array.from({length: 10}, (_, index) => index + 1);

// Guards against streams that two versions of a model have written.
test('a stream that begins as another version accepts it has events of one version', async t => {
  const scene = new ScriptedEngines(
    [{firstEventDelay: 910}, {firstEventDelay: 200}],
    {events: 10, versions: ['v1', 'v2', 'v2']},
  );
  const {ids, versions, isWhole} = await scene.clock.runUntil(scene.relay());
  t.deepEqual([ids, isWhole, versions.size], [allIds, true, 1]);
});

// Guards against two engines that run a stream for as long as its caller reads nothing.
test('two engines run a stream briefly although its caller is slow', async t => {
  const scene = new ScriptedEngines(
    [{pausesAt: 5, pause: 910}, {firstEventDelay: 200}],
    {events: 10, callerDelay: 1200},
  );
  const {ids, isWhole} = await scene.clock.runUntil(scene.relay());
  t.deepEqual([ids, isWhole], [allIds, true]);
  t.true(scene.longestOverlap() < 400, `${scene.longestOverlap()} ms`);
});

// Guards against KV caches that are kept for runs that are not made any more.
test('a stream that goes on after a failed takeover leaves no cache', async t => {
  const scene = new ScriptedEngines(
    [{pausesAt: 5, pause: 1800}, {fails: 'unreachable'}],
    {events: 10, versions: ['v1', 'v1', 'v1', 'v1']},
  );
  const {ids} = await scene.clock.runUntil(scene.relay());
  t.deepEqual(ids, allIds);
  await scene.clock.advance(3000);
  t.deepEqual(scene.remains(), []);
});

// Guards against calls that wait for an engine after their callers have left.
test('a caller that leaves ends the search of a stream that broke', async t => {
  const scene = new ScriptedEngines(
    [{pausesAt: 5, pause: 60_000, breaksAfter: 1900}],
    {events: 10},
  );
  const relayed = scene.relay();
  await scene.clock.advance(100);
  for (const engine of scene.upstreams.inFailureDomain('zone-a'))
    engine.reservationBackoffUntil = Infinity;
  await scene.clock.advance(2100);
  scene.caller.abort();
  const {endedAt} = await scene.clock.runUntil(relayed);
  t.true(endedAt <= 2300, `${endedAt} ms`);
});

// Guards against responses that fill the memory before they are relayed.
test('the bytes of a takeover that has no event yet are counted', async t => {
  const commentBytes = 1000;
  const scene = new ScriptedEngines(
    [{pausesAt: 5, pause: 60_000}, {commentBytes}],
    {events: 10},
  );
  const relayed = scene.relay();
  await scene.clock.advance(1700);
  t.is(scene.runs.length, 2);
  t.true(
    scene.incompleteBytes >= 100 * commentBytes,
    `${scene.incompleteBytes}`,
  );
  scene.caller.abort();
  await scene.clock.runUntil(relayed);
});

// Guards against calls that fail on a stopping host although another engine is free.
test('a call whose engine breaks before its head in a stop goes on elsewhere', async t => {
  const scene = new ScriptedEngines([{headDelay: 800, fails: 'broken'}, {}], {
    events: 10,
  });
  const relayed = scene.relay();
  await scene.clock.advance(400);
  scene.stop();
  t.deepEqual((await scene.clock.runUntil(relayed)).ids, allIds);
});

// Guards against streams that stay at a silent engine because all others failed once.
test('a silent stream goes on at an engine that was unreachable once', async t => {
  const fails = 'unreachable';
  const scene = new ScriptedEngines(
    [{pausesAt: 5, pause: 60_000}, {fails}, {fails}, {}],
    {events: 10},
  );
  t.deepEqual((await scene.clock.runUntil(scene.relay())).ids, allIds);
});
