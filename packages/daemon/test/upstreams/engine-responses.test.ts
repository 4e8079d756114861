import test from 'ava';
import type {ExecutionContext} from 'ava';
import {getEventListeners} from 'node:events';
import type {Socket} from 'node:net';
import {upstreamId} from '@persimmonwick/coordination';
import type {DecodeRequest} from '@persimmonwick/coordination';
import {HttpEngine} from '../../src/upstreams/http-engine.js';
import {serveRaw, sleep} from '../passthrough/transport-tools.js';

const timeoutMilliseconds = 1000;
const neverAborted = () => new AbortController().signal;
const unframedHead = 'HTTP/1.1 200 OK\r\n\r\n';
const refusedHead = 'HTTP/1.1 503 Busy\r\n\r\n';
const fast = {partBytes: 64 * 1024, pauseMilliseconds: 1};
const slow = {partBytes: 1, pauseMilliseconds: 20};

/** Most bytes of a response that an engine client may take. */
const maximumTakenBytes = 64 << 20;

/** Bytes after which a server stops sending and keeps the connection. */
const sentBytesLimit = 128 << 20;

async function engineThat(
  t: ExecutionContext,
  onRequest: (socket: Socket) => void,
): Promise<HttpEngine> {
  const port = await serveRaw(t, onRequest);
  const address = `127.0.0.1:${port}`;
  const engine = new HttpEngine(
    upstreamId('u-1'),
    address,
    timeoutMilliseconds,
  );
  t.teardown(() => engine.close());
  return engine;
}

/** An engine that sends `head` and then `part` until its peer closes. */
async function endlessEngine(
  t: ExecutionContext,
  head: string,
  part: string,
  pauseMilliseconds: number,
) {
  const state = {sentBytes: 0, openConnections: 0};
  const engine = await engineThat(t, socket => {
    state.openConnections += 1;
    socket.write(head);
    const timer = setInterval(() => {
      if (socket.writableLength > 0 || state.sentBytes > sentBytesLimit) return;
      socket.write(part);
      state.sentBytes += part.length;
    }, pauseMilliseconds);
    socket.once('close', () => {
      state.openConnections -= 1;
      clearInterval(timer);
    });
  });
  return {engine, state};
}

async function outcomeOf(reply: Promise<{readonly isErr: boolean}>) {
  return Promise.race([
    reply.then(({isErr}) => (isErr ? 'failed' : 'succeeded')),
    sleep(6000).then(() => 'pending'),
  ]);
}

const decodeRequest = {} as DecodeRequest;

/** Reads a stream slowly; returns its number of tokens and its error. */
async function decode(engine: HttpEngine) {
  let tokens = 0;
  let hasLast = false;
  for await (const item of engine.decode(decodeRequest, neverAborted())) {
    if (item.isErr) return {tokens, error: item.error.kind, hasLast};
    tokens += 1;
    if (item.value.last) hasLast = true;
    await sleep(5);
  }
  return {tokens, error: undefined, hasLast};
}

for (const [pace, {partBytes, pauseMilliseconds}] of Object.entries({
  fast,
  slow,
}))
  for (const [name, head] of Object.entries({
    answer: unframedHead,
    refusal: refusedHead,
  }))
    test(`a ${pace} endless ${name} of an engine is given up`, async t => {
      const part = 'x'.repeat(partBytes);
      const {engine, state} = await endlessEngine(
        t,
        head,
        part,
        pauseMilliseconds,
      );
      t.is(await outcomeOf(engine.load(neverAborted())), 'failed');
      await sleep(100);
      t.is(state.openConnections, 0);
      t.true(state.sentBytes < maximumTakenBytes, `${state.sentBytes}`);
    });

test('an endless head of an engine is given up', async t => {
  const part = 'HTTP/1.1 102 Processing\r\n\r\n';
  const {engine, state} = await endlessEngine(t, '', part, 20);
  t.is(await outcomeOf(engine.load(neverAborted())), 'failed');
  await sleep(100);
  t.is(state.openConnections, 0);
});

test('an endless line of a stream of tokens is given up', async t => {
  const part = 'x'.repeat(fast.partBytes);
  const {engine, state} = await endlessEngine(
    t,
    `${unframedHead}data: `,
    part,
    fast.pauseMilliseconds,
  );
  const outcome = await Promise.race([
    decode(engine),
    sleep(6000).then(() => undefined),
  ]);
  t.is(outcome?.error, 'malformed');
  await sleep(100);
  t.is(state.openConnections, 0);
  t.true(state.sentBytes < maximumTakenBytes, `${state.sentBytes}`);
});

test('a JSON answer without a length that is reset is not taken for complete', async t => {
  const engine = await engineThat(t, socket => {
    socket.write(`${unframedHead}{}`);
    setTimeout(() => {
      socket.write(' ');
      socket.resetAndDestroy();
    }, 50);
  });
  t.is(await outcomeOf(engine.load(neverAborted())), 'failed');
});

const event = `data: {"text":"${'x'.repeat(1024)}"}\n\n`;

test('a stream without a length that ends while it is paused has all tokens', async t => {
  const engine = await engineThat(t, socket =>
    socket.end(unframedHead + event.repeat(200)),
  );
  t.like(await decode(engine), {tokens: 200, error: undefined});
});

const lastEvent = event.replace('}', ',"last":true}');

// The reader of the tokens of an attempt reports a stream without a last token
// as broken.
for (const [name, length] of [
  ['inside an event', 100],
  ['before the blank line of an event', lastEvent.length - 1],
] as const)
  test(`a stream that ends ${name} has no last token`, async t => {
    const engine = await engineThat(t, socket =>
      socket.end(unframedHead + event + lastEvent.slice(0, length)),
    );
    t.deepEqual(await decode(engine), {
      tokens: 1,
      error: undefined,
      hasLast: false,
    });
  });

test('a stream without a length that is reset is broken', async t => {
  const engine = await engineThat(t, socket => {
    socket.write(unframedHead + event);
    setTimeout(() => {
      socket.write(event);
      socket.resetAndDestroy();
    }, 50);
  });
  t.is((await decode(engine)).error, 'broken');
});

test('requests leave no listener on the signal of their caller', async t => {
  const signal = neverAborted();
  const replies = [`${unframedHead}{}`, refusedHead, 'no HTTP'];
  for (const reply of replies) {
    const engine = await engineThat(t, socket => socket.end(reply));
    for (let call = 0; call < 3; call += 1) await engine.load(signal);
  }
  t.is(getEventListeners(signal, 'abort').length, 0);
});
