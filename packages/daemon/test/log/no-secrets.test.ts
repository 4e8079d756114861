import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {runDaemon} from '../tools/run-daemon.js';

const secretMarkers = {
  prompt: 'MARKED-PROMPT',
  unknownKey: 'MARKED-KEY',
  query: 'MARKED-QUERY',
};

test('keys, prompts and answers are never logged', async t => {
  const run = await runDaemon(t);
  const post = (body: unknown, key: string = sampleKeys.batinah) =>
    run.call('/v1/chat/completions', {
      method: 'POST',
      key,
      body,
      headers: {
        'x-request-id': 'id-1',
        'idempotency-key': secretMarkers.unknownKey,
      },
    });
  const messages = [{role: 'user', content: secretMarkers.prompt}];
  const answers = [
    await post({model: sampleModel, messages, max_tokens: 3}),
    await post({model: sampleModel, messages, max_tokens: 3, stream: true}),
    await post({model: secretMarkers.prompt, messages}),
    await post({model: sampleModel, messages: secretMarkers.prompt}),
    await post({model: sampleModel, messages}, secretMarkers.unknownKey),
    await run.call(`/orders/1?q=${secretMarkers.query}`, {
      key: sampleKeys.batinah,
    }),
    await run.call(`/${secretMarkers.query}`, {key: sampleKeys.withdrawn}),
  ];
  t.deepEqual(
    answers.map(({status}) => status),
    [200, 200, 404, 400, 401, 201, 401],
  );
  const countOutcomes = () =>
    run.log.eventsOf('requestFinished').length +
    run.log.eventsOf('requestFailed').length;
  while (countOutcomes() < answers.length)
    await new Promise(done => setImmediate(done));
  const written = JSON.stringify(run.log.events);
  // The fake engine builds its answers from the request id.
  const secrets = [
    ...Object.values(secretMarkers),
    ...Object.values(sampleKeys),
    'id-1:0',
  ];
  for (const secret of secrets) t.false(written.includes(secret), secret);
  for (const {text} of answers)
    for (const key of [secretMarkers.unknownKey, ...Object.values(sampleKeys)])
      t.false(text.includes(key));
});
