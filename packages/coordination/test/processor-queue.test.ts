import test from 'ava';
import {ProcessorQueue, seededRandom} from '../src/index.js';
import type {DecidedCall, ReadCall} from '../src/index.js';

interface NamedCall extends ReadCall {
  readonly name: string;
}

const deadlineMilliseconds = 1000;

const callAt = (
  arrivedAt: number,
  values: Partial<NamedCall> = {},
): NamedCall => ({
  name: '',
  arrivedAt,
  deadline: arrivedAt + deadlineMilliseconds,
  targetMilliseconds: 300,
  urgency: 1,
  hasBegun: false,
  hasCallerEnded: () => false,
  ...values,
});

const createQueue = () => {
  const random = seededRandom(1);
  return new ProcessorQueue<NamedCall>(() => random.next());
};

const describe = (decided: readonly DecidedCall<NamedCall>[]) =>
  decided.map(({call, decision}) => `${decision.kind} ${call.name}`);

test('calls that are read in time begin at once, a few in each turn', t => {
  const queue = createQueue();
  const kinds = Array.from(
    {length: 6},
    () => queue.enter(callAt(0), 1).kind,
  ).join(' ');
  t.is(kinds, 'begin begin begin begin wait wait');
  t.deepEqual(describe(queue.endTurn(2)), []);
  t.is(queue.endTurn(3).length, 2);
  t.is(queue.enter(callAt(4), 4).kind, 'begin');
});

test('a call that lay unread begins behind the reads of the next turn', t => {
  const queue = createQueue();
  t.is(queue.enter(callAt(0, {name: 'late'}), 20).kind, 'wait');
  t.deepEqual(describe(queue.endTurn(21)), []);
  t.deepEqual(describe(queue.endTurn(22)), ['begin late']);
});

// Against: calls of callers that left while they lay unread are sent.
test('a call whose caller has ended its direction is refused if it is old', t => {
  const hasCallerEnded = () => true;
  const queue = createQueue();
  queue.enter(callAt(0, {name: 'young', hasCallerEnded}), 300);
  queue.enter(callAt(-100, {name: 'old', hasCallerEnded: () => true}), 299);
  queue.endTurn(300);
  t.deepEqual(describe(queue.endTurn(301)), ['refuse old', 'begin young']);
});

test('a call is not begun behind half of its time', t => {
  const queue = createQueue();
  t.is(queue.enter(callAt(0), 499).kind, 'wait');
  queue.endTurn(499);
  t.deepEqual(describe(queue.endTurn(500)), ['refuse ']);
  t.is(queue.enter(callAt(0), 500).kind, 'refuse');
});

test('urgent calls begin first, and late ones last', t => {
  const queue = createQueue();
  for (const [name, arrivedAt, urgency] of [
    ['late', 0, 0],
    ['usual', 150, 1],
    ['urgent', 160, 0],
    ['older', 140, 1],
    ['other', 155, 2],
  ] as const)
    queue.enter(callAt(arrivedAt, {name, urgency}), 200);
  queue.endTurn(200);
  t.deepEqual(describe(queue.endTurn(201)), [
    'begin urgent',
    'begin older',
    'begin usual',
    'begin other',
  ]);
  t.deepEqual(describe(queue.endTurn(202)), ['begin late']);
});

/** Milliseconds of the processor that a call and a refusal take. */
const callMilliseconds = 20;
const refusalMilliseconds = 5;

/** Plays `rate` calls a second for 20 s, and returns what became of them. */
function play(rate: number) {
  const queue = createQueue();
  const begun: number[] = [];
  const refused: number[] = [];
  const retries: number[] = [];
  let arrived = 0;
  let now = 0;
  const settle = ({call, decision}: DecidedCall<NamedCall>, at: number) => {
    now += decision.kind === 'begin' ? callMilliseconds : refusalMilliseconds;
    const waited = at - call.arrivedAt;
    if (decision.kind === 'begin') begun.push(waited);
    else {
      refused.push(waited);
      retries.push(decision.retryAfterMilliseconds);
    }
  };
  while (now < 20_000) {
    now += 1;
    for (; arrived < (now / 1000) * rate; arrived += 1) {
      const call = callAt((arrived / rate) * 1000);
      const decision = queue.enter(call, now);
      if (decision.kind !== 'wait') settle({call, decision}, now);
    }
    const at = now;
    for (const decided of queue.endTurn(now)) settle(decided, at);
  }
  return {begun, refused, retries};
}

const median = (values: readonly number[]) =>
  [...values].sort((left, right) => left - right)[
    Math.floor(values.length / 2)
  ]!;

test('no call is refused while the processor suffices', t => {
  const {begun, refused} = play(40);
  t.is(refused.length, 0);
  t.true(Math.max(...begun) < 150);
});

// Against: all calls wait for as long as they may, and are late or refused late.
for (const rate of [60, 100, 150])
  test(`overload of ${rate} calls a second is refused in time`, t => {
    const {begun, refused, retries} = play(rate);
    t.true(
      begun.every(waited => waited < deadlineMilliseconds / 2),
      `${Math.max(...begun)} ms`,
    );
    t.true(median(refused) < deadlineMilliseconds / 4, `${median(refused)} ms`);
    t.true(retries.every(milliseconds => milliseconds >= 50));
    // The processor is used for calls as far as refusals leave it.
    const seconds = 20 - (refused.length * refusalMilliseconds) / 1000;
    const possible = (seconds * 1000) / callMilliseconds;
    t.true(begun.length > possible * 0.8, `${begun.length} of ${possible}`);
  });
