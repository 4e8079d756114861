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

async function runWithService(
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
  const run = await runDaemon(t, {}, options);
  const {port} = server.address() as AddressInfo;
  const upstream = {
    kind: 'Upstream',
    name: 'orders-0',
    labels: {use: 'orders'},
    spec: {address: `127.0.0.1:${port}`, failureDomain: 'north'},
  };
  const version = run.fleet.platform.publish(upstream);
  await waitUntil(() =>
    run.log
      .eventsOf('configurationApplied')
      .some(fields => fields['version'] === version),
  );
  const ask = (method: 'GET' | 'HEAD' = 'GET') =>
    request(`http://${run.daemon.addresses.callers}/orders/1`, {
      method,
      headers: {authorization: `Bearer ${sampleKeys.batinah}`},
    });
  return {...run, ask};
}

test('large answer passes whole', async t => {
  const body = Buffer.alloc(8 * 1024 * 1024, 'x');
  const run = await runWithService(t, (_request, reply) => reply.end(body));
  const answer = await run.ask();
  t.is(answer.headers['content-length'], String(body.length));
  const text = await answer.body.text();
  t.is(text.length, body.length);
});

test('service cannot say that a request did not run', async t => {
  const run = await runWithService(t, (_request, reply) => {
    reply.writeHead(503, {'x-persimmonwick-ran': 'not-run', 'x-own': 'kept'});
    reply.end('busy');
  });
  const answer = await run.ask();
  t.is(answer.statusCode, 503);
  t.is(answer.headers['x-persimmonwick-ran'], undefined);
  t.is(answer.headers['x-own'], 'kept');
  t.is(await answer.body.text(), 'busy');
});

test('answers without a body', async t => {
  const run = await runWithService(t, (call, reply) => {
    if (call.method === 'HEAD') reply.setHeader('content-length', 7);
    else reply.statusCode = 204;
    reply.end();
  });
  const head = await run.ask('HEAD');
  t.is(head.headers['content-length'], '7');
  t.is(await head.body.text(), '');
  const empty = await run.ask();
  t.is(empty.statusCode, 204);
  t.is(await empty.body.text(), '');
});

test('answer that breaks off is cut', async t => {
  const run = await runWithService(t, (_request, reply) => {
    reply.writeHead(200);
    reply.write('first part', () => reply.destroy());
  });
  const answer = await run.ask();
  await t.throwsAsync(answer.body.text());
  await waitUntil(() => run.log.countFailures('upstream-failed') === 1);
  t.is(run.log.eventsOf('requestFailed')[0]!['ran'], 'ran');
});

test('caller that does not read a large answer', async t => {
  const size = 64 * 1024 * 1024;
  let sent = 0;
  let isClosed = false;
  const limits = {requestMilliseconds: 3000};
  const run = await runWithService(
    t,
    (_request, reply) => {
      reply.once('close', () => (isClosed = true));
      reply.writeHead(200, {'content-length': size});
      const chunk = Buffer.alloc(64 * 1024);
      const send = () => {
        while (sent < size && !reply.destroyed) {
          sent += chunk.length;
          if (!reply.write(chunk)) return reply.once('drain', send);
        }
        return reply.end();
      };
      send();
    },
    {limits},
  );
  const call = openRawConnection(t, run.daemon.addresses.callers);
  call.socket.pause();
  call.socket.write(
    'GET /orders/1 HTTP/1.1\r\nhost: x\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n`,
  );
  await waitUntil(() => isClosed);
  t.true(sent < size, String(sent));
  await waitUntil(() => run.log.eventsOf('requestFailed').length === 1);
});
