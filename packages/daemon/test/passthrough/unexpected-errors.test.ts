import test from 'ava';
import type {ExecutionContext} from 'ava';
import {Result} from 'true-myth';
import {ShutdownSchedule, systemClock} from '@persimmonwick/coordination';
import type {IncomingCall, PassthroughHost} from '@persimmonwick/coordination';
import {EarlyListener} from '../../src/passthrough/early-listener.js';
import {PassthroughServer} from '../../src/passthrough/passthrough-server.js';

async function startServer(
  t: ExecutionContext,
  host: Partial<PassthroughHost>,
): Promise<{address: string; errors: string[]}> {
  const errors: string[] = [];
  const server = new PassthroughServer({
    clock: systemClock,
    host: {deadlineOf: () => Infinity, ...host} as PassthroughHost,
    shutdown: new ShutdownSchedule(systemClock),
    wireFormat: {
      parseCall: () => Result.ok({id: 'call-1'} as IncomingCall),
      failureHeaders: () => [],
      handoverHeaders: () => [],
    },
    limits: () => ({
      headerBytes: 16_384,
      bodyBytes: 1024,
      headersTimeoutMilliseconds: 1000,
      keepAliveTimeoutMilliseconds: 1000,
    }),
    isPeer: () => false,
    onTakenOver: () => undefined,
    onEnd: () => undefined,
    onConnectionLoss: () => undefined,
    onInternalError: (requestId, error) =>
      errors.push(`${requestId}: ${String(error)}`),
  });
  t.teardown(() => server.close());
  const listener = await EarlyListener.open('127.0.0.1:0');
  return {address: await server.serve(listener), errors};
}

const routing = Result.ok({route: {name: 'r'}, account: undefined});

test('an unexpected error before the answer fails one call and is reported', async t => {
  const {address, errors} = await startServer(t, {
    authorize: () => {
      throw new TypeError('unforeseen');
    },
  });
  for (let call = 0; call < 2; call += 1) {
    const response = await fetch(`http://${address}/a`);
    t.is(response.status, 500);
  }
  t.deepEqual(errors, Array(2).fill('call-1: TypeError: unforeseen'));
});

test('an unexpected error during the answer cuts one call and is reported', async t => {
  const {address, errors} = await startServer(t, {
    authorize: () => routing as never,
    forward: async () =>
      Result.ok({
        status: 200,
        headers: [],
        body: (async function* () {
          yield Buffer.from('first');
          throw new TypeError('unforeseen');
        })(),
      }),
  });
  await t.throwsAsync(
    fetch(`http://${address}/a`).then(response => response.text()),
  );
  t.deepEqual(errors, ['call-1: TypeError: unforeseen']);
});

// Against: a failure carries headers of a response that could not be passed on.
test('a response with a header that can not be written leaves no header in the failure', async t => {
  const {address, errors} = await startServer(t, {
    authorize: () => routing as never,
    forward: async () =>
      Result.ok({
        status: 200,
        headers: [
          ['X-Signature', 'of the upstream'],
          ['X-Odd', '\u0001'],
        ],
        body: (async function* () {
          yield Buffer.from('first');
        })(),
      }),
  });
  const response = await fetch(`http://${address}/a`);
  t.is(response.status, 500);
  t.is(response.headers.get('x-signature'), null);
  t.is(errors.length, 1);
});
