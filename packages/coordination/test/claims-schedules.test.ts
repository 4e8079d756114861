import test from 'ava';
import fc from 'fast-check';
import {runSchedule, schedules} from './tools/claim-schedule.js';

const seed = 20260104;
const numRuns = 3000;

test('at most one request per key is executed', async t => {
  t.timeout(140_000);
  const totals = {executions: 0, replays: 0, refusals: 0};
  await fc.assert(
    fc.asyncProperty(schedules, async schedule => {
      const report = await runSchedule(schedule);
      totals.executions += report.executions;
      totals.replays += report.replays;
      totals.refusals += report.refusals;
      return report.violations.length === 0;
    }),
    {seed, numRuns},
  );
  t.log(`seed ${seed}, ${numRuns} schedules: ${JSON.stringify(totals)}`);
  t.true(totals.executions > numRuns / 2 && totals.replays > numRuns / 10);
});

test('random schedules detect a witness that votes right after a restart', async t => {
  t.timeout(140_000);
  const details = await fc.check(
    fc.asyncProperty(schedules, async schedule => {
      const report = await runSchedule(schedule, true);
      return report.violations.length === 0;
    }),
    {seed, numRuns, endOnFailure: true},
  );
  t.true(details.failed);
  t.log(`seed ${seed}: found in schedule ${details.numRuns}`);
});
