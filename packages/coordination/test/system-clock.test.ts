import test from 'ava';
import {systemClock} from '../src/index.js';

// Against: a time without an end is over at once, and a search without a deadline is
// given up before it has begun.
test('a sleep without an end lasts until it is aborted', async t => {
  const ended = new AbortController();
  let isOver = false;
  const sleep = systemClock
    .sleep(Infinity, ended.signal)
    .then(() => (isOver = true));
  await systemClock.sleep(50);
  t.false(isOver);
  ended.abort();
  await sleep;
  t.true(isOver);
});
