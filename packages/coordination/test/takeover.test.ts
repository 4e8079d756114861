/** Silent streams that another engine takes over, on virtual time. */

import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ScriptedEngines} from './tools/scripted-engines.js';
import type {RunScript, SceneOptions} from './tools/scripted-engines.js';

const eventCount = 10;
const allIds = Array.from({length: eventCount}, (_, index) => index + 1);
const prefillMilliseconds = 700;

const pausing = (pause: number): RunScript => ({pausesAt: 5, pause});
const silent = pausing(60_000);

const sceneOf = (
  scripts: readonly RunScript[],
  options: Partial<SceneOptions> = {},
) => new ScriptedEngines(scripts, {events: eventCount, ...options});

/** Relays a stream, and stops the host after `stopsAfter` milliseconds. */
async function assertWhole(
  t: ExecutionContext,
  scene: ScriptedEngines,
  stopsAfter?: number,
): Promise<void> {
  const relayed = scene.relay();
  if (stopsAfter !== undefined) {
    await scene.clock.advance(stopsAfter);
    scene.stop();
  }
  const {ids, isWhole} = await scene.clock.runUntil(relayed);
  t.deepEqual({ids, isWhole}, {ids: allIds, isWhole: true});
  t.true(scene.longestOverlap() < 400, `${scene.longestOverlap()} ms`);
  await scene.clock.advance(3000);
  t.deepEqual(scene.remains(), []);
}

test('a stream whose replacement is refused goes on at its silent engine', async t => {
  const scene = sceneOf([pausing(1800), {fails: 'refused'}]);
  await assertWhole(t, scene);
  t.is(scene.runs.length, 1);
  t.true(scene.sent.length > 1, 'a replacement was tried');
});

test('a stream that goes on while its prompt is read elsewhere stays', async t => {
  const scene = sceneOf([pausing(1300)], {prefillMilliseconds});
  await assertWhole(t, scene);
  t.is(scene.runs.length, 1);
});

test('a silent stream goes on elsewhere, and two engines run it briefly', async t => {
  const scene = sceneOf([silent, {}], {prefillMilliseconds});
  await assertWhole(t, scene);
  t.is(scene.runs.length, 2);
});

test('an engine that has accepted a stream takes it over before it sends events', t =>
  assertWhole(t, sceneOf([silent, {firstEventDelay: 900}])));

test('a silent engine is kept until a late replacement has accepted the stream', t =>
  assertWhole(t, sceneOf([silent, {headDelay: 900}])));

test('a stream whose replacement is refused late goes on at its silent engine', async t => {
  const refused = {fails: 'refused', headDelay: 500} as const;
  const scene = sceneOf([pausing(1800), refused]);
  await assertWhole(t, scene);
  t.is(scene.runs.length, 1);
});

test('a stream that goes on as another engine accepts it leaves nevertheless', t =>
  assertWhole(t, sceneOf([pausing(910), {firstEventDelay: 200}])));

test('a stream that breaks while its replacement starts goes on there', async t => {
  const breaking = {...silent, breaksAfter: 1900};
  const scene = sceneOf([breaking, {}], {prefillMilliseconds});
  await assertWhole(t, scene);
  t.is(scene.sent.length, 2);
});

test('a late head is awaited while its replacement is refused', async t => {
  const scene = sceneOf([{headDelay: 5000}, {fails: 'refused'}]);
  await assertWhole(t, scene);
  t.is(scene.runs.length, 1);
});

test('a stream without a head goes on elsewhere, within the tries of its route', async t => {
  const scene = sceneOf([{headDelay: 60_000}, {}, {}]);
  await assertWhole(t, scene);
  t.is(scene.sent.length, 2);
});

for (const milliseconds of [200, 400, 600])
  test(`a stop ${milliseconds} ms into the start of a replacement leaves a stream whole`, t =>
    assertWhole(
      t,
      sceneOf([pausing(1800), {}], {prefillMilliseconds}),
      2100 + milliseconds,
    ));

// Guards against streams that a stopping host cuts instead of resuming them.
test('a stream that breaks after a stop has begun goes on elsewhere', t =>
  assertWhole(t, sceneOf([{breaksAfter: 550}, {}]), 400));

// Guards against calls that wait for a silent engine until their callers leave.
test('a call without a head goes on elsewhere after a stop has begun', t =>
  assertWhole(
    t,
    sceneOf([{headDelay: 60_000}, {}], {prefillMilliseconds}),
    3000,
  ));

test('a stopping host begins no stream that would outlive it', async t => {
  const scene = sceneOf([{}]);
  scene.stop();
  await scene.clock.advance(1);
  const {ids} = await scene.clock.runUntil(scene.relay());
  t.deepEqual(ids, []);
  t.is(scene.sent.length, 0);
});
