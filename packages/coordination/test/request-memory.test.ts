import test from 'ava';
import {
  canGrant,
  chooseStalled,
  nextGrantOf,
  smallGrantBytes,
} from '../src/decisions/request-memory.js';
import {RequestMemory, VirtualClock} from '../src/index.js';
import type {BodyEnd, HeldBody, RequestMemoryEvent} from '../src/index.js';

const budgetBytes = 1_000_000;
const largestBytes = 600_000;

interface Site {
  readonly clock: VirtualClock;
  readonly memory: RequestMemory;
  readonly events: RequestMemoryEvent[];
  readonly ends: string[];
  readonly open: (id: string, bytes?: number, hasLength?: boolean) => HeldBody;
}

function createSite(silenceMilliseconds = 10_000, deadline = Infinity): Site {
  const clock = new VirtualClock();
  const events: RequestMemoryEvent[] = [];
  const ends: string[] = [];
  const memory = new RequestMemory({
    clock,
    budgetBytes,
    onEvent: event => events.push(event),
  });
  const open = (requestId: string, bytes = largestBytes, hasLength = true) =>
    memory.hold(
      {
        ...{requestId, hasLength, largestBytes: bytes, deadline},
        silenceMilliseconds,
        onGrant: () => undefined,
        onEnd: (end: BodyEnd) => ends.push(`${requestId}: ${end}`),
      },
      new AbortController().signal,
    );
  return {clock, memory, events, ends, open};
}

test('a body with a length gets memory to its end, another one gets it in steps', t => {
  const known = {grantedBytes: 0, largestBytes, hasLength: true};
  t.is(nextGrantOf(known), smallGrantBytes);
  t.is(nextGrantOf({...known, grantedBytes: smallGrantBytes}), largestBytes);
  const open = {...known, hasLength: false, grantedBytes: smallGrantBytes};
  t.is(nextGrantOf(open), 4 * smallGrantBytes);
  t.is(nextGrantOf({...known, largestBytes: 100}), 100);
});

test('large bodies leave a part of the budget to small ones', t => {
  const total = {budgetBytes, smallBytes: 0, largeBytes: 700_000};
  t.false(canGrant(total, smallGrantBytes, 100_000));
  t.true(canGrant(total, 0, smallGrantBytes));
  t.true(canGrant({...total, largeBytes: 0}, 0, 2 * budgetBytes));
});

test('the body without progress for longest is given up', t => {
  const bodies = [
    {idleChecks: 9, progressAt: 20},
    {idleChecks: 9, progressAt: 10},
    {idleChecks: 0, progressAt: 0},
  ];
  t.is(chooseStalled(bodies), bodies[1]);
  t.is(chooseStalled([bodies[2]!]), undefined);
});

test('a body waits for memory until another one has ended', t => {
  const {memory, open} = createSite();
  const first = open('first');
  first.receive(smallGrantBytes);
  const second = open('second');
  second.receive(smallGrantBytes);
  t.is(first.allowedBytes, largestBytes - smallGrantBytes);
  t.true(second.isWaiting);
  t.is(second.allowedBytes, 0);
  first.close();
  t.false(second.isWaiting);
  second.receive(largestBytes - smallGrantBytes);
  second.complete();
  t.is(memory.heldBytes, largestBytes);
  second.close();
  t.is(memory.heldBytes, 0);
});

test('a stalled body makes way for one that waits', async t => {
  const {clock, ends, open} = createSite();
  open('stalled').receive(smallGrantBytes);
  const waiting = open('waiting');
  waiting.receive(smallGrantBytes);
  await clock.advance(600);
  t.deepEqual(ends, ['stalled: stalled']);
  t.false(waiting.isWaiting);
});

test('a body is refused while those before it make progress', async t => {
  const {clock, ends, events, open} = createSite();
  const moving = open('moving');
  moving.receive(smallGrantBytes);
  open('waiting').receive(smallGrantBytes);
  for (let count = 0; count < 9; count += 1) {
    moving.receive(smallGrantBytes);
    await clock.advance(100);
  }
  t.deepEqual(ends, []);
  moving.receive(smallGrantBytes);
  await clock.advance(100);
  t.deepEqual(ends, ['waiting: no-memory']);
  t.deepEqual(
    events.map(({kind}) => kind),
    ['shortage', 'ended'],
  );
});

test('a body without a byte ends, whatever it has sent before', async t => {
  const {clock, ends, memory, open} = createSite(1000);
  const body = open('silent');
  body.receive(1000);
  await clock.advance(900);
  body.receive(1);
  await clock.advance(900);
  t.deepEqual(ends, []);
  await clock.advance(200);
  t.deepEqual(ends, ['silent: silent']);
  t.is(memory.heldBytes, 0);
});

test('a body ends at the deadline of its call', async t => {
  const {clock, ends, open} = createSite(10_000, 500);
  const body = open('late');
  for (let count = 0; count < 5; count += 1) {
    body.receive(1);
    await clock.advance(100);
  }
  t.deepEqual(ends, ['late: late']);
});

test('bodies that wait for each other do not wait for ever', async t => {
  const {clock, ends, memory, open} = createSite();
  for (let count = 0; count < 10; count += 1) {
    const body = open(`body-${count}`, largestBytes, false);
    while (body.allowedBytes > 0) body.receive(body.allowedBytes);
  }
  await clock.advance(1000);
  t.true(ends.length > 0);
  t.true(memory.heldBytes <= budgetBytes);
  await clock.advance(1000);
  t.true(ends.length < 10);
});
