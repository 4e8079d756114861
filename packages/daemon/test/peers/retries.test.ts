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
const createBody = ($case: 'fleet' | 'claim') =>
  ({$case, value: {}}) as unknown as PeerRequestBody;

function createFailingTransport(error: PeerError, budget = new RetryBudget()) {
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

async function exchange(
  failing: ReturnType<typeof createFailingTransport>,
  $case: 'fleet' | 'claim',
  timeoutMilliseconds = 1000,
) {
  const answer = failing.transport.exchange(
    host,
    createBody($case),
    timeoutMilliseconds,
  );
  await failing.clock.advance(2000);
  return answer;
}

test('idempotent request is sent three times within its timeout', async t => {
  const failing = createFailingTransport({kind: 'unreachable', host});
  t.true((await exchange(failing, 'fleet')).isErr);
  t.is(failing.timeouts.length, 3);
  t.true(failing.timeouts[0]! > failing.timeouts[1]!);
  t.true(failing.timeouts[1]! > failing.timeouts[2]!);
});

test('claim is sent once', async t => {
  const failing = createFailingTransport({kind: 'unreachable', host});
  await exchange(failing, 'claim');
  t.is(failing.timeouts.length, 1);
});

test('refusal is final unless the peer was overloaded', async t => {
  const final = createFailingTransport({
    kind: 'refused',
    host,
    code: PeerRefusal_Code.CODE_REPLACED_SENDER,
  });
  const transient = createFailingTransport({
    kind: 'refused',
    host,
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
  await exchange(final, 'fleet');
  await exchange(transient, 'fleet');
  t.deepEqual([final.timeouts.length, transient.timeouts.length], [1, 3]);
});

test('no retry after the timeout', async t => {
  const failing = createFailingTransport({kind: 'timeout', host});
  await exchange(failing, 'fleet', 5);
  t.is(failing.timeouts.length, 1);
});

test('the budget limits retries', async t => {
  const failing = createFailingTransport(
    {kind: 'unreachable', host},
    new RetryBudget(0.1, 2),
  );
  for (let index = 0; index < 50; index += 1) await exchange(failing, 'fleet');
  // Requests, burst, and a tenth of the requests.
  t.true(
    failing.timeouts.length <= 50 + 2 + 5,
    String(failing.timeouts.length),
  );
});
