import {defaultInvariantBounds, upstreamId} from '@persimmonwick/coordination';
import {sampleKeys} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countAnswers} from '../tools/fault-run.js';

const restart = async (run: FaultRun) => {
  const daemon = run.daemons[1]!;
  await run.kill(daemon);
  daemon.start();
  await daemon.waitUntilReady();
};

test.serial('restart with the platform down or stale', async t => {
  const run = await FaultRun.start(t);
  const {platform} = run.group.fleet;
  const old = run.group.fleet.publishKey('old', 'key-old', 'batinah');
  const version = run.group.fleet.publishKey('new', 'key-new', 'batinah');
  run.recordPublished(version);
  await run.untilVersion(version);
  platform.fault = 'down';
  await restart(run);
  await run.untilVersion(version);
  t.is((await run.stream(1, 50)).answer.kind, 'whole');
  platform.fault = 'none';
  platform.staleVersion = old;
  await restart(run);
  await run.untilVersion(version);
  t.is((await run.stream(1, 50)).answer.kind, 'whole');
  await run.check();
});

test.serial('key withdrawn and upstream leaving', async t => {
  const run = await FaultRun.start(t);
  const {fleet, recorder} = run.group;
  const leaving = fleet.decodeEngines[2]!;
  const long = [0, 1, 2].flatMap(index => run.streams(index, 4, 500));
  await run.until('12 streams', () => run.streaming === 12);
  recorder.record({
    kind: 'upstream-leaving',
    upstream: upstreamId(leaving.address),
  });
  run.recordPublished(fleet.publishLeaving(leaving));
  const limit = performance.now() + defaultInvariantBounds.leavingMilliseconds;
  while (performance.now() < limit) await run.stream(0, 20);
  const late = [0, 1, 2].flatMap(index => run.streams(index, 6, 50));
  t.deepEqual(countAnswers(await Promise.all(late)), {whole: 18});
  t.deepEqual(countAnswers(await Promise.all(long)), {whole: 12});

  const own = [0, 1, 2].map(index => run.stream(index, 12_000, 'batinah'));
  const other = [0, 1, 2].map(index => run.stream(index, 500, 'lembaga'));
  const before = run.streaming;
  await run.until('streams', () => run.streaming >= before + 6);
  const version = fleet.platform.withdraw('Key/batinah');
  recorder.record({kind: 'key-withdrawn', key: sampleKeys.batinah});
  run.recordPublished(version);
  await run.untilVersion(version);
  t.deepEqual(countAnswers(await Promise.all(own)), {
    'failed key-withdrawn': 3,
  });
  t.deepEqual(countAnswers(await Promise.all(other)), {whole: 3});
  t.is((await run.call(1, 'orders')).code, 'unknown-key');
  await run.check();
});
