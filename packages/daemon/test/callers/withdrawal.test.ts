import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {Agent, request} from 'undici';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

function startStream(
  fixture: DaemonWithFleet,
  maximumTokens: number,
  key: string,
) {
  return request(
    `http://${fixture.daemon.addresses.callers}/v1/chat/completions`,
    {
      method: 'POST',
      headers: {authorization: `Bearer ${key}`},
      body: JSON.stringify({
        model: sampleModel,
        messages: [{role: 'user', content: 'x'}],
        max_tokens: maximumTokens,
        stream: true,
      }),
    },
  );
}

function publishRoute(fixture: DaemonWithFleet, spec: object): void {
  const target = {
    kind: 'model',
    models: [sampleModel],
    prefill: {matchLabels: {use: 'prefill'}},
    decode: {matchLabels: {use: 'decode'}},
  };
  const route = {kind: 'Route', name: 'review', spec: {target, ...spec}};
  fixture.fleet.platform.publish(route);
}

const waitForVersion = async (fixture: DaemonWithFleet, version: number) => {
  const isApplied = () =>
    fixture.log
      .eventsOf('configurationApplied')
      .some(fields => fields['version'] === version);
  while (!isApplied()) await new Promise(done => setTimeout(done, 5));
};

test('a withdrawal interrupts the streams of its key only', async t => {
  const fixture = await runDaemon(t);
  const ownStream = await startStream(fixture, 100_000, sampleKeys.batinah);
  const otherStream = await startStream(fixture, 100, sampleKeys.lembaga);
  fixture.fleet.platform.withdraw('Key/batinah');
  const [text, otherText] = await Promise.all([
    ownStream.body.text(),
    otherStream.body.text(),
  ]);
  const lastEvent = text.split('\n\n').filter(Boolean).at(-1)!;
  t.true(lastEvent.includes('"code":"key-withdrawn"'), lastEvent);
  t.true(otherText.endsWith('data: [DONE]\n\n'));
});

test('a route can let streams finish after a withdrawal', async t => {
  const fixture = await runDaemon(t);
  publishRoute(fixture, {onKeyWithdrawal: 'finish-streams'});
  await waitForVersion(fixture, 3);
  const stream = await startStream(fixture, 200, sampleKeys.batinah);
  fixture.fleet.platform.withdraw('Key/batinah');
  await waitForVersion(fixture, 4);
  const text = await stream.body.text();
  t.true(text.endsWith('data: [DONE]\n\n'));
  const nextResponse = await fixture.call('/orders/1', {
    key: sampleKeys.batinah,
  });
  t.is(nextResponse.status, 401);
});

test('a withdrawn key is rejected on a connection opened before', async t => {
  const fixture = await runDaemon(t);
  const dispatcher = new Agent({connections: 1, pipelining: 1});
  t.teardown(() => dispatcher.destroy());
  const callStatus = async () => {
    const response = await request(
      `http://${fixture.daemon.addresses.callers}/orders/1`,
      {dispatcher, headers: {authorization: `Bearer ${sampleKeys.batinah}`}},
    );
    await response.body.dump();
    return response.statusCode;
  };
  t.is(await callStatus(), 201);
  fixture.fleet.platform.withdraw('Key/batinah');
  await waitForVersion(fixture, 3);
  t.is(await callStatus(), 401);
});
