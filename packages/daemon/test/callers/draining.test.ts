import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {request} from 'undici';
import {waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

const startStream = (fixture: DaemonWithFleet, maximumTokens: number) =>
  request(`http://${fixture.daemon.addresses.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${sampleKeys.batinah}`},
    body: JSON.stringify({
      model: sampleModel,
      messages: [{role: 'user', content: 'x'}],
      max_tokens: maximumTokens,
      stream: true,
    }),
  });

const readinessStatus = async (fixture: DaemonWithFleet) => {
  const url = `http://${fixture.daemon.addresses.operators}/readyz`;
  const response = await request(url);
  await response.body.dump();
  return response.statusCode;
};

test('draining rejects new calls and finishes those in flight', async t => {
  const fixture = await runDaemon(t, {}, {limits: {drainMilliseconds: 20_000}});
  t.is(await readinessStatus(fixture), 200);
  const stream = await startStream(fixture, 50);
  fixture.daemon.startDraining();
  t.is(await readinessStatus(fixture), 503);
  const rejected = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(rejected.status, 503);
  t.is(JSON.parse(rejected.text).error.code, 'draining');
  t.is(rejected.headers['x-persimmonwick-ran'], 'not-run');
  t.is(rejected.headers['retry-after'], '1');
  t.is(rejected.headers['connection'], 'close');
  const closing = fixture.daemon.close();
  const text = await stream.body.text();
  t.true(text.endsWith('data: [DONE]\n\n'));
  await Promise.all([closing, fixture.daemon.close()]);
  t.is(fixture.log.eventsOf('daemonStopped').length, 1);
  t.is(fixture.log.eventsOf('daemonStopped')[0]!['cutRequests'], 0);
});

test('streams still open at the drain timeout end with an error event', async t => {
  const fixture = await runDaemon(t, {}, {limits: {drainMilliseconds: 200}});
  const stream = await startStream(fixture, 100_000);
  const [text] = await Promise.all([
    stream.body.text(),
    fixture.daemon.close(),
  ]);
  const lastEvent = text.split('\n\n').filter(Boolean).at(-1)!;
  t.true(lastEvent.includes('"code":"draining"'), lastEvent);
  t.true(lastEvent.includes('"ran":"unknown"'));
  t.is(fixture.log.eventsOf('daemonStopped')[0]!['cutRequests'], 1);
  await waitUntil(() =>
    fixture.fleet.engines.every(({heldTokens}) => heldTokens === 0),
  );
});

test('calls are rejected before the first configuration', async t => {
  const fixture = await runDaemon(t, {}, {isPlatformDown: true});
  const response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(response.status, 503);
  t.is(JSON.parse(response.text).error.code, 'not-ready');
  t.is(response.headers['x-persimmonwick-ran'], 'not-run');
  t.is(await readinessStatus(fixture), 503);
});
