import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {runDaemon} from '../tools/run-daemon.js';

const marks = {
  prompt: 'MARKED-PROMPT',
  badKey: 'MARKED-KEY',
  query: 'MARKED-QUERY',
};

test('keys, prompts and answers are never logged', async t => {
  const run = await runDaemon(t);
  const post = (body: unknown, key: string = sampleKeys.batinah) =>
    run.call('/v1/chat/completions', {
      method: 'POST',
      key,
      body,
      headers: {'x-request-id': 'id-1', 'idempotency-key': marks.badKey},
    });
  const messages = [{role: 'user', content: marks.prompt}];
  const answers = [
    await post({model: sampleModel, messages, max_tokens: 3}),
    await post({model: sampleModel, messages, max_tokens: 3, stream: true}),
    await post({model: marks.prompt, messages}),
    await post({model: sampleModel, messages: marks.prompt}),
    await post({model: sampleModel, messages}, marks.badKey),
    await run.call(`/orders/1?q=${marks.query}`, {key: sampleKeys.batinah}),
    await run.call(`/${marks.query}`, {key: sampleKeys.withdrawn}),
  ];
  t.deepEqual(
    answers.map(({status}) => status),
    [200, 200, 404, 400, 401, 201, 401],
  );
  const count = () =>
    run.log.eventsOf('requestFinished').length +
    run.log.eventsOf('requestFailed').length;
  while (count() < answers.length)
    await new Promise(done => setImmediate(done));
  const written = JSON.stringify(run.log.events);
  // The fake engine builds its answers from the request id.
  const secrets = [
    ...Object.values(marks),
    ...Object.values(sampleKeys),
    'id-1:0',
  ];
  for (const secret of secrets) t.false(written.includes(secret), secret);
  for (const {text} of answers)
    for (const key of [marks.badKey, ...Object.values(sampleKeys)])
      t.false(text.includes(key));
});
