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
  readonly ranHeader: unknown;
}

async function post(
  fixture: DaemonWithFleet,
  body: string | Buffer | undefined,
  path = completions,
): Promise<Failure> {
  const response = await request(
    `http://${fixture.daemon.addresses.callers}${path}`,
    {
      method: 'POST',
      headers: {authorization, 'content-type': 'application/json'},
      body,
    },
  );
  const {error} = (await response.body.json()) as {
    error: {code: string; ran: string};
  };
  const ranHeader = response.headers['x-persimmonwick-ran'];
  return {
    status: response.statusCode,
    code: error.code,
    ran: error.ran,
    ranHeader,
  };
}

function assertRejected(
  t: ExecutionContext,
  failure: Failure,
  status: number,
  code: string,
): void {
  const ran = 'not-run';
  t.deepEqual(failure, {status, code, ran, ranHeader: ran});
}

async function assertStillServing(
  t: ExecutionContext,
  fixture: DaemonWithFleet,
) {
  const response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(response.status, 201);
}

const messages = [{role: 'user', content: 'x'}];

test('malformed bodies are rejected', async t => {
  const fixture = await runDaemon(t);
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
    assertRejected(t, await post(fixture, body), 400, 'invalid-request');
  await assertStillServing(t, fixture);
});

test('a body above the size limit is rejected', async t => {
  const fixture = await runDaemon(t, {}, {limits: {bodyBytes: 2048}});
  const body = JSON.stringify({padding: 'x'.repeat(100_000)});
  assertRejected(t, await post(fixture, body), 413, 'body-too-large');
  assertRejected(
    t,
    await post(fixture, body, '/orders/1'),
    413,
    'body-too-large',
  );
  t.is(fixture.fleet.service.runs.length, 0);
  await assertStillServing(t, fixture);
});

test('a chunked body above the size limit is rejected', async t => {
  const fixture = await runDaemon(t, {}, {limits: {bodyBytes: 2048}});
  const chunk = `1000\r\n${'x'.repeat(4096)}\r\n`;
  const response = await sendRaw(
    t,
    fixture.daemon.addresses.callers,
    `POST ${completions} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
      `transfer-encoding: chunked\r\nconnection: close\r\n\r\n${chunk}0\r\n\r\n`,
  );
  t.regex(response, /^HTTP\/1.1 413 /);
  t.regex(response, /x-persimmonwick-ran: not-run/);
  await assertStillServing(t, fixture);
});

test('headers above the size limit are rejected', async t => {
  const fixture = await runDaemon(t, {}, {limits: {headerBytes: 2048}});
  const headerLines = Array.from(
    {length: 500},
    (_, index) => `x-${index}: y\r\n`,
  );
  const response = await sendRaw(
    t,
    fixture.daemon.addresses.callers,
    `GET /orders/1 HTTP/1.1\r\nhost: x\r\n${headerLines.join('')}\r\n`,
  );
  t.regex(response, /^HTTP\/1.1 431 /);
  t.regex(response, /x-persimmonwick-ran: not-run/);
  t.true(response.includes('"code":"headers-too-large"'));
  const metrics = await request(
    `http://${fixture.daemon.addresses.operators}/metrics`,
  );
  t.regex(await metrics.body.text(), /code="headers-too-large"\} 1/);
  await assertStillServing(t, fixture);
});

test('input that is not HTTP is rejected', async t => {
  const fixture = await runDaemon(t);
  const {callers} = fixture.daemon.addresses;
  const response = await sendRaw(
    t,
    callers,
    '\u0016\u0003\u0001 hello\r\n\r\n',
  );
  t.regex(response, /^HTTP\/1.1 400 /);
  t.true(response.includes('"code":"invalid-request"'));
  await assertStillServing(t, fixture);
});

test('a missing Host header and an unknown expectation are rejected', async t => {
  const fixture = await runDaemon(t);
  for (const header of ['', 'host: x\r\nexpect: unknown\r\n']) {
    const response = await sendRaw(
      t,
      fixture.daemon.addresses.callers,
      `GET /orders/1 HTTP/1.1\r\n${header}authorization: ${authorization}\r\n` +
        'connection: close\r\n\r\n',
    );
    t.regex(response, /^HTTP\/1.1 400 /);
    t.regex(response, /x-persimmonwick-ran: not-run/);
    t.true(response.includes('"code":"invalid-request"'));
  }
  t.is(fixture.fleet.service.runs.length, 0);
});

test('Content-Length together with Transfer-Encoding is rejected', async t => {
  const fixture = await runDaemon(t);
  const response = await sendRaw(
    t,
    fixture.daemon.addresses.callers,
    'POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n' +
      'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  );
  t.regex(response, /^HTTP\/1.1 400 /);
  t.is(fixture.fleet.service.runs.length, 0);
});

test('a request that arrives too slowly times out', async t => {
  const fixture = await runDaemon(
    t,
    {},
    {limits: {slowSenderMilliseconds: 1000}},
  );
  const head =
    `POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
    'content-length: 100\r\n\r\nx';
  const {callers} = fixture.daemon.addresses;
  const [inBody, inHead] = await Promise.all([
    sendRaw(t, callers, head),
    sendRaw(t, callers, 'GET /orders HTTP/1.1\r\nhost:'),
  ]);
  for (const response of [inBody, inHead]) {
    t.regex(response, /^HTTP\/1.1 408 /);
    t.true(response.includes('"code":"request-timeout"'));
  }
  t.is(fixture.fleet.service.runs.length, 0);
  // Against: the server ends the connection, and the log says that the caller left.
  t.like(fixture.log.eventsOf('requestFailed'), [
    {status: 408, code: 'request-timeout', ran: 'not-run', cause: ''},
  ]);
  await assertStillServing(t, fixture);
});

test('a malformed body is not logged as caller-gone', async t => {
  const fixture = await runDaemon(t);
  const response = await sendRaw(
    t,
    fixture.daemon.addresses.callers,
    `POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
      'transfer-encoding: chunked\r\n\r\nno size\r\n',
  );
  t.regex(response, /^HTTP\/1.1 400 /);
  t.like(fixture.log.eventsOf('requestFailed'), [
    {status: 400, code: 'invalid-request', ran: 'not-run', cause: ''},
  ]);
});

test('two Authorization headers are rejected', async t => {
  const fixture = await runDaemon(t);
  const response = await sendRaw(
    t,
    fixture.daemon.addresses.callers,
    `GET /orders/1 HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n` +
      `authorization: Bearer ${sampleKeys.lembaga}\r\nconnection: close\r\n\r\n`,
  );
  t.regex(response, /^HTTP\/1.1 400 /);
  t.regex(response, /x-persimmonwick-ran: not-run/);
  t.is(fixture.fleet.service.runs.length, 0);
});

test('malformed Authorization headers are rejected', async t => {
  const fixture = await runDaemon(t);
  for (const value of [
    'Basic eDp5',
    'Bearer',
    'Bearer a b',
    sampleKeys.batinah,
  ]) {
    const headers = {authorization: value};
    const response = await fixture.call('/orders/1', {headers});
    t.is(response.status, 400, value);
  }
  t.is((await fixture.call('/orders/1')).status, 401);
});

test('an unknown model is rejected', async t => {
  const fixture = await runDaemon(t);
  const body = JSON.stringify({model: 'no-such-model', messages});
  assertRejected(t, await post(fixture, body), 404, 'model-not-found');
});

test('ambiguous paths are rejected', async t => {
  const fixture = await runDaemon(t);
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
    const response = await sendRaw(
      t,
      fixture.daemon.addresses.callers,
      `GET ${path} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\nconnection: close\r\n\r\n`,
    );
    t.regex(response, /^HTTP\/1.1 400 /, path);
    t.regex(response, /x-persimmonwick-ran: not-run/, path);
  }
  t.is(fixture.fleet.service.runs.length, 0);
});

test('a path without a route is rejected', async t => {
  const fixture = await runDaemon(t);
  assertRejected(
    t,
    await post(fixture, '{}', '/nowhere'),
    404,
    'route-not-found',
  );
  assertRejected(
    t,
    await post(fixture, '{}', '/ordersx'),
    404,
    'route-not-found',
  );
  const longPath = `/nowhere/${'x'.repeat(5000)}`;
  assertRejected(
    t,
    await post(fixture, '{}', longPath),
    404,
    'route-not-found',
  );
});

test('a route is hidden from the key of another account', async t => {
  const fixture = await runDaemon(t);
  fixture.fleet.platform.publish({
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
  let response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  // The call succeeds until the published route applies.
  while (response.status === 201)
    response = await fixture.call('/orders/1', {key: sampleKeys.batinah});
  const runCount = fixture.fleet.service.runs.length;
  t.is(response.status, 404);
  t.is(response.headers['x-persimmonwick-ran'], 'not-run');
  await fixture.call('/orders/1', {key: sampleKeys.batinah});
  t.is(fixture.fleet.service.runs.length, runCount);
  const otherResponse = await fixture.call('/orders/1', {
    key: sampleKeys.lembaga,
  });
  t.is(otherResponse.status, 201);
});

test('the error names the unsupported field', async t => {
  const fixture = await runDaemon(t);
  const unsupported: Record<string, unknown> = {
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
  for (const [field, value] of Object.entries(unsupported)) {
    const body = JSON.stringify({model: sampleModel, messages, [field]: value});
    const response = await request(
      `http://${fixture.daemon.addresses.callers}${completions}`,
      {method: 'POST', headers: {authorization}, body},
    );
    const {error} = (await response.body.json()) as {
      error: {type: string; message: string};
    };
    t.is(response.statusCode, 400, field);
    t.is(error.type, 'invalid_request_error');
    t.regex(error.message, new RegExp(`\\b${field}\\b`));
  }
  await assertStillServing(t, fixture);
});

test('values without effect, hints and text parts are accepted', async t => {
  const fixture = await runDaemon(t);
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
  const response = await request(
    `http://${fixture.daemon.addresses.callers}${completions}`,
    {method: 'POST', headers: {authorization}, body},
  );
  t.is(response.statusCode, 200, await response.body.text());
});

test('content parts other than text are rejected', async t => {
  const fixture = await runDaemon(t);
  const image = {type: 'image_url', image_url: {url: 'x'}};
  const imageMessages = [{role: 'user', content: [image]}];
  const body = JSON.stringify({model: sampleModel, messages: imageMessages});
  assertRejected(t, await post(fixture, body), 400, 'invalid-request');
});
