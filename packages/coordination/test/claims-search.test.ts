import test from 'ava';
import {searchAll} from './tools/claim-search.js';

const maximumStates = 60_000;
const smallCase = {
  tries: ['h0', 'h1'],
  crashing: 'h2',
  pausing: 'h0',
  forgetful: false,
};

test('no order of a small case runs a key twice', async t => {
  t.timeout(150_000);
  const report = await searchAll(smallCase, maximumStates);
  t.log(JSON.stringify(report));
  t.is(report.fault, undefined);
  t.true(report.isComplete);
});

test('the search finds a witness that forgets and votes', async t => {
  t.timeout(150_000);
  const setting = {...smallCase, forgetful: true};
  const report = await searchAll(setting, maximumStates);
  t.log(JSON.stringify(report));
  t.regex(report.fault ?? '', /^ran twice/);
});
