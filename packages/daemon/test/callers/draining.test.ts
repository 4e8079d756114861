import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {request} from 'undici';
import {waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

const startStream = (run: DaemonWithFleet, maximumTokens: number) =>
  request(`http://${run.daemon.addresses.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${sampleKeys.batinah}`},
    body: JSON.stringify({
      model: sampleModel,
      messages: [{role: 'user', content: 'x'}],
      max_tokens: maximumTokens,
      stream: true,
    }),
  });

const readiness = async (run: DaemonWithFleet) => {
  const url = `http://${run.daemon.addresses.operators}/readyz`;
  const answer = await request(url);
  await answer.body.dump();
  return answer.statusCode;
};

test('draining refuses new calls and finishes old ones', async t => {
  const run = await runDaemon(t, {}, {limits: {drainMilliseconds: 20_000}});
  t.is(await readiness(run), 200);
  const stream = await startStream(run, 50);
  run.daemon.startDraining();
  t.is(await readiness(run), 503);
  const refused = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(refused.status, 503);
  t.is(JSON.parse(refused.text).error.code, 'draining');
  t.is(refused.headers['x-persimmonwick-ran'], 'not-run');
  t.is(refused.headers['retry-after'], '1');
  t.is(refused.headers['connection'], 'close');
  const closing = run.daemon.close();
  const text = await stream.body.text();
  t.true(text.endsWith('data: [DONE]\n\n'));
  await Promise.all([closing, run.daemon.close()]);
  t.is(run.log.eventsOf('daemonStopped').length, 1);
  t.is(run.log.eventsOf('daemonStopped')[0]!['cutRequests'], 0);
});

test('draining cuts what does not end with an error event', async t => {
  const run = await runDaemon(t, {}, {limits: {drainMilliseconds: 200}});
  const stream = await startStream(run, 100_000);
  const [text] = await Promise.all([stream.body.text(), run.daemon.close()]);
  const last = text.split('\n\n').filter(Boolean).at(-1)!;
  t.true(last.includes('"code":"draining"'), last);
  t.true(last.includes('"ran":"unknown"'));
  t.is(run.log.eventsOf('daemonStopped')[0]!['cutRequests'], 1);
  await waitUntil(() =>
    run.fleet.engines.every(({heldTokens}) => heldTokens === 0),
  );
});

test('no configuration yet', async t => {
  const run = await runDaemon(t, {}, {isPlatformDown: true});
  const answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(answer.status, 503);
  t.is(JSON.parse(answer.text).error.code, 'not-ready');
  t.is(answer.headers['x-persimmonwick-ran'], 'not-run');
  t.is(await readiness(run), 503);
});
