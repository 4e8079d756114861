import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {openRawConnection, waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

function openCompletion(
  t: ExecutionContext,
  run: DaemonWithFleet,
  maximumTokens: number,
  content = 'check the pinout of connector seven',
) {
  const body = JSON.stringify({
    model: sampleModel,
    messages: [{role: 'user', content}],
    max_tokens: maximumTokens,
    stream: true,
  });
  const call = openRawConnection(t, run.daemon.addresses.callers);
  call.socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
  return call;
}

const heldTokens = (run: DaemonWithFleet) =>
  run.fleet.engines.reduce((sum, engine) => sum + engine.heldTokens, 0);

async function runningOf(engines: DaemonWithFleet['fleet']['engines']) {
  const answers = await Promise.all(
    engines.map(async ({address}) => {
      const answer = await fetch(`http://${address}/running`);
      const {running} = (await answer.json()) as {running: unknown[]};
      return running.length;
    }),
  );
  return answers.reduce((sum, count) => sum + count, 0);
}

async function untilReleased(run: DaemonWithFleet): Promise<void> {
  while ((await runningOf(run.fleet.engines)) > 0);
}

test('caller leaves in the prefill', async t => {
  // Slow, but not so slow that the first-token target is out of reach.
  const run = await runDaemon(t, {prefillTokensPerSecond: 15});
  const call = openCompletion(t, run, 5);
  while ((await runningOf(run.fleet.prefillEngines)) === 0);
  call.socket.destroy();
  await untilReleased(run);
  t.is(heldTokens(run), 0);
});

test('caller leaves in the transfer', async t => {
  const run = await runDaemon(t, {linkBytesPerSecond: 3000});
  const call = openCompletion(t, run, 5);
  while ((await runningOf(run.fleet.decodeEngines)) === 0);
  call.socket.destroy();
  await untilReleased(run);
  t.is(heldTokens(run), 0);
});

test('caller leaves in the decode', async t => {
  const run = await runDaemon(t);
  const call = openCompletion(t, run, 100_000);
  await new Promise(done => call.socket.once('data', done));
  call.socket.destroy();
  await untilReleased(run);
  t.is(heldTokens(run), 0);
});

test('caller leaves while it sends', async t => {
  const run = await runDaemon(t);
  const call = openRawConnection(t, run.daemon.addresses.callers);
  call.socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{',
    () => call.socket.destroy(),
  );
  await call.response;
  const answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(answer.status, 201);
});

test('caller leaves while a service works', async t => {
  const run = await runDaemon(t);
  run.fleet.service.losesAnswers = true;
  const call = openRawConnection(t, run.daemon.addresses.callers);
  call.socket.write(
    'GET /orders/1 HTTP/1.1\r\nhost: x\r\n' +
      `authorization: Bearer ${sampleKeys.batinah}\r\n\r\n`,
  );
  await waitUntil(() => run.fleet.service.runs.length === 1);
  call.socket.destroy();
  await waitUntil(() => run.log.countFailures('caller-gone') === 1);
  t.is(run.fleet.service.runs.length, 1);
});

test('caller that never reads', async t => {
  const run = await runDaemon(
    t,
    {decodeStepMilliseconds: 1},
    {limits: {requestMilliseconds: 4000}},
  );
  const stuck = openCompletion(t, run, 100_000);
  stuck.socket.pause();
  while ((await runningOf(run.fleet.decodeEngines)) === 0);
  const other = await run.call('/v1/chat/completions', {
    method: 'POST',
    key: sampleKeys.lembaga,
    body: {
      model: sampleModel,
      messages: [{role: 'user', content: 'x'}],
      max_tokens: 5,
    },
  });
  t.is(other.status, 200);
  await untilReleased(run);
  await waitUntil(() => run.log.countFailures('upstream-timeout') === 1);
  t.is(heldTokens(run), 0);
});

test('stream past its time limit ends with an error event', async t => {
  const run = await runDaemon(t, {}, {limits: {requestMilliseconds: 3000}});
  const answer = await openCompletion(t, run, 100_000).response;
  const events = answer.split('\n\n').filter(text => text.includes('data: '));
  t.true(events.at(-1)!.includes('"code":"upstream-timeout"'));
  await untilReleased(run);
});
