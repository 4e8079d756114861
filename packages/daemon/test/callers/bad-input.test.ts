import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {sendRaw} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';
import type {DaemonWithFleet} from '../tools/run-daemon.js';

const completions = '/v1/chat/completions';
const authorization = `Bearer ${sampleKeys.batinah}`;

interface Failure {
  readonly status: number;
  readonly code: string;
  readonly ran: string;
  readonly header: unknown;
}

async function post(
  run: DaemonWithFleet,
  body: string | Buffer | undefined,
  path = completions,
): Promise<Failure> {
  const answer = await request(
    `http://${run.daemon.addresses.callers}${path}`,
    {
      method: 'POST',
      headers: {authorization, 'content-type': 'application/json'},
      body,
    },
  );
  const {error} = (await answer.body.json()) as {
    error: {code: string; ran: string};
  };
  const header = answer.headers['x-persimmonwick-ran'];
  return {status: answer.statusCode, code: error.code, ran: error.ran, header};
}

function isRefused(
  t: ExecutionContext,
  failure: Failure,
  status: number,
  code: string,
): void {
  const ran = 'not-run';
  t.deepEqual(failure, {status, code, ran, header: ran});
}

async function isAlive(t: ExecutionContext, run: DaemonWithFleet) {
  const answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(answer.status, 201);
}

const messages = [{role: 'user', content: 'x'}];

test('malformed bodies', async t => {
  const run = await runDaemon(t);
  const bodies = [
    undefined,
    '',
    '{"model": "review-1", "messages": [',
    'null',
    '[]',
    '"text"',
    JSON.stringify({model: 7, messages}),
    JSON.stringify({model: sampleModel, messages: 'x'}),
    JSON.stringify({model: sampleModel, messages: []}),
    JSON.stringify({model: sampleModel, messages: [{role: 'x', content: 1}]}),
    JSON.stringify({model: sampleModel, messages, max_tokens: -1}),
    JSON.stringify({model: sampleModel, messages, stream: 'yes'}),
    Buffer.from([0x7b, 0x22, 0xff, 0xfe, 0x22, 0x7d]),
    '['.repeat(100_000),
  ];
  for (const body of bodies)
    isRefused(t, await post(run, body), 400, 'invalid-request');
  await isAlive(t, run);
});

test('huge body', async t => {
  const run = await runDaemon(t, {}, {limits: {bodyBytes: 2048}});
  const body = JSON.stringify({padding: 'x'.repeat(100_000)});
  isRefused(t, await post(run, body), 413, 'body-too-large');
  isRefused(t, await post(run, body, '/orders/1'), 413, 'body-too-large');
  t.is(run.fleet.service.runs.length, 0);
  await isAlive(t, run);
});

test('huge body in chunks', async t => {
  const run = await runDaemon(t, {}, {limits: {bodyBytes: 2048}});
  const chunk = `1000\r\n${'x'.repeat(4096)}\r\n`;
  const answer = await sendRaw(
    t,
    run.daemon.addresses.callers,
    `POST ${completions} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
      `transfer-encoding: chunked\r\nconnection: close\r\n\r\n${chunk}0\r\n\r\n`,
  );
  t.regex(answer, /^HTTP\/1.1 413 /);
  t.regex(answer, /x-persimmonwick-ran: not-run/);
  await isAlive(t, run);
});

test('header flood', async t => {
  const run = await runDaemon(t, {}, {limits: {headerBytes: 2048}});
  const flood = Array.from({length: 500}, (_, index) => `x-${index}: y\r\n`);
  const answer = await sendRaw(
    t,
    run.daemon.addresses.callers,
    `GET /orders/1 HTTP/1.1\r\nhost: x\r\n${flood.join('')}\r\n`,
  );
  t.regex(answer, /^HTTP\/1.1 431 /);
  t.regex(answer, /x-persimmonwick-ran: not-run/);
  t.true(answer.includes('"code":"headers-too-large"'));
  const metrics = await request(
    `http://${run.daemon.addresses.operators}/metrics`,
  );
  t.regex(await metrics.body.text(), /code="headers-too-large"\} 1/);
  await isAlive(t, run);
});

test('not HTTP', async t => {
  const run = await runDaemon(t);
  const {callers} = run.daemon.addresses;
  const answer = await sendRaw(t, callers, '\u0016\u0003\u0001 hello\r\n\r\n');
  t.regex(answer, /^HTTP\/1.1 400 /);
  t.true(answer.includes('"code":"invalid-request"'));
  await isAlive(t, run);
});

test('no Host header and an unknown expectation', async t => {
  const run = await runDaemon(t);
  for (const header of ['', 'host: x\r\nexpect: miracles\r\n']) {
    const answer = await sendRaw(
      t,
      run.daemon.addresses.callers,
      `GET /orders/1 HTTP/1.1\r\n${header}authorization: ${authorization}\r\n` +
        'connection: close\r\n\r\n',
    );
    t.regex(answer, /^HTTP\/1.1 400 /);
    t.regex(answer, /x-persimmonwick-ran: not-run/);
    t.true(answer.includes('"code":"invalid-request"'));
  }
  t.is(run.fleet.service.runs.length, 0);
});

test('two lengths of one body', async t => {
  const run = await runDaemon(t);
  const answer = await sendRaw(
    t,
    run.daemon.addresses.callers,
    'POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n' +
      'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  );
  t.regex(answer, /^HTTP\/1.1 400 /);
  t.is(run.fleet.service.runs.length, 0);
});

test('slow sender', async t => {
  const run = await runDaemon(t, {}, {limits: {slowSenderMilliseconds: 1000}});
  const head =
    `POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
    'content-length: 100\r\n\r\nx';
  const {callers} = run.daemon.addresses;
  const [inBody, inHead] = await Promise.all([
    sendRaw(t, callers, head),
    sendRaw(t, callers, 'GET /orders HTTP/1.1\r\nhost:'),
  ]);
  for (const answer of [inBody, inHead]) {
    t.regex(answer, /^HTTP\/1.1 408 /);
    t.true(answer.includes('"code":"request-timeout"'));
  }
  t.is(run.fleet.service.runs.length, 0);
  await isAlive(t, run);
});

test('two Authorization headers', async t => {
  const run = await runDaemon(t);
  const answer = await sendRaw(
    t,
    run.daemon.addresses.callers,
    `GET /orders/1 HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
      `authorization: Bearer ${sampleKeys.lembaga}\r\nconnection: close\r\n\r\n`,
  );
  t.regex(answer, /^HTTP\/1.1 400 /);
  t.regex(answer, /x-persimmonwick-ran: not-run/);
  t.is(run.fleet.service.runs.length, 0);
});

test('malformed Authorization headers', async t => {
  const run = await runDaemon(t);
  for (const value of [
    'Basic eDp5',
    'Bearer',
    'Bearer a b',
    sampleKeys.batinah,
  ]) {
    const headers = {authorization: value};
    const answer = await run.call('/orders/1', {headers});
    t.is(answer.status, 400, value);
  }
  t.is((await run.call('/orders/1')).status, 401);
});

test('unknown model', async t => {
  const run = await runDaemon(t);
  const body = JSON.stringify({model: 'no-such-model', messages});
  isRefused(t, await post(run, body), 404, 'model-not-found');
});

test('path tricks', async t => {
  const run = await runDaemon(t);
  const paths = [
    '//orders/1',
    '/orders//1',
    '/orders/../kit-releases',
    '/orders/%2e%2e/kit-releases',
    '/orders/%2E%2E%2Fkit-releases',
    '/orders%2f1',
    '/orders/%5c',
    '/orders/\\..\\x',
    '/orders/%00',
    '/orders/%6bit',
    '/orders/%zz',
    '/%6frders/1',
  ];
  for (const path of paths) {
    const answer = await sendRaw(
      t,
      run.daemon.addresses.callers,
      `GET ${path} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\nconnection: close\r\n\r\n`,
    );
    t.regex(answer, /^HTTP\/1.1 400 /, path);
    t.regex(answer, /x-persimmonwick-ran: not-run/, path);
  }
  t.is(run.fleet.service.runs.length, 0);
});

test('path and method without a route', async t => {
  const run = await runDaemon(t);
  isRefused(t, await post(run, '{}', '/nowhere'), 404, 'route-not-found');
  isRefused(t, await post(run, '{}', '/ordersx'), 404, 'route-not-found');
  const long = `/nowhere/${'x'.repeat(5000)}`;
  isRefused(t, await post(run, '{}', long), 404, 'route-not-found');
});

test('key of another account', async t => {
  const run = await runDaemon(t);
  run.fleet.platform.publish({
    kind: 'Route',
    name: 'orders',
    spec: {
      accounts: {matchLabels: {member: 'lembaga'}},
      target: {
        kind: 'service',
        pathPrefix: '/orders',
        services: {matchLabels: {use: 'orders'}},
      },
    },
  } as {kind: string; name: string});
  let answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  while (answer.status === 201)
    answer = await run.call('/orders/1', {key: sampleKeys.batinah});
  const runs = run.fleet.service.runs.length;
  t.is(answer.status, 404);
  t.is(answer.headers['x-persimmonwick-ran'], 'not-run');
  await run.call('/orders/1', {key: sampleKeys.batinah});
  t.is(run.fleet.service.runs.length, runs);
  const other = await run.call('/orders/1', {key: sampleKeys.lembaga});
  t.is(other.status, 201);
});

test('fields that are not served are refused by name', async t => {
  const run = await runDaemon(t);
  const unserved: Record<string, unknown> = {
    n: 2,
    stop: ['\n'],
    tools: [{type: 'function', function: {name: 'f'}}],
    tool_choice: 'auto',
    functions: [{name: 'f'}],
    response_format: {type: 'json_object'},
    logprobs: true,
    logit_bias: {7: 1},
    modalities: ['text', 'audio'],
  };
  for (const [field, value] of Object.entries(unserved)) {
    const body = JSON.stringify({model: sampleModel, messages, [field]: value});
    const answer = await request(
      `http://${run.daemon.addresses.callers}${completions}`,
      {method: 'POST', headers: {authorization}, body},
    );
    const {error} = (await answer.body.json()) as {
      error: {type: string; message: string};
    };
    t.is(answer.statusCode, 400, field);
    t.is(error.type, 'invalid_request_error');
    t.regex(error.message, new RegExp(`\\b${field}\\b`));
  }
  await isAlive(t, run);
});

test('values that ask for nothing, hints and text parts are served', async t => {
  const run = await runDaemon(t);
  const parts = [
    {type: 'text', text: 'check '},
    {type: 'text', text: 'this'},
  ];
  const body = JSON.stringify({
    model: sampleModel,
    messages: [{role: 'user', content: parts}],
    max_tokens: 3,
    n: 1,
    stop: null,
    tools: [],
    response_format: {type: 'text'},
    logprobs: false,
    temperature: 0.2,
  });
  const answer = await request(
    `http://${run.daemon.addresses.callers}${completions}`,
    {method: 'POST', headers: {authorization}, body},
  );
  t.is(answer.statusCode, 200, await answer.body.text());
});

test('parts that are no text are refused', async t => {
  const run = await runDaemon(t);
  const image = {type: 'image_url', image_url: {url: 'x'}};
  const mixed = [{role: 'user', content: [image]}];
  const body = JSON.stringify({model: sampleModel, messages: mixed});
  isRefused(t, await post(run, body), 400, 'invalid-request');
});
