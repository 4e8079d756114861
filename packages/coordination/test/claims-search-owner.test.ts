import test from 'ava';
import {searchAll} from './tools/claim-search.js';

test('no order of a case with a dying owner runs a key twice', async t => {
  t.timeout(150_000);
  const setting = {
    tries: ['h0', 'h1'],
    crashing: 'h0',
    pausing: 'h1',
    forgetful: false,
  };
  const report = await searchAll(setting, 60_000);
  t.log(JSON.stringify(report));
  t.is(report.fault, undefined);
  t.true(report.isComplete);
});
