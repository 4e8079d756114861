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
