import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {openRawConnection, waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

function openCompletion(
  t: ExecutionContext,
  fixture: DaemonWithFleet,
  maximumTokens: number,
  content = 'check the pinout of connector seven',
) {
  const body = JSON.stringify({
    model: sampleModel,
    messages: [{role: 'user', content}],
    max_tokens: maximumTokens,
    stream: true,
  });
  const call = openRawConnection(t, fixture.daemon.addresses.callers);
  call.socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
  return call;
}

const totalHeldTokens = (fixture: DaemonWithFleet) =>
  fixture.fleet.engines.reduce((sum, engine) => sum + engine.heldTokens, 0);

async function countRunningAttempts(
  engines: DaemonWithFleet['fleet']['engines'],
) {
  const counts = await Promise.all(
    engines.map(async ({address}) => {
      const response = await fetch(`http://${address}/running`);
      const {running} = (await response.json()) as {running: unknown[]};
      return running.length;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

async function waitUntilNoAttemptRuns(fixture: DaemonWithFleet): Promise<void> {
  while ((await countRunningAttempts(fixture.fleet.engines)) > 0);
}

test('caller disconnects during the prefill', async t => {
  // The prefill must last until the disconnect, yet be fast enough that the
  // first-token target can be met.
  const fixture = await runDaemon(t, {prefillTokensPerSecond: 15});
  const call = openCompletion(t, fixture, 5);
  while ((await countRunningAttempts(fixture.fleet.prefillEngines)) === 0);
  call.socket.destroy();
  await waitUntilNoAttemptRuns(fixture);
  t.is(totalHeldTokens(fixture), 0);
});

test('caller disconnects during the cache transfer', async t => {
  // The cache transfer must last until the disconnect.
  const fixture = await runDaemon(t, {linkBytesPerSecond: 3000});
  const call = openCompletion(t, fixture, 5);
  while ((await countRunningAttempts(fixture.fleet.decodeEngines)) === 0);
  call.socket.destroy();
  await waitUntilNoAttemptRuns(fixture);
  t.is(totalHeldTokens(fixture), 0);
});

test('caller disconnects during the decode', async t => {
  const fixture = await runDaemon(t);
  const call = openCompletion(t, fixture, 100_000);
  await new Promise(done => call.socket.once('data', done));
  call.socket.destroy();
  await waitUntilNoAttemptRuns(fixture);
  t.is(totalHeldTokens(fixture), 0);
});

test('caller disconnects while sending the request', async t => {
  const fixture = await runDaemon(t);
  const call = openRawConnection(t, fixture.daemon.addresses.callers);
  call.socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{',
    () => call.socket.destroy(),
  );
  await call.response;
  const response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(response.status, 201);
});

test('caller disconnects while a service handles the call', async t => {
  const fixture = await runDaemon(t);
  fixture.fleet.service.losesAnswers = true;
  const call = openRawConnection(t, fixture.daemon.addresses.callers);
  call.socket.write(
    'GET /orders/1 HTTP/1.1\r\nhost: x\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n`,
  );
  await waitUntil(() => fixture.fleet.service.runs.length === 1);
  call.socket.destroy();
  await waitUntil(() => fixture.log.countFailures('caller-gone') === 1);
  t.is(fixture.fleet.service.runs.length, 1);
});

// Against: the server does not read behind malformed bytes.
for (const end of ['destroy', 'resetAndDestroy'] as const)
  test(`caller disconnects behind malformed bytes: ${end}`, async t => {
    const fixture = await runDaemon(t);
    fixture.fleet.service.losesAnswers = true;
    const call = openRawConnection(t, fixture.daemon.addresses.callers);
    call.socket.write(
      'GET /orders/1 HTTP/1.1\r\nhost: x\r\n' +
        `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n\0\r\n\r\n`,
    );
    await waitUntil(() => fixture.fleet.service.runs.length === 1);
    call.socket[end]();
    await sleep(1000);
    t.is(fixture.log.countFailures('caller-gone'), 1);
  });

test('a caller that never reads does not block others', async t => {
  const fixture = await runDaemon(
    t,
    {decodeStepMilliseconds: 1},
    {limits: {requestMilliseconds: 4000}},
  );
  const stalledCall = openCompletion(t, fixture, 100_000);
  stalledCall.socket.pause();
  while ((await countRunningAttempts(fixture.fleet.decodeEngines)) === 0);
  const otherResponse = await fixture.call('/v1/chat/completions', {
    method: 'POST',
    key: sampleKeys.lembaga,
    body: {
      model: sampleModel,
      messages: [{role: 'user', content: 'x'}],
      max_tokens: 5,
    },
  });
  t.is(otherResponse.status, 200);
  await waitUntilNoAttemptRuns(fixture);
  await waitUntil(() => fixture.log.countFailures('upstream-timeout') === 1);
  t.is(totalHeldTokens(fixture), 0);
});

test('a stream that exceeds its time limit ends with an error event', async t => {
  const fixture = await runDaemon(t, {}, {limits: {requestMilliseconds: 3000}});
  const response = await openCompletion(t, fixture, 100_000).response;
  const events = response.split('\n\n').filter(text => text.includes('data: '));
  t.true(events.at(-1)!.includes('"code":"upstream-timeout"'));
  await waitUntilNoAttemptRuns(fixture);
});
