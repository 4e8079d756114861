import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {Socket} from 'node:net';
import {
  createTransport,
  sampleCall,
  serveRaw,
  sleep,
  upstreamAt,
} from './transport-tools.js';

/** Most bytes that the buffers of both ends take without being read. */
const maximumTakenBytes = 16 << 20;

/** Bytes after which a server stops sending and keeps the connection. */
const sentBytesLimit = 128 << 20;

const neverAborted = new AbortController().signal;
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
