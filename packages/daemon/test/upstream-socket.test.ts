import test from 'ava';
import type {ExecutionContext} from 'ava';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {ReadTurns} from '../src/connections/read-turns.js';
import {UpstreamSocket} from '../src/connections/upstream-socket.js';

/** Connects to a server that serves each connection with `serve`. */
async function open(
  t: ExecutionContext,
  turns: ReadTurns,
  serve: (socket: Socket) => void,
): Promise<UpstreamSocket> {
  const server = createServer(serve).listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = new UpstreamSocket(turns).open('127.0.0.1', port, 1000);
  t.teardown(() => socket.destroy());
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

/** Reads as the HTTP client does; `onRead` gets the bytes of each turn. */
function readAll(socket: UpstreamSocket, onBytes: (bytes: Buffer) => void) {
  socket.on('readable', () => {
    for (;;) {
      const bytes = socket.read() as Buffer | null;
      if (bytes === null) return;
      onBytes(bytes);
      socket.recordData(bytes.length);
    }
  });
}

function sendEndlessly(socket: Socket): void {
  const bytes = Buffer.alloc(64 * 1024);
  const send = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('error', () => undefined).on('drain', send);
  send();
}

test('a long response arrives whole before its end', async t => {
  const sent = Buffer.alloc(500_000, 'bytes');
  const socket = await open(t, new ReadTurns(), peer => peer.end(sent));
  const read: Buffer[] = [];
  readAll(socket, bytes => read.push(bytes));
  await once(socket, 'end');
  t.deepEqual(Buffer.concat(read), sent);
});

test('a short response is read beside many that are costly', async t => {
  const turns = new ReadTurns();
  for (let count = 0; count < 20; count += 1) {
    const costly = await open(t, turns, sendEndlessly);
    readAll(costly, () => {
      const endsAt = performance.now() + 1;
      while (performance.now() < endsAt);
    });
  }
  const durations: number[] = [];
  for (let count = 0; count < 10; count += 1) {
    const startedAt = performance.now();
    const socket = await open(t, turns, peer => peer.end('short'));
    const ended = once(socket, 'end');
    readAll(socket, () => undefined);
    await ended;
    durations.push(performance.now() - startedAt);
  }
  const longest = Math.max(...durations);
  t.true(longest < 100, `${longest} ms`);
});

test('a connection that is destroyed is not read any more', async t => {
  const socket = await open(t, new ReadTurns(), sendEndlessly);
  let count = 0;
  readAll(socket, () => (count += 1));
  await new Promise(resolve => setTimeout(resolve, 50));
  t.true(count > 0);
  socket.destroy();
  count = 0;
  await new Promise(resolve => setTimeout(resolve, 50));
  t.is(count, 0);
});
