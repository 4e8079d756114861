import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Result} from 'true-myth';
import {openRawConnection} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';
import {standStill} from '../tools/stand-still.js';

/** Longer than a host waits for one more request, or for the rest of an upload. */
const pauseMilliseconds = 600;

const request = 'GET /a HTTP/1.1\r\nhost: x\r\n\r\n';

const respondSlowly = {
  authorize: () => openRoute,
  forward: async () =>
    Result.ok({
      status: 200,
      headers: [],
      body: (async function* () {
        yield Buffer.from('first');
        await sleep(50);
        yield Buffer.from('last');
      })(),
    }),
};

// Against: the time for one more request passes while the process stands still, and the
// connection ends before the request is read that came in this time.
test.serial(
  'a host that stops reads a request that came while it paused',
  async t => {
    const {server, address} = await startServer(t, respondSlowly);
    const {socket, response} = openRawConnection(t, address);
    socket.write(request);
    await sleep(30);
    server.startDraining();
    await sleep(70);
    // Expired timers run next.
    await setImmediate();
    socket.write(request);
    standStill(pauseMilliseconds);
    t.is((await response).match(/ 200 OK/g)?.length, 2);
  },
);

// Against: the connection of a refused upload is closed after a pause of the process
// although its caller goes on, and the reset discards the response.
test.serial(
  'an upload that goes on while the process pauses is read to its end',
  async t => {
    const {address} = await startServer(t, {authorize: () => openRoute});
    const {socket, response} = openRawConnection(t, address);
    let error: Error | undefined;
    socket.on('error', cause => (error = cause));
    socket.pause();
    const part = 'x'.repeat(20_000);
    socket.write(
      `POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n${part}`,
    );
    await sleep(100);
    await setImmediate();
    socket.write(part);
    standStill(pauseMilliseconds);
    await sleep(50);
    socket.write(part);
    await sleep(50);
    socket.resume();
    t.regex(await response, /^HTTP\/1\.1 413 /);
    t.is(error, undefined);
  },
);

// Against: a request that comes before the idle timeout, while the process stands still,
// is not read, and its connection is reset.
test.serial(
  'an idle connection on which a request came while the process paused stays open',
  async t => {
    const {server, address} = await startServer(t, respondSlowly);
    const {socket, response} = openRawConnection(t, address);
    socket.write(request);
    // Node adds a second to the idle timeout.
    await sleep(1700);
    await setImmediate();
    socket.write(request);
    standStill(pauseMilliseconds);
    await sleep(20);
    server.startDraining();
    t.is((await response).match(/ 200 OK/g)?.length, 2);
  },
);

test.serial('an idle connection is closed after its timeout', async t => {
  const {address} = await startServer(t, respondSlowly);
  const {socket, response} = openRawConnection(t, address);
  socket.write(request);
  const startedAt = performance.now();
  t.is((await response).match(/ 200 OK/g)?.length, 1);
  t.true(performance.now() - startedAt < 3000);
});
