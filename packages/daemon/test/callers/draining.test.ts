import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {openRawConnection, waitUntil} from '../tools/raw-connection.js';
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

for (const {when, delayMilliseconds} of [
  {when: 'before its replacement is sought', delayMilliseconds: 0},
  {when: 'while its replacement is under way', delayMilliseconds: 700},
])
  test(`a stream whose host is stopped ${when} is whole`, async t => {
    const fixture = await runDaemon(
      t,
      {decodeStepMilliseconds: 20},
      {
        limits: {drainMilliseconds: 30_000},
        upstreamSilenceMilliseconds: 300,
      },
    );
    const {decodeEngines} = fixture.fleet;
    const stream = await startStream(fixture, 100);
    await waitUntil(() =>
      decodeEngines.some(({heldTokens}) => heldTokens > 20),
    );
    const first = decodeEngines.find(({heldTokens}) => heldTokens > 0)!;
    first.faults.isStalled = true;
    await sleep(delayMilliseconds);
    const closing = fixture.daemon.close();
    const text = await stream.body.text();
    t.true(text.endsWith('data: [DONE]\n\n'), text.slice(-300));
    await closing;
    t.is(fixture.log.eventsOf('daemonStopped')[0]!['cutRequests'], 0);
  });

test('calls are rejected before the first configuration', async t => {
  const fixture = await runDaemon(t, {}, {isPlatformDown: true});
  const response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(response.status, 503);
  t.is(JSON.parse(response.text).error.code, 'not-ready');
  t.is(response.headers['x-persimmonwick-ran'], 'not-run');
  t.is(await readinessStatus(fixture), 503);
});

const startUpload = (t: ExecutionContext, address: string, framing: string) => {
  const caller = openRawConnection(t, address);
  const key = `authorization: Bearer ${sampleKeys.batinah}`;
  caller.socket.write(
    `POST /orders/1 HTTP/1.1\r\nhost: a\r\n${key}\r\n${framing}\r\n\r\n`,
  );
  return caller;
};

// Against: a call whose body ends late in a drain is sent, and cut at the end of it.
test('a call that is still read when the drain begins is refused', async t => {
  const limits = {drainMilliseconds: 20_000};
  const {daemon, fleet} = await runDaemon(t, {}, {limits});
  const {callers} = daemon.addresses;
  const upload = startUpload(t, callers, 'transfer-encoding: chunked');
  await sleep(100);
  const closing = daemon.close();
  upload.socket.write('1\r\nx\r\n');
  const response = await upload.response;
  t.regex(response, /^HTTP\/1\.1 503 /);
  t.true(response.includes('"code":"draining"'), response);
  t.true(response.includes('"ran":"not-run"'), response);
  await closing;
  t.is(fleet.service.runs.length, 0);
});

// Against: the same refusal for a call that its time limit ends within the drain.
test('a call whose time limit is within the drain may still be read', async t => {
  const limits = {drainMilliseconds: 20_000, requestMilliseconds: 10_000};
  const {daemon} = await runDaemon(t, {}, {limits});
  const {callers} = daemon.addresses;
  const upload = startUpload(t, callers, 'content-length: 1');
  await sleep(100);
  const closing = daemon.close();
  await sleep(100);
  upload.socket.write('x');
  t.regex(await upload.response, /^HTTP\/1\.1 201 /);
  await closing;
});

// Against: a host closes the connection of a refused upload, and its caller, which reads
// once it has written all, gets a reset in place of the refusal.
test('a caller that reads behind its upload reads its refusal', async t => {
  const limits = {drainMilliseconds: 20_000};
  const {daemon} = await runDaemon(t, {}, {limits});
  const {callers} = daemon.addresses;
  const upload = startUpload(t, callers, 'content-length: 400000');
  upload.socket.pause();
  await sleep(100);
  const closing = daemon.close();
  for (let count = 0; count < 40; count += 1) {
    upload.socket.write('x'.repeat(10_000));
    await sleep(10);
  }
  upload.socket.resume();
  t.regex(await upload.response, /^HTTP\/1\.1 503 /);
  await closing;
});
