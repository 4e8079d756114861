/** Random scripts of engines, callers and stops around takeovers, on virtual time. */

import test from 'ava';
import {seededRandom} from '../src/index.js';
import {ScriptedEngines} from './tools/scripted-engines.js';
import type {Outcome, Run, RunScript} from './tools/scripted-engines.js';

const maximumOverlapMilliseconds = 400;

/** Time after its head from which a run has taken over the stream without an event. */
const overlapMilliseconds = 295;

/** `SEEDS` is a first and a last seed, as in 1-5000. */
const [first = 1, last = 800] = (process.env['SEEDS'] ?? '')
  .split('-')
  .filter(each => each !== '')
  .map(Number);

interface Play {
  readonly scene: ScriptedEngines;
  readonly outcome: Outcome;
  readonly leftAt: number | undefined;
  /** Reservations, caches and load that remain after all have ended. */
  readonly remains: readonly string[];
}

function drawScript(random: ReturnType<typeof seededRandom>): RunScript {
  const chance = (share: number) => random.next() < share;
  const upTo = (bound: number) => Math.floor(random.next() * bound);
  const fails = (['refused', 'unreachable', 'broken'] as const)[upTo(3)]!;
  return {
    headDelay: chance(0.3) ? upTo(3500) : 1 + upTo(50),
    ...(chance(0.2) ? {fails} : {}),
    ...(chance(0.2) ? {firstEventDelay: upTo(1500)} : {}),
    ...(chance(0.5)
      ? {
          pausesAt: 1 + upTo(10),
          pause: chance(0.3) ? 60_000 : 700 + upTo(1800),
        }
      : {}),
    ...(chance(0.15) ? {breaksAfter: upTo(4000)} : {}),
    ...(chance(0.05) ? {isEmpty: true} : {}),
    ...(chance(0.05) ? {status: 500} : chance(0.05) ? {commentBytes: 10} : {}),
  };
}

async function play(seed: number): Promise<Play> {
  const random = seededRandom(seed);
  const chance = (share: number) => random.next() < share;
  const upTo = (bound: number) => Math.floor(random.next() * bound);
  const scripts = Array.from({length: 6}, () => drawScript(random));
  const scene = new ScriptedEngines(scripts, {
    events: 10,
    maximumTries: 1 + upTo(3),
    deadline: chance(0.3) ? 1000 + upTo(5000) : 14_000,
    prefillMilliseconds: upTo(2) * upTo(1200),
    versions: ['v1', 'v1', chance(0.5) ? 'v1' : 'v2', 'v1'],
    retries: chance(0.3) ? upTo(4) : 1000,
    callerDelay: chance(0.15) ? upTo(900) : 0,
  });
  const leftAt = chance(0.2) ? upTo(5000) : undefined;
  const stopAt = chance(0.4) ? upTo(4000) : undefined;
  const {clock} = scene;
  if (leftAt !== undefined)
    void clock.sleep(leftAt).then(() => scene.caller.abort());
  if (stopAt !== undefined) void clock.sleep(stopAt).then(() => scene.stop());
  const outcome = await clock.runUntil(scene.relay());
  const resting = 700;
  await clock.advance(resting);
  return {scene, outcome, leftAt, remains: scene.remains()};
}

/** Whether the host has ended a stream that would have gone on, for no other run. */
function isCut(run: Run, index: number, sent: readonly Run[]): boolean {
  const {breaksAfter, pause = 0, status, isEmpty, commentBytes} = run.script;
  const isSound =
    breaksAfter === undefined &&
    pause < 60_000 &&
    status === undefined &&
    isEmpty !== true &&
    commentBytes === undefined;
  const isTakenOver = sent
    .slice(index + 1)
    .some(
      ({events, beganAt}) =>
        events > 0 || run.endedAt! - beganAt >= overlapMilliseconds,
    );
  const isTakeover = sent
    .slice(0, index)
    .some(({endedAt}) => endedAt! > run.endedAt!);
  const isRelayed = run.events > 0 && !isTakeover;
  return isSound && isRelayed && run.isCancelled && !isTakenOver;
}

/** Rules that the play broke. */
function findings({scene, outcome, leftAt, remains}: Play): readonly string[] {
  const {ids, versions, isWhole, endedAt} = outcome;
  const {runs, options} = scene;
  const {maximumTries = 1, deadline = Infinity, events} = options;
  const found: string[] = [];
  if (ids.some((id, index) => id !== index + 1)) found.push(`events ${ids}`);
  if (isWhole && ids.length < events) found.push('ends early as complete');
  if (versions.size > 1) found.push('two versions');
  if (scene.longestOverlap() >= maximumOverlapMilliseconds)
    found.push(`overlap of ${scene.longestOverlap()} ms`);
  if (runs.length > maximumTries) found.push(`${runs.length} runs`);
  if (remains.length > 0) found.push(`remains: ${remains}`);
  const hasLeft = leftAt !== undefined && leftAt <= endedAt;
  if (hasLeft && endedAt - leftAt > 1000 && (options.callerDelay ?? 0) === 0)
    found.push(`ends ${endedAt - leftAt} ms after its caller has left`);
  if (!isWhole && !hasLeft && endedAt < deadline && ids.length > 0)
    if (scene.sent.some(isCut)) found.push('cut while its engine goes on');
  return found;
}

// Guards against streams that are cut, joined or left behind between two engines.
test('no script of engines breaks a rule of takeovers', async t => {
  for (let seed = first; seed <= last; seed += 1) {
    const found = findings(await play(seed));
    t.deepEqual(found, [], `seed ${seed}`);
  }
});
