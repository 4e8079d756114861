import test from 'ava';
import fc from 'fast-check';
import {ScheduleRunner, scheduleArbitrary} from './tools/limit-schedule.js';

const seed = 20_261_204;
const schedules = 10_000;
const timeLimitMilliseconds = 110_000;

test('in no period do admitted requests exceed burst plus rate times time', async t => {
  t.timeout(timeLimitMilliseconds + 20_000);
  let completedSchedules = 0;
  let admitted = 0;
  const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
    const runner = new ScheduleRunner(schedule);
    await runner.run();
    completedSchedules += 1;
    admitted += runner.tokenUses.length;
    return runner.worstExcess() <= 0;
  });
  const startedAt = performance.now();
  await fc.assert(property, {
    seed,
    numRuns: schedules,
    interruptAfterTimeLimit: timeLimitMilliseconds,
    markInterruptAsFailure: false,
  });
  const seconds = Math.round((performance.now() - startedAt) / 1_000);
  t.log(
    `seed ${seed}: ${completedSchedules} schedules, ${admitted} admitted, ${seconds} s`,
  );
  t.true(completedSchedules > 0);
  t.true(admitted > completedSchedules);
});
