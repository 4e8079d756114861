import {
  PeerRefusal_Code,
  VirtualClock,
  hostId,
  seededRandom,
} from '@persimmonwick/coordination';
import type {
  PeerError,
  PeerRequestBody,
  PeerTransport,
} from '@persimmonwick/coordination';
import test from 'ava';
import {Result} from 'true-myth';
import {RetryBudget, withRetries} from '../../src/peers/index.js';

const host = hostId('north-1');
const body = ($case: 'fleet' | 'claim') =>
  ({$case, value: {}}) as unknown as PeerRequestBody;

function makeFailing(error: PeerError, budget = new RetryBudget()) {
  const timeouts: number[] = [];
  const failing: PeerTransport = {
    async exchange(_host, _body, timeoutMilliseconds) {
      timeouts.push(timeoutMilliseconds);
      return Result.err(error);
    },
  };
  const clock = new VirtualClock();
  const transport = withRetries(failing, {
    clock,
    random: seededRandom(1),
    budget,
  });
  return {transport, clock, timeouts};
}

async function ask(
  run: ReturnType<typeof makeFailing>,
  $case: 'fleet' | 'claim',
  timeoutMilliseconds = 1000,
) {
  const answer = run.transport.exchange(host, body($case), timeoutMilliseconds);
  await run.clock.advance(2000);
  return answer;
}

test('idempotent request is tried three times within its time', async t => {
  const run = makeFailing({kind: 'unreachable', host});
  t.true((await ask(run, 'fleet')).isErr);
  t.is(run.timeouts.length, 3);
  t.true(run.timeouts[0]! > run.timeouts[1]!);
  t.true(run.timeouts[1]! > run.timeouts[2]!);
});

test('claim is sent once', async t => {
  const run = makeFailing({kind: 'unreachable', host});
  await ask(run, 'claim');
  t.is(run.timeouts.length, 1);
});

test('refusal is final unless the peer was overloaded', async t => {
  const final = makeFailing({
    kind: 'refused',
    host,
    code: PeerRefusal_Code.CODE_REPLACED_SENDER,
  });
  const passing = makeFailing({
    kind: 'refused',
    host,
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
  await ask(final, 'fleet');
  await ask(passing, 'fleet');
  t.deepEqual([final.timeouts.length, passing.timeouts.length], [1, 3]);
});

test('no retry after the time is over', async t => {
  const run = makeFailing({kind: 'timeout', host});
  await ask(run, 'fleet', 5);
  t.is(run.timeouts.length, 1);
});

test('budget bounds retries', async t => {
  const run = makeFailing({kind: 'unreachable', host}, new RetryBudget(0.1, 2));
  for (let index = 0; index < 50; index += 1) await ask(run, 'fleet');
  t.true(run.timeouts.length <= 50 + 2 + 5, String(run.timeouts.length));
});
