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
import {v7 as createTimeOrderedUuid} from 'uuid';
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
const olderIncarnation = incarnation(createTimeOrderedUuid({msecs: 1000}));
const newerIncarnation = incarnation(createTimeOrderedUuid({msecs: 2000}));
const north: PeerIdentity = {
  host: hostId('north-1'),
  incarnation: olderIncarnation,
};
const south: PeerIdentity = {
  host: hostId('south-1'),
  incarnation: olderIncarnation,
};
const timeoutMilliseconds = 10_000;
const grantRequest = (account: string): PeerRequestBody => ({
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
const grantReply = (tokens: number): LimitReply => ({
  ...LimitReply.decode(new Uint8Array()),
  tokens,
});

async function startServer(
  t: ExecutionContext,
  options: Partial<PeerServerOptions> = {},
): Promise<PeerServer> {
  const server = new PeerServer({
    address: '127.0.0.1:0',
    security: plain,
    self: south,
    handlers: {limit: {handle: () => grantReply(7)}},
    incarnations: new IncarnationRegistry(),
    isKnownHost: host => host === north.host,
    configurationVersion: () => 5n,
    ...options,
  });
  await server.listen();
  t.teardown(() => server.close());
  return server;
}

function createTransport(
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

const exchangeWithSouth = (
  transport: GrpcPeerTransport,
  body = grantRequest('batinah'),
) => transport.exchange(south.host, body, timeoutMilliseconds);

test('a request is handled and answered without TLS', async t => {
  const seen: unknown[] = [];
  const server = await startServer(t, {
    handlers: {
      limit: {
        handle: (request, from) => {
          seen.push(request, from);
          return grantReply(7);
        },
      },
    },
  });
  const replies: unknown[] = [];
  const transport = createTransport(t, server.address, {
    onReply: (from, version) => replies.push(from, version),
  });
  const answer = await exchangeWithSouth(transport);
  t.deepEqual(answer.unwrapOr(undefined as never), {
    $case: 'limit',
    value: grantReply(7),
  });
  t.deepEqual(seen, [grantRequest('batinah').value, north]);
  t.deepEqual(replies, [south, 5n]);
});

test('hosts of one authority exchange requests with mutual TLS', async t => {
  const authority = await createAuthority();
  const server = await startServer(t, {
    security: await authority.issue(south.host),
  });
  const security = await authority.issue(north.host);
  const transport = createTransport(t, server.address, {security});
  t.true((await exchangeWithSouth(transport)).isOk);
  const seed = await transport.exchangeWithSeed(
    server.address,
    grantRequest('a'),
    timeoutMilliseconds,
  );
  t.is(seed.map(({from}) => from.host).unwrapOr(north.host), south.host);
});

test('clients without a certificate of the authority are rejected', async t => {
  const authority = await createAuthority();
  const otherAuthority = await createAuthority();
  let handledCount = 0;
  const server = await startServer(t, {
    security: await authority.issue(south.host),
    handlers: {limit: {handle: () => grantReply((handledCount += 1))}},
  });
  const own = await authority.issue(north.host);
  const other = await otherAuthority.issue(north.host);
  if (own.kind === 'plain' || other.kind === 'plain') return t.fail();
  const security = {...other, authority: own.authority};
  t.true(
    (await exchangeWithSouth(createTransport(t, server.address, {security})))
      .isErr,
  );
  t.true((await exchangeWithSouth(createTransport(t, server.address))).isErr);
  t.is(handledCount, 0);
});

test('a sender with the certificate of another host is refused', async t => {
  const authority = await createAuthority();
  const server = await startServer(t, {
    security: await authority.issue(south.host),
  });
  const security = await authority.issue('west-1');
  const answer = await exchangeWithSouth(
    createTransport(t, server.address, {security}),
  );
  t.deepEqual(answer.isErr && answer.error, {
    kind: 'refused',
    host: south.host,
    code: PeerRefusal_Code.CODE_UNKNOWN_SENDER,
  });
});

test('a server with the certificate of another host is unreachable', async t => {
  const authority = await createAuthority();
  const server = await startServer(t, {
    security: await authority.issue('west-1'),
  });
  const security = await authority.issue(north.host);
  const answer = await exchangeWithSouth(
    createTransport(t, server.address, {security}),
  );
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('a request from an unknown sender is refused', async t => {
  const server = await startServer(t, {isKnownHost: () => false});
  const answer = await exchangeWithSouth(createTransport(t, server.address));
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_UNKNOWN_SENDER,
  });
});

test('a request from a replaced sender is refused', async t => {
  const server = await startServer(t);
  const current = createTransport(t, server.address, {
    self: {...north, incarnation: newerIncarnation},
  });
  t.true((await exchangeWithSouth(current)).isOk);
  const answer = await exchangeWithSouth(createTransport(t, server.address));
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_REPLACED_SENDER,
  });
});

test('a request for another incarnation is refused', async t => {
  const server = await startServer(t);
  const transport = createTransport(t, server.address, {
    targetIncarnationOf: () => newerIncarnation,
  });
  const answer = await exchangeWithSouth(transport);
  t.like(answer.isErr && answer.error, {
    code: PeerRefusal_Code.CODE_WRONG_INCARNATION,
  });
});

test('a reply from a replaced peer is reported as malformed', async t => {
  const server = await startServer(t);
  const incarnations = new IncarnationRegistry();
  incarnations.recordIfCurrent({...south, incarnation: newerIncarnation});
  const answer = await exchangeWithSouth(
    createTransport(t, server.address, {incarnations}),
  );
  t.is(answer.isErr && answer.error.kind, 'malformed');
});

test('a request kind without handler is refused', async t => {
  const server = await startServer(t);
  const transport = createTransport(t, server.address);
  const answer = await exchangeWithSouth(transport, {
    $case: 'ownership',
    value: {attempts: [], relayHost: ''},
  });
  t.like(answer.isErr && answer.error, {
    code: PeerRefusal_Code.CODE_NOT_READY,
  });
});

test('a handler that never answers times out', async t => {
  let handledCount = 0;
  const server = await startServer(t, {
    handlers: {
      limit: {
        handle: () => {
          handledCount += 1;
          return handledCount === 1
            ? grantReply(7)
            : new Promise<never>(() => {});
        },
      },
    },
  });
  const transport = createTransport(t, server.address);
  // With an open channel, connecting uses none of the short timeout.
  t.true((await exchangeWithSouth(transport)).isOk);
  const answer = await transport.exchange(south.host, grantRequest('a'), 100);
  t.is(answer.isErr && answer.error.kind, 'timeout');
});

test('a failed handler is reported as malformed', async t => {
  const server = await startServer(t, {
    handlers: {limit: {handle: () => Promise.reject(new TypeError('x'))}},
  });
  const answer = await exchangeWithSouth(createTransport(t, server.address));
  t.is(answer.isErr && answer.error.kind, 'malformed');
});

test('an address without listener is unreachable', async t => {
  const server = await startServer(t);
  const {address} = server;
  await server.close();
  const answer = await exchangeWithSouth(createTransport(t, address));
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('a host without address is unreachable', async t => {
  const transport = createTransport(t, '', {addressOf: () => undefined});
  const answer = await exchangeWithSouth(transport);
  t.is(answer.isErr && answer.error.kind, 'unreachable');
});

test('a connection lost after sending gives a timeout', async t => {
  const entered = createDeferred();
  const server = await startServer(t, {
    handlers: {
      limit: {
        handle: () => {
          entered.resolve();
          return new Promise<never>(() => {});
        },
      },
    },
  });
  const pending = exchangeWithSouth(createTransport(t, server.address));
  await entered.promise;
  await server.close();
  const answer = await pending;
  t.is(answer.isErr && answer.error.kind, 'timeout');
});

test('a peer that accepts connections but never answers gives an error', async t => {
  const sockets: Socket[] = [];
  const silentServer = createServer(socket => sockets.push(socket));
  await new Promise<void>(done => silentServer.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    silentServer.close();
  });
  const {port} = silentServer.address() as AddressInfo;
  const transport = createTransport(t, `127.0.0.1:${port}`);
  const answer = await transport.exchange(south.host, grantRequest('a'), 200);
  t.true(answer.isErr);
});

test('too many pending requests to one peer are refused', async t => {
  const server = await startServer(t);
  const transport = createTransport(t, server.address, {
    maximumPendingRequests: 1,
  });
  const [first, second] = await Promise.all([
    exchangeWithSouth(transport),
    exchangeWithSouth(transport),
  ]);
  t.true(first!.isOk);
  t.like(second!.isErr && second!.error, {
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
});

test('too many concurrent requests at the server are refused', async t => {
  const entered = createDeferred();
  const release = createDeferred();
  const server = await startServer(t, {
    maximumConcurrentRequestsPerHost: 1,
    handlers: {
      limit: {
        handle: async () => {
          entered.resolve();
          await release.promise;
          return grantReply(1);
        },
      },
    },
  });
  const transport = createTransport(t, server.address);
  const first = exchangeWithSouth(transport);
  await entered.promise;
  const second = await exchangeWithSouth(transport);
  release.resolve();
  t.true((await first).isOk);
  t.like(second.isErr && second.error, {
    code: PeerRefusal_Code.CODE_OVERLOADED,
  });
});

test('a request above the size limit is refused', async t => {
  const server = await startServer(t);
  const answer = await exchangeWithSouth(
    createTransport(t, server.address),
    grantRequest('a'.repeat(5 * 1024 * 1024)),
  );
  t.like(answer.isErr && answer.error, {
    kind: 'refused',
    code: PeerRefusal_Code.CODE_UNSPECIFIED,
  });
});

test('oversize and malformed messages do not reach a handler', async t => {
  let handledCount = 0;
  const server = await startServer(t, {
    handlers: {limit: {handle: () => grantReply((handledCount += 1))}},
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
  t.is(handledCount, 0);
});

test('a request after a disconnect opens a new channel', async t => {
  const server = await startServer(t);
  const transport = createTransport(t, server.address);
  t.true((await exchangeWithSouth(transport)).isOk);
  transport.disconnect(south.host);
  t.true((await exchangeWithSouth(transport)).isOk);
});

test('an address in use is rejected', async t => {
  const server = await startServer(t);
  await t.throwsAsync(startServer(t, {address: server.address}));
});
