import test from 'ava';
import {Result} from 'true-myth';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

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
    authorize: () => openRoute,
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
    authorize: () => openRoute,
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
