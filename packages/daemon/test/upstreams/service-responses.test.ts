import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {Socket} from 'node:net';
import {requestId} from '@persimmonwick/coordination';
import type {ServiceResponse, Upstream} from '@persimmonwick/coordination';
import {HttpServiceSender} from '../../src/upstreams/http-service-sender.js';
import {serveRaw, sleep} from '../passthrough/transport-tools.js';

const head = 'HTTP/1.1 200 OK\r\n\r\n';
const timeoutMilliseconds = 1000;

/** More than a response body buffers before it pauses the upstream. */
const partBytes = 100 * 1024;

const call = {
  request: requestId('r-1'),
  method: 'GET',
  path: '/',
  headers: {},
  body: undefined,
};

async function send(t: ExecutionContext, onRequest: (socket: Socket) => void) {
  const port = await serveRaw(t, onRequest);
  const sender = new HttpServiceSender(timeoutMilliseconds);
  t.teardown(() => sender.close());
  const upstream = {name: 'u-1', spec: {address: `127.0.0.1:${port}`}};
  return sender.send(upstream as Upstream, call, new AbortController().signal);
}

function valueOf(response: Awaited<ReturnType<typeof send>>): ServiceResponse {
  return response.unwrapOrElse(({kind}) => {
    throw new TypeError(kind);
  });
}

/** Reads a body slowly; returns the bytes and the error that ended it. */
async function readSlowly({body}: ServiceResponse) {
  let bytes = 0;
  try {
    for await (const chunk of body) {
      bytes += chunk.length;
      await sleep(5);
    }
  } catch (error) {
    return {bytes, error};
  }
  return {bytes, error: undefined};
}

for (const parts of [1, 3]) {
  const sendParts = (t: ExecutionContext, end: (socket: Socket) => void) =>
    send(t, socket => {
      socket.write(head);
      void (async () => {
        for (let part = 0; part < parts; part += 1) {
          socket.write(Buffer.alloc(partBytes, 'x'));
          await sleep(20);
        }
        end(socket);
      })();
    });

  test(`${parts} parts without a length that end while they are paused are complete`, async t => {
    const response = await sendParts(t, socket => socket.end());
    await sleep(200);
    const {bytes, error} = await readSlowly(valueOf(response));
    t.is(error, undefined);
    t.is(bytes, parts * partBytes);
  });

  test(`${parts} parts without a length that are reset while they are paused are incomplete`, async t => {
    const response = await sendParts(t, socket => socket.resetAndDestroy());
    await sleep(200);
    const {error} = await readSlowly(valueOf(response));
    t.truthy(error);
  });
}

test('a response that is reset while its reader waits is incomplete', async t => {
  const response = await send(t, socket => {
    socket.write(`${head}part`);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const {error} = await readSlowly(valueOf(response));
  t.truthy(error);
});

test('a reset that follows the last bytes at once leaves a response incomplete', async t => {
  const response = await send(t, socket => {
    socket.write(`${head}part`);
    setTimeout(() => {
      socket.write('part');
      socket.resetAndDestroy();
    }, 50);
  });
  const {error} = await readSlowly(valueOf(response));
  t.truthy(error);
});

test('a response shorter than its length is incomplete', async t => {
  const response = await send(t, socket =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart'),
  );
  const {error} = await readSlowly(valueOf(response));
  t.truthy(error);
});

const endlessHeads = {
  'informational responses': 'HTTP/1.1 102 Processing\r\n\r\n',
  'early hints': 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n',
  'blank lines': '\r\n',
};

for (const [name, part] of Object.entries(endlessHeads))
  for (const [pace, repeats, pause] of [
    ['fast', 1000, 1],
    ['slow', 1, 20],
  ] as const)
    test(`a ${pace} endless head of ${name} is given up`, async t => {
      let isClosed = false;
      const outcome = await Promise.race([
        send(t, socket => {
          const timer = setInterval(
            () => socket.write(part.repeat(repeats)),
            pause,
          );
          socket.once('close', () => {
            clearInterval(timer);
            isClosed = true;
          });
        }).then(({isErr}) => isErr),
        sleep(4000),
      ]);
      t.is(outcome, true);
      await sleep(100);
      t.true(isClosed);
    });
