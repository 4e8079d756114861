import {setMaxListeners} from 'node:events';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {Socket} from 'node:net';
import {
  createTransport,
  sampleCall,
  sampleStream,
  serveRaw,
  sleep,
  upstreamAt,
} from './transport-tools.js';

/** Most bytes that the buffers of both ends take without being read. */
const maximumTakenBytes = 16 << 20;

/** Bytes after which a server stops sending and keeps the connection. */
const sentBytesLimit = 128 << 20;

const neverAborted = new AbortController().signal;
// The tests of this file run at once, and each request adds one listener.
setMaxListeners(0, neverAborted);
const okHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const unframedHead = 'HTTP/1.1 200 OK\r\n\r\n';
const refusedHead = 'HTTP/1.1 503 Busy\r\n\r\n';
const fast = {partBytes: 64 * 1024, pauseMilliseconds: 0};
const slow = {partBytes: 1, pauseMilliseconds: 20};

interface EndlessServer {
  readonly port: number;
  sentBytes: number;
  openConnections: number;
}

/** Sends `head` and then `part` again and again, until the peer closes. */
async function serveEndless(
  t: ExecutionContext,
  head: string,
  part: string,
  {pauseMilliseconds}: typeof fast,
): Promise<EndlessServer> {
  const state = {port: 0, sentBytes: 0, openConnections: 0};
  const send = async (socket: Socket) => {
    socket.write(head);
    while (!socket.destroyed && state.sentBytes < sentBytesLimit) {
      if (socket.writableLength < sentBytesLimit / 64) {
        socket.write(part);
        state.sentBytes += part.length;
      } else await sleep(1);
      if (pauseMilliseconds > 0) await sleep(pauseMilliseconds);
      else await new Promise(resolve => setImmediate(resolve));
    }
  };
  state.port = await serveRaw(t, socket => {
    state.openConnections += 1;
    socket.once('close', () => (state.openConnections -= 1));
    void send(socket);
  });
  return state;
}

/** Checks that the connections of a request that has ended are closed. */
async function checkEnded(t: ExecutionContext, server: EndlessServer) {
  for (let wait = 0; wait < 50 && server.openConnections > 0; wait += 1)
    await sleep(20);
  t.is(server.openConnections, 0);
  t.true(server.sentBytes < maximumTakenBytes, `${server.sentBytes} bytes`);
}

const options = {
  remainingMilliseconds: 20_000,
  needsNewConnection: true,
  headersTimeoutMilliseconds: 800,
};

type Transport = ReturnType<typeof createTransport>['transport'];

const engineRequests: Record<
  string,
  (transport: Transport, port: number) => Promise<{readonly isErr: boolean}>
> = {
  prefill: (transport, port) =>
    transport.prefill(upstreamAt(port), sampleCall, options, neverAborted),
  reservation: (transport, port) =>
    transport.reserve(upstreamAt(port), 1, 1000, neverAborted),
  'release of a reservation': (transport, port) =>
    transport.releaseReservation(upstreamAt(port), 'id'),
  'release of a cache': (transport, port) =>
    transport.releaseCache({upstream: upstreamAt(port), handle: 'handle'}),
};

for (const [pace, sending] of Object.entries({fast, slow}))
  for (const [request, send] of Object.entries(engineRequests))
    test(`a ${pace} endless body of a ${request} is given up`, async t => {
      const part = 'x'.repeat(sending.partBytes);
      const server = await serveEndless(t, unframedHead, part, sending);
      const {transport} = createTransport(t);
      const outcome = await Promise.race([
        send(transport, server.port).then(({isErr}) =>
          isErr ? 'failed' : 'succeeded',
        ),
        sleep(2500).then(() => 'pending'),
      ]);
      t.is(outcome, 'failed');
      await checkEnded(t, server);
    });

for (const [pace, sending] of Object.entries({fast, slow}))
  test(`the ${pace} endless body of a refusal holds no connection`, async t => {
    const part = 'x'.repeat(sending.partBytes);
    const server = await serveEndless(t, refusedHead, part, sending);
    const {transport} = createTransport(t);
    const sent = await transport.send(
      upstreamAt(server.port),
      sampleCall,
      options,
      neverAborted,
    );
    t.is(sent.isErr && sent.error.kind, 'refused');
    await checkEnded(t, server);
  });

test('the endless body of a refused release holds no connection', async t => {
  const server = await serveEndless(t, refusedHead, 'x', slow);
  const {transport} = createTransport(t);
  await transport.releaseReservation(upstreamAt(server.port), 'id');
  await checkEnded(t, server);
});

const endlessHeads: Record<string, readonly [head: string, part: string]> = {
  'header lines': ['HTTP/1.1 200 OK\r\n', 'a: b\r\n'],
  'a header value': ['HTTP/1.1 200 OK\r\na: ', 'b'],
  'a header name': ['HTTP/1.1 200 OK\r\na', 'a'],
  'a status text': ['HTTP/1.1 200 ', 'x'],
  'informational responses': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  'early hints': ['', 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n'],
  'blank lines': ['', '\r\n'],
  'no HTTP at all': ['', '%'],
};

for (const [name, [head, part]] of Object.entries(endlessHeads)) {
  test(`a fast endless head of ${name} is given up at once`, async t => {
    const repeated = part.repeat(fast.partBytes / part.length);
    const server = await serveEndless(t, head, repeated, fast);
    const {transport} = createTransport(t);
    const startedAt = performance.now();
    const sent = await transport.send(
      upstreamAt(server.port),
      sampleCall,
      {...options, headersTimeoutMilliseconds: 5000},
      neverAborted,
    );
    t.is(sent.isErr && sent.error.kind, 'broken');
    t.true(performance.now() - startedAt < 3000);
    await checkEnded(t, server);
  });

  test(`a slow endless head of ${name} is given up in time`, async t => {
    const server = await serveEndless(t, head, part, slow);
    const {transport} = createTransport(t);
    const startedAt = performance.now();
    const sent = await transport.send(
      upstreamAt(server.port),
      sampleCall,
      options,
      neverAborted,
    );
    t.true(sent.isErr && ['broken', 'silent'].includes(sent.error.kind));
    t.true(performance.now() - startedAt < 1500);
    await checkEnded(t, server);
  });
}

test('blank lines after a complete response do not reach the next request', async t => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx';
  const part = '\r\n'.repeat(fast.partBytes / 2);
  const server = await serveEndless(t, head, part, fast);
  const {transport} = createTransport(t);
  const reserved = await transport.reserve(
    upstreamAt(server.port),
    1,
    1000,
    neverAborted,
  );
  t.true(reserved.isOk);
  await checkEnded(t, server);
});

for (const [name, part] of Object.entries({
  'chunk extensions': 'x',
  trailers: 'a: b\r\n',
}))
  test(`endless ${name} end a response`, async t => {
    const head = name === 'trailers' ? `${okHead}0\r\n` : `${okHead}1;`;
    const repeated = part.repeat(fast.partBytes / part.length);
    const server = await serveEndless(t, head, repeated, fast);
    const {transport} = createTransport(t);
    const sent = await transport.send(
      upstreamAt(server.port),
      sampleStream,
      {...options, remainingMilliseconds: 5000},
      neverAborted,
    );
    const outcome = await Promise.race([
      (async () => {
        for await (const _ of sent.unwrapOr(undefined)?.body ?? []);
      })().then(
        () => 'complete',
        () => 'failed',
      ),
      sleep(2500).then(() => 'pending'),
    ]);
    t.is(outcome, 'failed');
    await checkEnded(t, server);
  });
