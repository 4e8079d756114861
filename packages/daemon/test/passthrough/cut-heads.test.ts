import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {Socket} from 'node:net';
import type {RequestFailure, RoutedCall} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {HttpHandoverTransport} from '../../src/passthrough/http-handover-transport.js';
import {
  createTransport,
  sampleCall,
  sampleStream,
  serveRaw,
  sleep,
  upstreamAt,
} from './transport-tools.js';
import type {TestTransport} from './transport-tools.js';

/** How an upstream stops in the middle of its answer. */
type Stop =
  | 'end'
  | 'reset'
  | 'end in parts'
  | 'end behind another answer'
  /** The first half of the head comes with an earlier answer. */
  | 'end behind left-over bytes';

const stops: readonly Stop[] = [
  'end',
  'reset',
  'end in parts',
  'end behind another answer',
  'end behind left-over bytes',
];

const framings = {
  'a length': 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n',
  chunks:
    'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n',
  'the end of the connection':
    'HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n',
  'an older version': 'HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n',
  'an informational response':
    'HTTP/1.1 103 Early\r\nX-Id: 0\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
} as const;

const earlierAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

const notUsed: RequestFailure = {
  code: 'internal',
  message: 'not used',
  ran: 'not-run',
};

const options = {
  remainingMilliseconds: 2000,
  headersTimeoutMilliseconds: 2000,
  needsNewConnection: false,
};

async function stopAfter(
  socket: Socket,
  text: string,
  stop: Stop,
): Promise<void> {
  if (stop === 'end in parts')
    for (const character of [text.slice(0, -1), text.slice(-1)]) {
      socket.write(character);
      await sleep(1);
    }
  else if (text !== '') socket.write(text);
  if (stop !== 'reset') socket.end();
  // A reset that is sent at once could overtake the bytes.
  else setTimeout(() => socket.resetAndDestroy(), 2);
}

/** What the sender of a call has after it: an error, or the complete body. */
async function outcomeOf(
  {transport}: TestTransport,
  port: number,
  call: typeof sampleCall,
): Promise<string> {
  const {signal} = new AbortController();
  const sent = await transport.send(upstreamAt(port), call, options, signal);
  if (sent.isErr) return sent.error.kind;
  let body = '';
  try {
    for await (const chunk of sent.value.body) body += String(chunk);
  } catch {
    return 'interrupted';
  }
  return `complete: ${body}`;
}

/** Serves a whole answer first if the cut one comes behind it. */
async function serveCut(
  t: ExecutionContext,
  text: string,
  stop: Stop,
): Promise<number> {
  let count = 0;
  return serveRaw(t, socket => {
    const answer = () => {
      count += 1;
      const half = Math.floor(text.length / 2);
      if (stop === 'end behind another answer' && count === 1)
        socket.write(earlierAnswer);
      else if (stop === 'end behind left-over bytes' && count === 1)
        socket.write(earlierAnswer + text.slice(0, half));
      else if (stop === 'end behind left-over bytes' && count === 2)
        void stopAfter(socket, text.slice(half), 'end in parts');
      else void stopAfter(socket, text, stop);
    };
    answer();
    socket.on('data', answer);
  });
}

// Against: an answer that stops in its head reaches the caller as a whole one.
for (const [framing, head] of Object.entries(framings))
  for (const stop of stops)
    test(`no answer with ${framing} is complete that stops in its head: ${stop}`, async t => {
      const fixture = createTransport(t);
      const cuts = Array.from({length: head.length}, (_, cut) => cut);
      const isHeadOnly = (cut: number) =>
        cut < head.lastIndexOf('\r\n\r\n') + 4;
      const complete: string[] = [];
      for (const cut of cuts.filter(isHeadOnly)) {
        const port = await serveCut(t, head.slice(0, cut), stop);
        for (const call of [sampleCall, sampleStream]) {
          const isBehind = stop.startsWith('end behind');
          if (isBehind)
            t.is(await outcomeOf(fixture, port, call), 'complete: ok');
          const outcome = await outcomeOf(fixture, port, call);
          if (outcome.startsWith('complete'))
            complete.push(`${cut} ${outcome}`);
          if (isBehind) break;
        }
      }
      t.deepEqual(complete, []);
    });

// Against: the same for what engines grant, whose answers are read as a whole.
for (const stop of ['end', 'reset', 'end in parts'] as const)
  test(`no grant is read of an answer that stops early: ${stop}`, async t => {
    const {transport} = createTransport(t);
    const whole = `${framings['a length']}grant`;
    const granted: string[] = [];
    for (let cut = 0; cut < whole.length; cut += 1) {
      const port = await serveCut(t, whole.slice(0, cut), stop);
      const upstream = upstreamAt(port);
      const {signal} = new AbortController();
      const grants = await Promise.all([
        transport.prefill(upstream, sampleCall, options, signal),
        transport.reserve(upstream, 1, 100, signal),
        transport.releaseCache({upstream, handle: 'handle'}),
      ]);
      if (grants.some(({isOk}) => isOk)) granted.push(whole.slice(0, cut));
    }
    t.deepEqual(granted, []);
  });

// Against: the same for a call that was handed over to another host.
test('no answer of another host is complete that stops in its head', async t => {
  const {connections} = createTransport(t);
  const handover = new HttpHandoverTransport(
    connections,
    {
      parseCall: () => Result.err(notUsed),
      handoverHeaders: () => [],
      failureHeaders: () => [],
    },
    {handoverRefusalOf: () => undefined},
  );
  const call = {
    ...sampleCall,
    route: {target: {repeatable: true}},
  } as RoutedCall;
  const {signal} = new AbortController();
  const head = framings['the end of the connection'];
  const complete: number[] = [];
  for (let cut = 0; cut < head.length; cut += 1) {
    const port = await serveCut(t, head.slice(0, cut), 'end in parts');
    const address = `127.0.0.1:${port}`;
    const answer = await handover.handOver(address, call, 2000, signal);
    if (answer.isOk) complete.push(cut);
  }
  t.deepEqual(complete, []);
});
