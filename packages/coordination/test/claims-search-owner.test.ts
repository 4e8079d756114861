import test from 'ava';
import {searchAll} from './tools/claim-search.js';

test('no order of steps executes two requests of a key when the owner crashes', async t => {
  t.timeout(150_000);
  const scenario = {
    callHosts: ['h0', 'h1'],
    crashingHost: 'h0',
    pausingHost: 'h1',
    shouldSkipAbstention: false,
  };
  const report = await searchAll(scenario, 60_000);
  t.log(JSON.stringify(report));
  t.is(report.violation, undefined);
  t.true(report.isComplete);
});
