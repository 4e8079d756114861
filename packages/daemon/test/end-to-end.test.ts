import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {runDaemon} from './tools/run-daemon.js';

const createChat = (stream: boolean) => ({
  model: sampleModel,
  messages: [{role: 'user', content: 'check the pinout of connector seven'}],
  max_tokens: 5,
  stream,
});

test('a streamed completion delivers every token and frees engine memory', async t => {
  const run = await runDaemon(t);
  const answer = await run.call('/v1/chat/completions', {
    method: 'POST',
    key: sampleKeys.batinah,
    body: createChat(true),
    headers: {'x-request-id': 'drawing-1'},
  });
  const events = answer.text.split('\n\n').filter(Boolean);
  t.is(answer.status, 200);
  t.is(answer.headers['x-request-id'], 'drawing-1');
  t.is(events.length, 7);
  t.true(events[4]!.includes('drawing-1:4 '));
  t.is(events[6], 'data: [DONE]');
  t.deepEqual(
    run.fleet.engines.map(engine => engine.heldTokens),
    [0, 0, 0, 0, 0],
  );
});

test('a non-streamed completion contains every token', async t => {
  const run = await runDaemon(t);
  const answer = await run.call('/v1/chat/completions', {
    method: 'POST',
    key: sampleKeys.lembaga,
    body: createChat(false),
    headers: {'x-request-id': 'r'},
  });
  const {choices} = JSON.parse(answer.text);
  t.is(choices[0].message.content, 'r:0 r:1 r:2 r:3 r:4 ');
});

test('a plain service receives the account but not the key', async t => {
  const run = await runDaemon(t);
  const answer = await run.call('/orders/17?full=1', {key: sampleKeys.batinah});
  t.is(answer.status, 201);
  const call = run.fleet.service.runs[0]!;
  t.is(call.path, '/orders/17?full=1');
  t.is(call.headers['x-client-account'], 'batinah');
  t.false(JSON.stringify(call).includes(sampleKeys.batinah));
});

test('a withdrawn key is refused', async t => {
  const run = await runDaemon(t);
  const answer = await run.call('/orders/17', {key: sampleKeys.withdrawn});
  t.is(answer.status, 401);
  t.is(answer.headers['x-persimmonwick-ran'], 'not-run');
  t.is(JSON.parse(answer.text).error.code, 'unknown-key');
});
