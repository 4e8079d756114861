import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {sampleKeys} from '@persimmonwick/standins';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {openRawConnection, waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {RunDaemonOptions} from '../tools/run-daemon.js';

async function startWithService(
  t: ExecutionContext,
  listener: RequestListener,
  options: RunDaemonOptions = {},
) {
  const server = createServer(listener);
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const fixture = await runDaemon(t, {}, options);
  const {port} = server.address() as AddressInfo;
  const upstream = {
    kind: 'Upstream',
    name: 'orders-0',
    labels: {use: 'orders'},
    spec: {address: `127.0.0.1:${port}`, failureDomain: 'north'},
  };
  const version = fixture.fleet.platform.publish(upstream);
  await waitUntil(() =>
    fixture.log
      .eventsOf('configurationApplied')
      .some(fields => fields['version'] === version),
  );
  const callOrders = (method: 'GET' | 'HEAD' = 'GET') =>
    request(`http://${fixture.daemon.addresses.callers}/orders/1`, {
      method,
      headers: {authorization: `Bearer ${sampleKeys.batinah}`},
    });
  return {...fixture, callOrders};
}

test('a large response arrives complete', async t => {
  const body = Buffer.alloc(8 * 1024 * 1024, 'x');
  const fixture = await startWithService(t, (_request, reply) =>
    reply.end(body),
  );
  const response = await fixture.callOrders();
  t.is(response.headers['content-length'], String(body.length));
  const text = await response.body.text();
  t.is(text.length, body.length);
});

test('the x-persimmonwick-ran header of a service is dropped', async t => {
  const fixture = await startWithService(t, (_request, reply) => {
    reply.writeHead(503, {'x-persimmonwick-ran': 'not-run', 'x-own': 'kept'});
    reply.end('busy');
  });
  const response = await fixture.callOrders();
  t.is(response.statusCode, 503);
  t.is(response.headers['x-persimmonwick-ran'], undefined);
  t.is(response.headers['x-own'], 'kept');
  t.is(await response.body.text(), 'busy');
});

test('responses without a body are passed on', async t => {
  const fixture = await startWithService(t, (call, reply) => {
    if (call.method === 'HEAD') reply.setHeader('content-length', 7);
    else reply.statusCode = 204;
    reply.end();
  });
  const head = await fixture.callOrders('HEAD');
  t.is(head.headers['content-length'], '7');
  t.is(await head.body.text(), '');
  const empty = await fixture.callOrders();
  t.is(empty.statusCode, 204);
  t.is(await empty.body.text(), '');
});

test('a response that the service ends early is truncated', async t => {
  const fixture = await startWithService(t, (_request, reply) => {
    reply.writeHead(200);
    reply.write('first part', () => reply.destroy());
  });
  const response = await fixture.callOrders();
  await t.throwsAsync(response.body.text());
  await waitUntil(() => fixture.log.countFailures('upstream-failed') === 1);
  t.is(fixture.log.eventsOf('requestFailed')[0]!['ran'], 'ran');
});

test('a caller that does not read a large response is disconnected', async t => {
  const sizeBytes = 64 * 1024 * 1024;
  let sentBytes = 0;
  let isClosed = false;
  const limits = {requestMilliseconds: 3000};
  const fixture = await startWithService(
    t,
    (_request, reply) => {
      reply.once('close', () => (isClosed = true));
      reply.writeHead(200, {'content-length': sizeBytes});
      const chunk = Buffer.alloc(64 * 1024);
      const send = () => {
        while (sentBytes < sizeBytes && !reply.destroyed) {
          sentBytes += chunk.length;
          if (!reply.write(chunk)) return reply.once('drain', send);
        }
        return reply.end();
      };
      send();
    },
    {limits},
  );
  const call = openRawConnection(t, fixture.daemon.addresses.callers);
  call.socket.pause();
  call.socket.write(
    'GET /orders/1 HTTP/1.1\r\nhost: x\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n`,
  );
  await waitUntil(() => isClosed);
  t.true(sentBytes < sizeBytes, String(sentBytes));
  await waitUntil(() => fixture.log.eventsOf('requestFailed').length === 1);
});

const orderText = (id: string) =>
  `GET /orders/${id} HTTP/1.1\r\nhost: x\r\nx-request-id: ${id}\r\n` +
  `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n`;

// Against: a call behind another one runs beside it, and the end of their connection
// takes its answer.
for (const isOneWrite of [false, true])
  test(`a call behind a response that is cut does not run${isOneWrite ? ': one write' : ''}`, async t => {
    const paths: (string | undefined)[] = [];
    const {daemon, log} = await startWithService(t, ({url}, reply) => {
      paths.push(url);
      reply.writeHead(200);
      reply.write('first part');
      setTimeout(() => reply.destroy(), 300);
    });
    const call = openRawConnection(t, daemon.addresses.callers);
    call.socket.write(orderText('a') + (isOneWrite ? orderText('b') : ''));
    await new Promise(done => call.socket.once('data', done));
    if (!isOneWrite) call.socket.write(orderText('b'));
    await call.response;
    await waitUntil(() => log.eventsOf('callerConnectionEnded').length === 1);
    t.deepEqual(paths, ['/orders/a']);
    t.like(log.eventsOf('requestFailed'), [
      {request: 'a', code: 'upstream-failed', ran: 'ran'},
    ]);
    t.is(log.eventsOf('callerInputUnread').length, 1);
  });
