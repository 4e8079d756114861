import test from 'ava';
import {FaultRun, countAnswers, pause} from '../tools/fault-run.js';

const stopMilliseconds = 2_500;

test.serial('killed host holds no engine memory', async t => {
  const run = await FaultRun.start(t);
  const live = [...run.streams(0, 4, 3_000), ...run.streams(1, 4, 3_000)];
  const lost = run.streams(2, 20, 12_000);
  await run.until('28 streams', () => run.streaming === 28);
  await run.kill(run.daemons[2]!);
  t.deepEqual(countAnswers(await Promise.all(lost)), {cut: 20});
  t.deepEqual(countAnswers(await Promise.all(live)), {whole: 8});
  await run.check();
});

test.serial('stopped host wakes late', async t => {
  const run = await FaultRun.start(t, {claimRetentionMilliseconds: 9_000});
  const streams = [0, 1, 2].flatMap(index => run.streams(index, 4, 800));
  await run.until('12 streams', () => run.streaming === 12);
  const keys = Array.from({length: 10}, (_, index) => `release-${index}`);
  const first = [];
  for (const key of keys) {
    first.push(run.release(2, key));
    await pause(1);
  }
  run.daemons[2]!.signal('SIGSTOP');
  const again = keys.map(key => run.release(0, key));
  await pause(stopMilliseconds);
  run.daemons[2]!.signal('SIGCONT');
  const calls = await Promise.all([...first, ...again]);
  const results = await Promise.all(streams);
  t.log(countAnswers(calls), countAnswers(results));
  t.is(countAnswers(calls)['cut'], undefined);
  t.deepEqual(countAnswers(results), {whole: 12});
  await run.check();
});
