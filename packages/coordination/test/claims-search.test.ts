import test from 'ava';
import {searchAll} from './tools/claim-search.js';

const maximumStates = 60_000;
const smallScenario = {
  callHosts: ['h0', 'h1'],
  crashingHost: 'h2',
  pausingHost: 'h0',
  shouldSkipAbstention: false,
};

test('no order of steps executes two requests of a key when a witness crashes', async t => {
  t.timeout(150_000);
  const report = await searchAll(smallScenario, maximumStates);
  t.log(JSON.stringify(report));
  t.is(report.violation, undefined);
  t.true(report.isComplete);
});

test('the search detects a witness that votes right after a restart', async t => {
  t.timeout(150_000);
  const scenario = {...smallScenario, shouldSkipAbstention: true};
  const report = await searchAll(scenario, maximumStates);
  t.log(JSON.stringify(report));
  t.regex(report.violation ?? '', /^ran twice/);
});
