/** Helpers for tests of the transport against raw TCP servers. */

import type {ExecutionContext} from 'ava';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {systemClock} from '@persimmonwick/coordination';
import type {
  RoutedCall,
  SendGate,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import {HttpPassthroughTransport} from '../../src/passthrough/http-transport.js';
import {UpstreamConnections} from '../../src/connections/upstream-connections.js';
import type {UpstreamWireFormat} from '../../src/passthrough/wire-format.js';

const engineRequest = () => ({
  method: 'POST' as const,
  path: '/engine',
  headers: [],
});

const wireFormat: UpstreamWireFormat = {
  callHeaders: () => [],
  prefillHeaders: () => [],
  classifyResponse: (_call, status) => (status === 503 ? 'refused' : 'ran'),
  classifyEngineResponse: status => (status < 300 ? 'ran' : 'refused'),
  parseNotice: () => ({
    isLeaving: false,
    pauseMilliseconds: undefined,
    requestLimit: {kind: 'none'},
    coldLeftMilliseconds: undefined,
  }),
  parseCacheHandle: body => body,
  cacheReleaseRequest: engineRequest,
  reservationRequest: engineRequest,
  parseReservation: id => ({id, startedAt: undefined}),
  reservationReleaseRequest: engineRequest,
};

export const sampleCall = {
  method: 'POST',
  target: '/',
  body: new Uint8Array(),
} as Partial<RoutedCall> as RoutedCall;

/** A call whose body is not limited by its deadline. */
export const sampleStream = {
  ...sampleCall,
  generation: {
    model: 'm-1',
    promptTokens: 1,
    maximumOutputTokens: 1,
    expectedOutputTokens: undefined,
    promptParts: [],
  },
};

export const sleep = (milliseconds: number) =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

export interface TestTransport {
  readonly transport: HttpPassthroughTransport;
  readonly connections: UpstreamConnections;
}

/** `refusalOf` is that of the send gate. */
export function createTransport(
  t: ExecutionContext,
  refusalOf: SendGate['refusalOf'] = () => undefined,
): TestTransport {
  const connections = new UpstreamConnections(systemClock);
  t.teardown(() => connections.closeAll());
  const transport = new HttpPassthroughTransport(
    connections,
    wireFormat,
    {onNotice: () => undefined, onUnreadable: () => undefined},
    {refusalOf},
  );
  return {transport, connections};
}

export function upstreamAt(port: number): UpstreamDocument {
  const spec = {address: `127.0.0.1:${port}`};
  return {name: 'u-1', spec} as UpstreamDocument;
}

/** Listens on a free port and calls `onRequest` for each connection. */
export async function serveRaw(
  t: ExecutionContext,
  onRequest: (socket: Socket) => void,
): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}
