import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {Client, credentials, status} from '@grpc/grpc-js';
import {
  LimitReply,
  PeerRefusal_Code,
  hostId,
  incarnation,
} from '@persimmonwick/coordination';
import type {PeerIdentity, PeerRequestBody} from '@persimmonwick/coordination';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {v7 as makeOrderedUuid} from 'uuid';
import {
  GrpcPeerTransport,
  IncarnationRegistry,
  PeerServer,
} from '../../src/peers/index.js';
import type {
  GrpcPeerTransportOptions,
  PeerSecurity,
  PeerServerOptions,
} from '../../src/peers/index.js';
import {exchangeMethod} from '../../src/peers/peer-method.js';
import {createAuthority} from '../tools/certificates.js';
import {createDeferred} from '../tools/deferred.js';

const plain: PeerSecurity = {kind: 'plain'};
const older = incarnation(makeOrderedUuid({msecs: 1000}));
const newer = incarnation(makeOrderedUuid({msecs: 2000}));
const north: PeerIdentity = {host: hostId('north-1'), incarnation: older};
const south: PeerIdentity = {host: hostId('south-1'), incarnation: older};
const timeoutMilliseconds = 10_000;
const limit = (account: string): PeerRequestBody => ({
  $case: 'limit',
  value: {
    action: {
      $case: 'grant',
      value: {
        account,
        tokens: 7,
        spareTokens: 0,
        lifetimeMilliseconds: 100,
        spareLifetimeMilliseconds: 100,
      },
    },
  },
});
const granted = (tokens: number): LimitReply => ({
  ...LimitReply.decode(new Uint8Array()),
  tokens,
});

async function runServer(
  t: ExecutionContext,
  options: Partial<PeerServerOptions> = {},
): Promise<PeerServer> {
  const server = new PeerServer({
    address: '127.0.0.1:0',
    security: plain,
    self: south,
    handlers: {limit: {handle: () => granted(7)}},
    incarnations: new IncarnationRegistry(),
    isKnownHost: host => host === north.host,
    configurationVersion: () => 5n,
    ...options,
  });
  await server.listen();
  t.teardown(() => server.close());
  return server;
}

function makeTransport(
  t: ExecutionContext,
  address: string,
  options: Partial<GrpcPeerTransportOptions> = {},
): GrpcPeerTransport {
  const transport = new GrpcPeerTransport({
    self: north,
    security: plain,
    addressOf: () => address,
    incarnations: new IncarnationRegistry(),
    configurationVersion: () => 4n,
    ...options,
  });
  t.teardown(() => transport.close());
  return transport;
}

const ask = (transport: GrpcPeerTransport, body = limit('batinah')) =>
  transport.exchange(south.host, body, timeoutMilliseconds);

test('plain exchange', async t => {
  const seen: unknown[] = [];
  const server = await runServer(t, {
    handlers: {
      limit: {
        handle: (request, from) => {
          seen.push(request, from);
          return granted(7);
        },
      },
    },
  });
  const replies: unknown[] = [];
  const transport = makeTransport(t, server.address, {
    onReply: (from, version) => replies.push(from, version),
  });
  const answer = await ask(transport);
  t.deepEqual(answer.unwrapOr(undefined as never), {
    $case: 'limit',
    value: granted(7),
  });
  t.deepEqual(seen, [limit('batinah').value, north]);
  t.deepEqual(replies, [south, 5n]);
});

test('mutual TLS exchange', async t => {
  const authority = await createAuthority();
  const server = await runServer(t, {
    security: await authority.issue(south.host),
  });
  const security = await authority.issue(north.host);
  const transport = makeTransport(t, server.address, {security});
  t.true((await ask(transport)).isOk);
  const seed = await transport.exchangeWithSeed(
    server.address,
    limit('a'),
    timeoutMilliseconds,
  );
  t.is(seed.map(({from}) => from.host).unwrapOr(north.host), south.host);
});

test('certificate of a foreign authority', async t => {
  const authority = await createAuthority();
  const foreign = await createAuthority();
  let calls = 0;
  const server = await runServer(t, {
    security: await authority.issue(south.host),
    handlers: {limit: {handle: () => granted((calls += 1))}},
  });
  const own = await authority.issue(north.host);
  const other = await foreign.issue(north.host);
  if (own.kind === 'plain' || other.kind === 'plain') return t.fail();
  const security = {...other, authority: own.authority};
  t.true((await ask(makeTransport(t, server.address, {security}))).isErr);
  t.true((await ask(makeTransport(t, server.address))).isErr);
  t.is(calls, 0);
});

test('certificate of another host', async t => {
  const authority = await createAuthority();
  const server = await runServer(t, {
    security: await authority.issue(south.host),
  });
  const security = await authority.issue('west-1');
  const answer = await ask(makeTransport(t, server.address, {security}));
  t.deepEqual(answer.isErr && answer.error, {
    kind: 'refused',
    host: south.host,
    code: PeerRefusal_Code.CODE_UNKNOWN_SENDER,
  });
});

test('server with the certificate of another host', async t => {
  const authority = await createAuthority();
  const server = await runServer(t, {
    security: await authority.issue('west-1'),
  });
  const security = await authority.issue(north.host);
  const answer = await ask(makeTransport(t, server.address, {security}));
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('unknown sender', async t => {
  const server = await runServer(t, {isKnownHost: () => false});
  const answer = await ask(makeTransport(t, server.address));
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_UNKNOWN_SENDER,
  });
});

test('replaced sender', async t => {
  const server = await runServer(t);
  const current = makeTransport(t, server.address, {
    self: {...north, incarnation: newer},
  });
  t.true((await ask(current)).isOk);
  const answer = await ask(makeTransport(t, server.address));
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_REPLACED_SENDER,
  });
});

test('wrong target incarnation', async t => {
  const server = await runServer(t);
  const transport = makeTransport(t, server.address, {
    targetIncarnationOf: () => newer,
  });
  const answer = await ask(transport);
  t.like(answer.isErr && answer.error, {
    code: PeerRefusal_Code.CODE_WRONG_INCARNATION,
  });
});

test('reply of a replaced peer', async t => {
  const server = await runServer(t);
  const incarnations = new IncarnationRegistry();
  incarnations.admit({...south, incarnation: newer});
  const answer = await ask(makeTransport(t, server.address, {incarnations}));
  t.is(answer.isErr && answer.error.kind, 'malformed');
});

test('area without handler', async t => {
  const server = await runServer(t);
  const transport = makeTransport(t, server.address);
  const answer = await ask(transport, {
    $case: 'ownership',
    value: {attempts: [], relayHost: ''},
  });
  t.like(answer.isErr && answer.error, {
    code: PeerRefusal_Code.CODE_NOT_READY,
  });
});

test('handler that never answers', async t => {
  let calls = 0;
  const server = await runServer(t, {
    handlers: {
      limit: {
        handle: () => {
          calls += 1;
          return calls === 1 ? granted(7) : new Promise<never>(() => {});
        },
      },
    },
  });
  const transport = makeTransport(t, server.address);
  // On an open channel a short timeout can't be spent on connecting.
  t.true((await ask(transport)).isOk);
  const answer = await transport.exchange(south.host, limit('a'), 100);
  t.is(answer.isErr && answer.error.kind, 'timeout');
});

test('handler that fails', async t => {
  const server = await runServer(t, {
    handlers: {limit: {handle: () => Promise.reject(new TypeError('x'))}},
  });
  const answer = await ask(makeTransport(t, server.address));
  t.is(answer.isErr && answer.error.kind, 'malformed');
});

test('nobody listens', async t => {
  const server = await runServer(t);
  const {address} = server;
  await server.close();
  const answer = await ask(makeTransport(t, address));
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('host without address', async t => {
  const transport = makeTransport(t, '', {addressOf: () => undefined});
  const answer = await ask(transport);
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('connection lost after the request went out', async t => {
  const entered = createDeferred();
  const server = await runServer(t, {
    handlers: {
      limit: {
        handle: () => {
          entered.resolve();
          return new Promise<never>(() => {});
        },
      },
    },
  });
  const asked = ask(makeTransport(t, server.address));
  await entered.promise;
  await server.close();
  const answer = await asked;
  t.is(answer.isErr && answer.error.kind, 'timeout');
});

test('peer that accepts and stays silent', async t => {
  const sockets: Socket[] = [];
  const silent = createServer(socket => sockets.push(socket));
  await new Promise<void>(done => silent.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    silent.close();
  });
  const {port} = silent.address() as AddressInfo;
  const transport = makeTransport(t, `127.0.0.1:${port}`);
  const answer = await transport.exchange(south.host, limit('a'), 200);
  t.true(answer.isErr);
});

test('too many calls for one peer', async t => {
  const server = await runServer(t);
  const transport = makeTransport(t, server.address, {maximumOutstanding: 1});
  const [first, second] = await Promise.all([ask(transport), ask(transport)]);
  t.true(first!.isOk);
  t.like(second!.isErr && second!.error, {
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
});

test('too many calls at the server', async t => {
  const entered = createDeferred();
  const release = createDeferred();
  const server = await runServer(t, {
    maximumConcurrentPerHost: 1,
    handlers: {
      limit: {
        handle: async () => {
          entered.resolve();
          await release.promise;
          return granted(1);
        },
      },
    },
  });
  const transport = makeTransport(t, server.address);
  const first = ask(transport);
  await entered.promise;
  const second = await ask(transport);
  release.resolve();
  t.true((await first).isOk);
  t.like(second.isErr && second.error, {
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
});

test('oversize request', async t => {
  const server = await runServer(t);
  const answer = await ask(
    makeTransport(t, server.address),
    limit('a'.repeat(5 * 1024 * 1024)),
  );
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_UNSPECIFIED,
  });
});

test('oversize or malformed bytes at the server', async t => {
  let calls = 0;
  const server = await runServer(t, {
    handlers: {limit: {handle: () => granted((calls += 1))}},
  });
  const client = new Client(server.address, credentials.createInsecure());
  t.teardown(() => client.close());
  const send = (bytes: Buffer) =>
    new Promise<number | undefined>(resolve =>
      client.makeUnaryRequest(
        exchangeMethod.path,
        (message: Buffer) => message,
        reply => reply,
        bytes,
        error => resolve(error?.code),
      ),
    );
  t.is(await send(Buffer.alloc(5_000_000)), status.RESOURCE_EXHAUSTED);
  t.is(await send(Buffer.from([255, 255])), status.INTERNAL);
  t.is(calls, 0);
});

test('reconnect opens a new channel', async t => {
  const server = await runServer(t);
  const transport = makeTransport(t, server.address);
  t.true((await ask(transport)).isOk);
  transport.reconnect(south.host);
  t.true((await ask(transport)).isOk);
});

test('address taken', async t => {
  const server = await runServer(t);
  await t.throwsAsync(runServer(t, {address: server.address}));
});
