import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Result} from 'true-myth';
import {openRawConnection} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

const bodyBytes = 300_000;
/** Longer than the server waits for the rest of a head. */
const bodyMilliseconds = 2300;

// Against: the timeout of a head that was cut off by the announced end writes an error
// response behind it, and the failed write discards the response under way.
test('a head that crosses the announced end leaves the response before it whole', async t => {
  const {server, address} = await startServer(t, {
    authorize: () => openRoute,
    forward: async () =>
      Result.ok({
        status: 200,
        headers: [],
        body: (async function* () {
          yield Buffer.from('first');
          await sleep(bodyMilliseconds);
          yield Buffer.alloc(bodyBytes, 'b');
        })(),
      }),
  });
  server.startDraining();
  const {socket, response} = openRawConnection(t, address);
  const request = 'GET /a HTTP/1.1\r\nhost: x\r\n\r\n';
  socket.write(request + request.slice(0, 12));
  await sleep(60);
  socket.write(request.slice(12));
  const text = await response;
  t.true(text.endsWith('\r\n0\r\n\r\n'), `${text.length} characters`);
  t.is(text.match(/HTTP\/1\.1/g)?.length, 1);
});
