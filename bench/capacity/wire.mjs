/** Bytes and processor time of an exchange over real loopback connections. */

import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {
  PeerReply,
  PeerRequest,
} from '../../packages/coordination/dist/src/generated/messages/persimmonwick/peer.js';
import {
  hostId,
  upstreamId,
} from '../../packages/coordination/dist/src/index.js';
import {
  GrpcPeerTransport,
  IncarnationRegistry,
  PeerServer,
} from '../../packages/daemon/dist/src/peers/index.js';
import {HttpEngine} from '../../packages/daemon/dist/src/upstreams/http-engine.js';
import {incarnationOf} from './documents.mjs';
import {processorMicroseconds} from './slope.mjs';

const warmUpCalls = 500;
const measuredCalls = 2000;
const timeoutMilliseconds = 5000;

const listenOn = server =>
  new Promise(resolve =>
    server.listen(0, '127.0.0.1', () => resolve(server.address().port)),
  );

/** Starts a proxy to `port` that counts the bytes of both directions. */
async function startCountingProxy(port) {
  const counts = {bytes: 0};
  const sockets = new Set();
  const server = createServer(client => {
    const target = connect(port, '127.0.0.1');
    for (const [from, to] of [
      [client, target],
      [target, client],
    ]) {
      sockets.add(from);
      from.setNoDelay(true);
      from.on('data', data => (counts.bytes += data.length));
      from.on('error', () => to.destroy());
      from.pipe(to);
    }
  });
  const proxyPort = await listenOn(server);
  const close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return {port: proxyPort, counts, close};
}

/** Mean bytes of one call through the proxy. */
async function measureBytes(call, counts) {
  for (let index = 0; index < warmUpCalls; index += 1) await call();
  const before = counts.bytes;
  for (let index = 0; index < measuredCalls; index += 1) await call();
  return (counts.bytes - before) / measuredCalls;
}

/** Mean processor time of one call. */
async function measureProcessorTime(call) {
  for (let index = 0; index < warmUpCalls; index += 1) await call();
  return processorMicroseconds(measuredCalls, call);
}

/** Bytes of an exchange beyond its messages, and processor time of one end. */
export async function measureGrpc() {
  const [north, south] = [0, 1].map(index => ({
    host: hostId(`entry-host-00${index}`),
    incarnation: incarnationOf(index),
  }));
  const ownershipReply = {
    ownerIncarnation: south.incarnation,
    disownedAttempts: [],
  };
  const server = new PeerServer({
    address: '127.0.0.1:0',
    security: {kind: 'plain'},
    self: south,
    handlers: {ownership: {handle: () => ownershipReply}},
    incarnations: new IncarnationRegistry(),
    isKnownHost: () => true,
    configurationVersion: () => 9000n,
  });
  await server.listen();
  const proxy = await startCountingProxy(Number(server.address.split(':')[1]));
  const body = {
    $case: 'ownership',
    value: {attempts: [`${south.incarnation}/1`], relayHost: ''},
  };
  const transportTo = address =>
    new GrpcPeerTransport({
      self: north,
      security: {kind: 'plain'},
      addressOf: () => address,
      incarnations: new IncarnationRegistry(),
      configurationVersion: () => 9000n,
    });
  const exchange = transport => async () => {
    const reply = await transport.exchange(
      south.host,
      body,
      timeoutMilliseconds,
    );
    if (reply.isErr) throw new RangeError(reply.error.kind);
  };
  const counted = transportTo(`127.0.0.1:${proxy.port}`);
  const direct = transportTo(server.address);
  const wireBytes = await measureBytes(exchange(counted), proxy.counts);
  const bothEndsMicroseconds = await measureProcessorTime(exchange(direct));
  await counted.close();
  await direct.close();
  await server.close();
  proxy.close();
  const envelope = identity => ({
    fromHost: identity.host,
    fromIncarnation: identity.incarnation,
    toIncarnation: '',
    configurationVersion: 9000n,
  });
  const encoded =
    PeerRequest.encode({...envelope(north), body}).finish().length +
    PeerReply.encode({
      ...envelope(south),
      body: {$case: 'ownership', value: ownershipReply},
    }).finish().length;
  return {
    overheadBytes: wireBytes - encoded,
    oneEndMicroseconds: bothEndsMicroseconds / 2,
  };
}

/** Bytes of each read request to an engine, and processor time of one end. */
export async function measureEngineReads(load, cachePage, running) {
  const pages = {
    '/load': load,
    '/cache-events': cachePage,
    '/running': {running},
  };
  const server = createHttpServer((request, response) => {
    const text = JSON.stringify(pages[request.url.split('?')[0]]);
    response.setHeader('content-type', 'application/json');
    response.end(text);
  });
  const port = await listenOn(server);
  const proxy = await startCountingProxy(port);
  const engineAt = at =>
    new HttpEngine(
      upstreamId('engine'),
      `127.0.0.1:${at}`,
      timeoutMilliseconds,
    );
  const [counted, direct] = [engineAt(proxy.port), engineAt(port)];
  const {signal} = new AbortController();
  const calls = {
    load: engine => engine.load(signal),
    cacheEvents: engine => engine.cacheEvents(123_456, signal),
    running: engine => engine.running(signal),
  };
  const result = {};
  for (const [name, call] of Object.entries(calls)) {
    const callChecked = engine => async () => {
      if ((await call(engine)).isErr) throw new RangeError(name);
    };
    result[name] = {
      bytes: await measureBytes(callChecked(counted), proxy.counts),
      oneEndMicroseconds: (await measureProcessorTime(callChecked(direct))) / 2,
    };
  }
  await counted.close();
  await direct.close();
  proxy.close();
  server.closeAllConnections();
  server.close();
  return result;
}
