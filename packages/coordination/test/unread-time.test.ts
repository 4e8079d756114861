import test from 'ava';
import {ProcessorTime, UnreadTime} from '../src/index.js';
import type {ProcessorTimeChange} from '../src/index.js';

/** How long input that is read at `now` lay unread at most. */
const unreadAt = (unread: UnreadTime, now: number, idle: number) =>
  now - unread.earliestArrival({now, idle});

test('input that ends a wait is new', t => {
  const unread = new UnreadTime({now: 0, idle: 0});
  t.is(unreadAt(unread, 30, 30), 0);
  // The turn began with other input, which took 3 ms.
  t.is(unreadAt(unread, 33, 30), 3);
});

test('input that is read behind a long turn may be as old as that turn', t => {
  const unread = new UnreadTime({now: 0, idle: 0});
  unread.recordPoll({now: 100, idle: 100});
  t.is(unreadAt(unread, 500, 100), 400);
  unread.recordPoll({now: 480, idle: 100});
  t.is(unreadAt(unread, 510, 100), 30);
});

// Against: a process that stood still while it waited takes what it finds for new.
test('input that is read behind a pause may be as old as the pause', t => {
  const unread = new UnreadTime({now: 0, idle: 0});
  unread.expectTimer(50);
  t.is(unreadAt(unread, 60, 60), 0);
  t.is(unreadAt(unread, 1570, 1570), 1500);
  unread.expectTimer(1620);
  t.is(unreadAt(unread, 1600, 1600), 0);
});

test('a shortage begins with a late call and ends a second after the last', t => {
  const changes: ProcessorTimeChange[] = [];
  const time = new ProcessorTime(change => changes.push(change));
  t.false(time.recordBegin(99, 0));
  t.false(time.isShort);
  t.true(time.recordBegin(100, 10));
  t.true(time.isShort);
  time.recordBegin(700, 500);
  time.check(1499);
  t.true(time.isShort);
  time.check(1500);
  t.false(time.isShort);
  t.deepEqual(changes, [
    {kind: 'short', waitMilliseconds: 100},
    {
      kind: 'enough',
      milliseconds: 1490,
      lateCalls: 2,
      refusedCalls: 0,
      waitMilliseconds: 700,
    },
  ]);
});
