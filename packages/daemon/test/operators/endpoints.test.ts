import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {request} from 'undici';
import {startDaemon} from '../../src/index.js';
import {StartError} from '../../src/index.js';
import {RecordingLog} from '../tools/recording-log.js';
import {waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

async function read(
  run: DaemonWithFleet,
  path: string,
  method: 'GET' | 'POST' = 'GET',
) {
  const url = `http://${run.daemon.addresses.operators}${path}`;
  const answer = await request(url, {method});
  return {status: answer.statusCode, text: await answer.body.text()};
}

const readJson = async (run: DaemonWithFleet, path: string) =>
  JSON.parse((await read(run, path)).text);

const chat = {
  model: sampleModel,
  messages: [{role: 'user', content: 'x'}],
  max_tokens: 5,
};

test('status describes the host', async t => {
  const run = await runDaemon(t);
  const status = await readJson(run, '/status');
  t.like(status, {
    host: 'north-1',
    failureDomain: 'north',
    version: '2',
    inFlight: 0,
    isDraining: false,
    isReady: true,
  });
  t.is((await read(run, '/healthz')).status, 200);
});

test('histograms after a completion', async t => {
  const run = await runDaemon(t);
  const options = {method: 'POST', key: sampleKeys.batinah} as const;
  const answer = await run.call('/v1/chat/completions', {
    ...options,
    body: chat,
  });
  t.is(answer.status, 200, answer.text);
  await waitUntil(() => run.log.eventsOf('requestFinished').length > 0);
  const {accounts} = await readJson(run, '/histograms');
  t.like(accounts[0], {account: 'batinah', class: 'targeted', finished: 1});
  t.is(accounts[0].phases['between-tokens'].count, 4);
  const metrics = await read(run, '/metrics');
  t.regex(metrics.text, /requests_finished_total\{account="batinah"/);
});

test('explain a model', async t => {
  const run = await runDaemon(t);
  const query = `account=batinah&model=${sampleModel}`;
  const explanation = await readJson(run, `/explain?${query}`);
  t.is(explanation.route, 'review');
  const usable = explanation.upstreams.filter(
    (upstream: {isUsable: boolean}) => upstream.isUsable,
  );
  t.is(usable.length, 5);
});

test('explain a path and a leaving upstream', async t => {
  const run = await runDaemon(t);
  run.fleet.platform.publish({
    kind: 'Upstream',
    name: 'orders-0',
    labels: {use: 'orders'},
    spec: {
      address: run.fleet.service.address,
      failureDomain: 'north',
      state: 'leaving',
    },
  } as {kind: string; name: string});
  let explanation = await readJson(
    run,
    '/explain?account=batinah&path=/orders/1',
  );
  while (explanation.version === '2')
    explanation = await readJson(
      run,
      '/explain?account=batinah&path=/orders/1',
    );
  t.is(explanation.route, 'orders');
  t.deepEqual(explanation.upstreams[0].reasons, ['it is leaving']);
  const withoutKey = await readJson(run, '/explain?path=/orders/1');
  t.is(withoutKey.refusal, 'missing-key');
});

test('invalid queries and unknown paths are refused', async t => {
  const run = await runDaemon(t);
  t.is((await read(run, '/explain')).status, 400);
  t.is((await read(run, '/explain?path=/a&path=/b')).status, 400);
  t.is((await read(run, '/explain?account=x&path=/a')).status, 404);
  t.is((await read(run, '/nowhere')).status, 404);
});

test('a draining host refuses requests', async t => {
  const run = await runDaemon(t);
  t.is((await read(run, '/drain')).status, 404);
  t.is((await read(run, '/drain', 'POST')).status, 202);
  t.is((await read(run, '/readyz')).status, 503);
  const refused = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(refused.status, 503);
});

test('a daemon does not start on an address in use', async t => {
  const run = await runDaemon(t);
  const {callers, operators, peers} = run.daemon.addresses;
  const freeAddresses = {
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    peers: '127.0.0.1:0',
  };
  for (const addressInUse of [{callers}, {operators}, {peers}]) {
    const listen = {...freeAddresses, ...addressInUse};
    const second = startDaemon({...run.settings, listen}, new RecordingLog());
    const error = await t.throwsAsync(second, {instanceOf: StartError});
    const [path, address] = Object.entries(addressInUse)[0]!;
    t.is(error!.faults[0]!.path, `/listen/${path}`);
    t.true(error!.faults[0]!.value.startsWith(address));
  }
  const answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(answer.status, 201);
});
