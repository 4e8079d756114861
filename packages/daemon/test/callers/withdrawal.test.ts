import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {Agent, request} from 'undici';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

function startStream(run: DaemonWithFleet, maximumTokens: number, key: string) {
  return request(`http://${run.daemon.addresses.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${key}`},
    body: JSON.stringify({
      model: sampleModel,
      messages: [{role: 'user', content: 'x'}],
      max_tokens: maximumTokens,
      stream: true,
    }),
  });
}

function publishRoute(run: DaemonWithFleet, spec: object): void {
  const target = {
    kind: 'model',
    models: [sampleModel],
    prefill: {matchLabels: {use: 'prefill'}},
    decode: {matchLabels: {use: 'decode'}},
  };
  const route = {kind: 'Route', name: 'review', spec: {target, ...spec}};
  run.fleet.platform.publish(route);
}

const untilVersion = async (run: DaemonWithFleet, version: number) => {
  const applied = () =>
    run.log
      .eventsOf('configurationApplied')
      .some(fields => fields['version'] === version);
  while (!applied()) await new Promise(done => setTimeout(done, 5));
};

test('withdrawal ends the streams of the key and no others', async t => {
  const run = await runDaemon(t);
  const own = await startStream(run, 100_000, sampleKeys.batinah);
  const other = await startStream(run, 100, sampleKeys.lembaga);
  run.fleet.platform.withdraw('Key/batinah');
  const [text, whole] = await Promise.all([own.body.text(), other.body.text()]);
  const last = text.split('\n\n').filter(Boolean).at(-1)!;
  t.true(last.includes('"code":"key-withdrawn"'), last);
  t.true(whole.endsWith('data: [DONE]\n\n'));
});

test('route lets streams finish after a withdrawal', async t => {
  const run = await runDaemon(t);
  publishRoute(run, {onKeyWithdrawal: 'finish-streams'});
  await untilVersion(run, 3);
  const stream = await startStream(run, 200, sampleKeys.batinah);
  run.fleet.platform.withdraw('Key/batinah');
  await untilVersion(run, 4);
  const text = await stream.body.text();
  t.true(text.endsWith('data: [DONE]\n\n'));
  const next = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(next.status, 401);
});

test('withdrawal takes hold on an open connection', async t => {
  const run = await runDaemon(t);
  const dispatcher = new Agent({connections: 1, pipelining: 1});
  t.teardown(() => dispatcher.destroy());
  const ask = async () => {
    const answer = await request(
      `http://${run.daemon.addresses.callers}/orders/1`,
      {dispatcher, headers: {authorization: `Bearer ${sampleKeys.batinah}`}},
    );
    await answer.body.dump();
    return answer.statusCode;
  };
  t.is(await ask(), 201);
  run.fleet.platform.withdraw('Key/batinah');
  await untilVersion(run, 3);
  t.is(await ask(), 401);
});
