import test from 'ava';
import type {ExecutionContext} from 'ava';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {InterruptedResponseError} from '@persimmonwick/coordination';
import type {PassthroughResponse} from '@persimmonwick/coordination';
import type {HttpPassthroughTransport} from '../../src/passthrough/http-transport.js';
import {
  createTransport,
  sampleCall,
  serveRaw,
  sleep,
  upstreamAt,
} from './transport-tools.js';

const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

/** More than a response body buffers before it pauses the upstream. */
const partBytes = 100 * 1024;
const partCount = 3;

async function sendTo(
  transport: HttpPassthroughTransport,
  port: number,
  needsNewConnection: boolean,
): Promise<PassthroughResponse> {
  const response = await transport.send(
    upstreamAt(port),
    sampleCall,
    {
      remainingMilliseconds: 5000,
      needsNewConnection,
      headersTimeoutMilliseconds: 5000,
    },
    new AbortController().signal,
  );
  return response.unwrapOrElse(({kind}) => {
    throw new TypeError(kind);
  });
}

/**
 * Sends a call to an upstream that sends `parts` parts without a length and
 * then calls `endResponse`. Returns before the body is read.
 */
async function sendCall(
  t: ExecutionContext,
  parts: number,
  endResponse: (socket: Socket) => void,
): Promise<PassthroughResponse> {
  const port = await serveRaw(t, socket => {
    socket.write(head);
    void (async () => {
      for (let part = 0; part < parts; part += 1) {
        socket.write(Buffer.alloc(partBytes, 'x'));
        await sleep(20);
      }
      endResponse(socket);
    })();
  });
  return sendTo(createTransport(t).transport, port, true);
}

/** Reads a body slowly; returns the bytes and the error that ended it. */
async function readSlowly({body}: PassthroughResponse) {
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

for (const parts of [1, partCount]) {
  test(`a response of ${parts} parts without a length that ends while it is paused is complete`, async t => {
    const response = await sendCall(t, parts, socket => socket.end());
    await sleep(200);
    const {bytes, error} = await readSlowly(response);
    t.is(error, undefined);
    t.is(bytes, parts * partBytes);
  });

  test(`a response of ${parts} parts without a length that is reset while it is paused is incomplete`, async t => {
    const response = await sendCall(t, parts, socket =>
      socket.resetAndDestroy(),
    );
    await sleep(200);
    const {error} = await readSlowly(response);
    t.true(error instanceof InterruptedResponseError, String(error));
    t.is((error as InterruptedResponseError).reason, 'broken');
  });
}

test('a response without a length that ends while its reader waits is complete', async t => {
  const response = await sendCall(t, partCount, socket => socket.end());
  const {bytes, error} = await readSlowly(response);
  t.is(error, undefined);
  t.is(bytes, partCount * partBytes);
});

test('a connection is used again after its response paused it at the end', async t => {
  const body = 'x'.repeat(partBytes);
  const server = createServer((_request, response) => {
    response.setHeader('Content-Length', body.length);
    response.end(body);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {transport, connections} = createTransport(t);
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  for (let call = 0; call < 4; call += 1) {
    const response = await sendTo(transport, port, false);
    await sleep(30);
    const {bytes, error} = await readSlowly(response);
    t.is(error, undefined);
    t.is(bytes, partBytes);
  }
  t.is(connections.openedCount, 1);
});
