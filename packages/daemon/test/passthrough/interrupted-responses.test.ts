import test from 'ava';
import {once} from 'node:events';
import {
  InterruptedResponseError,
  upstreamId,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {sendRaw} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

// Against: the head of a response that has no body yet is held back, and the connection
// ends without an answer when its upstream fails.
for (const [reason, status] of [
  ['broken', 502],
  ['silent', 504],
] as const)
  test(`a response that fails before its first bytes is answered: ${reason}`, async t => {
    const {address} = await startServer(t, {
      authorize: () => openRoute,
      forward: async () =>
        Result.ok({
          status: 200,
          headers: [['content-type', 'text/event-stream']],
          // eslint-disable-next-line require-yield
          body: (async function* () {
            throw new InterruptedResponseError(upstreamId('u-1'), reason);
          })(),
        }),
    });
    const text = await sendRaw(
      t,
      address,
      'GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
    );
    t.regex(text, new RegExp(`^HTTP/1\\.1 ${status} `));
    t.true(text.includes('"ran":"ran"'), text);
    t.false(text.includes('event-stream'));
  });

// Against: a call that may have run is answered as if it never will.
test('a response that a stop ends before its first bytes is answered: 504', async t => {
  const {server, address} = await startServer(t, {
    authorize: () => openRoute,
    forward: async (_call, _routing, _body, signal) => {
      setImmediate(() => void server.giveUpCalls(0));
      return Result.ok({
        status: 200,
        headers: [],
        // eslint-disable-next-line require-yield
        body: (async function* () {
          await once(signal, 'abort');
          throw new InterruptedResponseError(upstreamId('u-1'), 'cancelled');
        })(),
      });
    },
  });
  const text = await sendRaw(
    t,
    address,
    'GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
  );
  t.regex(text, /^HTTP\/1\.1 504 /);
  t.false(text.includes('not-run'), text);
});
