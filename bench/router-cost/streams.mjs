/** Streams of the cost bench: through the daemon and straight to the fakes. */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {createParser} from 'eventsource-parser';
import {Agent, request as send} from 'undici';
import {
  sampleKeys,
  sampleModel,
} from '../../packages/standins/dist/src/index.js';

const dispatcher = new Agent({connections: 512, pipelining: 1});
const owner = {host: 'bench', incarnation: 'bench'};
const maximumTimeMilliseconds = 20_000;

function post(address, path, body, headers = {}) {
  return send(`http://${address}${path}`, {
    method: 'POST',
    dispatcher,
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(maximumTimeMilliseconds),
  });
}

/** A stream through the daemon. */
export function openRouted(address, plan) {
  return post(
    address,
    '/v1/chat/completions',
    {
      model: sampleModel,
      messages: [{role: 'user', content: plan.prompt}],
      max_tokens: plan.tokens,
      stream: true,
    },
    {authorization: `Bearer ${sampleKeys.batinah}`},
  );
}

/** The calls that an engine needs for the same stream, with no router. */
export async function openDirect(fakes, plan) {
  const attempt = {request: randomUUID(), attempt: randomUUID(), owner};
  const prefill = fakes.prefill[plan.index % fakes.prefill.length];
  const decode = fakes.decode[plan.index % fakes.decode.length];
  const prefilled = await post(prefill, '/prefill', {
    ...attempt,
    prompt: plan.prompt,
    cacheScope: 'bench',
  });
  const {handle} = await prefilled.body.json();
  const imported = await post(decode, '/kv/import', {
    ...attempt,
    sourceAddress: prefill,
    handle,
  });
  await imported.body.dump();
  return post(decode, '/decode', {
    ...attempt,
    maximumTokens: plan.tokens,
    offset: 0,
  });
}

/** Reads a stream to its end; returns its times in milliseconds. */
export async function timeStream(open, plan) {
  const start = performance.now();
  const answer = await open(plan);
  if (answer.statusCode !== 200)
    throw new Error(`${answer.statusCode}: ${await answer.body.text()}`);
  const times = [];
  let now = start;
  const parser = createParser({
    onEvent: ({data}) => {
      if (times.length < plan.tokens && data !== '[DONE]') times.push(now);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of answer.body) {
    now = performance.now();
    parser.feed(decoder.decode(chunk, {stream: true}));
  }
  if (times.length !== plan.tokens)
    throw new Error(`${times.length} of ${plan.tokens} tokens`);
  return {
    first: times[0] - start,
    gaps: times.slice(1).map((time, index) => time - times[index]),
  };
}
