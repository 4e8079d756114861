/** Streams of the router cost bench: through the daemon and direct. */
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
const requestTimeoutMilliseconds = 20_000;

function post(address, path, body, headers = {}) {
  return send(`http://${address}${path}`, {
    method: 'POST',
    dispatcher,
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(requestTimeoutMilliseconds),
  });
}

/** Opens a stream through the daemon. */
export function openRouted(address, streamSpec) {
  return post(
    address,
    '/v1/chat/completions',
    {
      model: sampleModel,
      messages: [{role: 'user', content: streamSpec.prompt}],
      max_tokens: streamSpec.tokens,
      stream: true,
    },
    {authorization: `Bearer ${sampleKeys.batinah}`},
  );
}

/** Opens the same stream by calling the engines directly. */
export async function openDirect(addresses, streamSpec) {
  const attempt = {request: randomUUID(), attempt: randomUUID(), owner};
  const prefill =
    addresses.prefill[streamSpec.index % addresses.prefill.length];
  const decode = addresses.decode[streamSpec.index % addresses.decode.length];
  const prefilled = await post(prefill, '/prefill', {
    ...attempt,
    prompt: streamSpec.prompt,
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
    maximumTokens: streamSpec.tokens,
    offset: 0,
  });
}

/** Reads a stream to its end; returns its token times in milliseconds. */
export async function timeStream(open, streamSpec) {
  const start = performance.now();
  const response = await open(streamSpec);
  if (response.statusCode !== 200)
    throw new Error(`${response.statusCode}: ${await response.body.text()}`);
  const times = [];
  let now = start;
  const parser = createParser({
    onEvent: ({data}) => {
      if (times.length < streamSpec.tokens && data !== '[DONE]')
        times.push(now);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    now = performance.now();
    parser.feed(decoder.decode(chunk, {stream: true}));
  }
  if (times.length !== streamSpec.tokens)
    throw new Error(`received ${times.length} of ${streamSpec.tokens} tokens`);
  return {
    first: times[0] - start,
    gaps: times.slice(1).map((time, index) => time - times[index]),
  };
}
