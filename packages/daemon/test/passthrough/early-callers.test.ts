import test from 'ava';
import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import {EarlyListener} from '../../src/passthrough/early-listener.js';
import {openRawConnection} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

// Against: a caller that ends its direction before the host serves gets no answer.
test('a caller that half-closes before the start is answered', async t => {
  const listener = await EarlyListener.open('127.0.0.1:0');
  const {socket, response} = openRawConnection(t, listener.address);
  socket.end('GET /a HTTP/1.1\r\nhost: x\r\n\r\n');
  await sleep(100);
  await startServer(
    t,
    {
      authorize: () => openRoute,
      forward: async () => {
        await sleep(50);
        return Result.ok({
          status: 200,
          headers: [],
          body: (async function* () {
            yield Buffer.from('whole');
          })(),
        });
      },
    },
    listener,
  );
  t.regex(await response, /^HTTP\/1\.1 200 .*whole/s);
});
