import test from 'ava';
import fc from 'fast-check';
import {ScheduleRun, scheduleArbitrary} from './tools/limit-schedule.js';

const seed = 20_261_204;
const schedules = 10_000;
const timeLimitMilliseconds = 110_000;

test('no window exceeds rate and burst', async t => {
  t.timeout(timeLimitMilliseconds + 20_000);
  let runs = 0;
  let admitted = 0;
  const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
    const run = new ScheduleRun(schedule);
    await run.run();
    runs += 1;
    admitted += run.uses.length;
    return run.worstExcess() <= 0;
  });
  const started = performance.now();
  await fc.assert(property, {
    seed,
    numRuns: schedules,
    interruptAfterTimeLimit: timeLimitMilliseconds,
    markInterruptAsFailure: false,
  });
  const seconds = Math.round((performance.now() - started) / 1_000);
  t.log(`seed ${seed}: ${runs} schedules, ${admitted} admitted, ${seconds} s`);
  t.true(runs > 0);
  t.true(admitted > runs);
});
