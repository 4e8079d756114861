import test from 'ava';
import {
  ShutdownSchedule,
  VirtualClock,
  areOthersServing,
} from '../src/index.js';

const endsAt = 8000;
const slowestMilliseconds = 1000;
const admitsUntil = 2500;
const routeOf = (name: string) => ({name, target: {stream: name === 'stream'}});
/** A call that was read before the stop. */
const callUntil = (deadline: number) => ({
  route: routeOf('r'),
  deadline,
  receivedAt: 0,
});

function stoppingSchedule(): {
  readonly clock: VirtualClock;
  readonly schedule: ShutdownSchedule;
} {
  const clock = new VirtualClock();
  const schedule = new ShutdownSchedule(clock);
  schedule.recordDuration('r', slowestMilliseconds);
  schedule.begin({signalledAt: 0, admitsUntil, endsAt});
  return {clock, schedule};
}

test('a host that does not stop sends any call', t => {
  const schedule = new ShutdownSchedule(new VirtualClock());
  t.true(schedule.canFinish(callUntil(1_000_000)));
});

test('a call is sent while the time left is twice that of the slowest one', async t => {
  const {clock, schedule} = stoppingSchedule();
  await clock.advance(5800);
  t.true(schedule.canFinish(callUntil(20_000)));
  await clock.advance(300);
  t.false(schedule.canFinish(callUntil(20_000)));
});

test('a call whose deadline ends before the host is sent', async t => {
  const {clock, schedule} = stoppingSchedule();
  await clock.advance(7500);
  t.true(schedule.canFinish(callUntil(endsAt)));
});

test('a call on a route without a finished call may take until its deadline', t => {
  const {schedule} = stoppingSchedule();
  const call = {...callUntil(8000), route: routeOf('new')};
  t.false(schedule.canFinish({...call, deadline: 8001}));
  t.true(schedule.canFinish(call));
});

test('a slow call is forgotten', async t => {
  const clock = new VirtualClock();
  const schedule = new ShutdownSchedule(clock);
  schedule.recordDuration('r', 60_000);
  await clock.advance(600_000);
  schedule.recordDuration('r', slowestMilliseconds);
  const now = clock.now();
  schedule.begin({
    signalledAt: now,
    admitsUntil: now + admitsUntil,
    endsAt: now + endsAt,
  });
  t.true(schedule.canFinish(callUntil(Infinity)));
});

test('a watch that began before the stop reports once that it is too late', async t => {
  const {clock, schedule} = stoppingSchedule();
  let reports = 0;
  const other = new ShutdownSchedule(clock);
  other.recordDuration('r', slowestMilliseconds);
  other.watch(callUntil(20_000), () => (reports += 1));
  const endWatch = schedule.watch(callUntil(20_000), () => (reports += 100));
  other.begin({signalledAt: 0, admitsUntil, endsAt});
  endWatch();
  await clock.advance(5800);
  t.is(reports, 0);
  await clock.advance(3000);
  t.is(reports, 1);
});

/** `plain` has a target, `bare` has none; both lead to the same pools. */
function stoppingScheduleOfGroup(): {
  readonly clock: VirtualClock;
  readonly schedule: ShutdownSchedule;
} {
  const clock = new VirtualClock();
  const schedule = new ShutdownSchedule(clock, route => ({
    group: route === 'other' ? 'b' : 'a',
    targetMilliseconds: route === 'plain' ? 300 : undefined,
  }));
  schedule.begin({signalledAt: 0, admitsUntil, endsAt});
  return {clock, schedule};
}

const callOn = (name: string, receivedAt = 0) => ({
  route: routeOf(name),
  deadline: 20_000,
  receivedAt,
});

// Against: a host that has just started, or a route that is called rarely, serves
// nothing from the signal on.
test('a call on a route without a finished call is sent while twice its target is left', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  await clock.advance(7200);
  t.true(schedule.canFinish(callOn('plain')));
  await clock.advance(200);
  t.false(schedule.canFinish(callOn('plain')));
});

test('a route without a finished call is judged by others to the same pools', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  t.false(schedule.canFinish(callOn('bare')));
  schedule.recordDuration('sibling', slowestMilliseconds);
  await clock.advance(5800);
  t.true(schedule.canFinish(callOn('bare')));
  t.true(schedule.canFinish(callOn('plain')));
  t.false(schedule.canFinish(callOn('other')));
  await clock.advance(300);
  t.false(schedule.canFinish(callOn('bare')));
  t.false(schedule.canFinish(callOn('plain')));
});

test('calls under way count where none has finished', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  const ended = new AbortController();
  schedule.recordStart('plain', ended.signal);
  schedule.recordStart('plain', AbortSignal.abort());
  await clock.advance(2600);
  schedule.recordStart('plain', new AbortController().signal);
  t.true(schedule.canFinish(callOn('plain')));
  await clock.advance(200);
  t.false(schedule.canFinish(callOn('plain')));
  ended.abort();
  t.true(schedule.canFinish(callOn('plain')));
});

test('the target counts where quicker calls to the same pools have finished', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  schedule.recordDuration('sibling', 5);
  await clock.advance(7400);
  t.false(schedule.canFinish(callOn('plain')));
  t.true(schedule.canFinish(callOn('bare')));
});

// Against: a host that has ended one short stream begins others during a stop, and cuts
// them at the end of it.
test('a stream that comes during a stop is begun if its deadline is in time', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  schedule.recordDuration('stream', 5);
  t.true(schedule.canFinish(callOn('stream', 0)));
  await clock.advance(1);
  t.false(schedule.canFinish(callOn('stream', clock.now())));
  t.true(
    schedule.canFinish({...callOn('stream', clock.now()), deadline: endsAt}),
  );
});

test('a call that callers could send elsewhere is begun if its deadline is in time', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  await clock.advance(admitsUntil);
  t.true(schedule.canFinish(callOn('plain', clock.now())));
  await clock.advance(1);
  t.true(schedule.canFinish(callOn('plain', admitsUntil)));
  t.false(schedule.canFinish(callOn('plain', clock.now())));
  t.true(
    schedule.canFinish({...callOn('plain', clock.now()), deadline: endsAt}),
  );
});

// Against: a stream that comes between the signal and the beginning of the stop counts as
// one that came before.
test('a stream that comes after the signal is refused though the stop begins later', async t => {
  const clock = new VirtualClock();
  const schedule = new ShutdownSchedule(clock);
  schedule.recordDuration('stream', 5);
  await clock.advance(1000);
  schedule.begin({signalledAt: 0, admitsUntil, endsAt});
  t.true(schedule.canFinish(callOn('stream', 0)));
  t.false(schedule.canFinish(callOn('stream', 500)));
});

test('a watch reports when a call that is still read would be refused', async t => {
  const {clock, schedule} = stoppingScheduleOfGroup();
  schedule.recordDuration('stream', 5);
  const reports: string[] = [];
  for (const name of ['stream', 'plain'])
    schedule.watch({...callOn(name), receivedAt: undefined}, () =>
      reports.push(name),
    );
  await clock.advance(1);
  t.deepEqual(reports, ['stream']);
  await clock.advance(admitsUntil);
  t.deepEqual(reports, ['stream', 'plain']);
});

test('others serve if nearly all that are live take calls', t => {
  const serving = {isLive: true, handoverAddress: '10.0.0.1:7600'};
  const stopping = {isLive: true, handoverAddress: ''};
  const gone = {isLive: false, handoverAddress: ''};
  t.false(areOthersServing([]));
  t.true(areOthersServing([serving, gone]));
  t.true(areOthersServing([serving, serving, serving, serving, stopping]));
  t.false(areOthersServing([serving, serving, stopping]));
});
