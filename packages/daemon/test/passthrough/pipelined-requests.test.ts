/** Requests that callers write behind others, in pieces of any size. */

import test from 'ava';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {Result} from 'true-myth';
import {openRawConnection} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

/** Serves responses of two parts that repeat the body of the request. */
const echo = {
  authorize: () => openRoute,
  forward: async (_call: unknown, _routing: unknown, body: Uint8Array) =>
    Result.ok({
      status: 200,
      headers: [],
      body: (async function* () {
        yield Buffer.from('[');
        await sleep(Number(String.fromCharCode(body[0]!)));
        yield Buffer.concat([body, Buffer.from(']')]);
      })(),
    }),
};

const requests = fc.array(
  fc.record({
    milliseconds: fc.integer({min: 0, max: 9}),
    size: fc.integer({min: 0, max: 900}),
    isChunked: fc.boolean(),
  }),
  {minLength: 1, maxLength: 6},
);

const bodyOf = (milliseconds: number, size: number, index: number) =>
  `${milliseconds}-${index}-${'x'.repeat(size)}`;

function requestText(body: string, isChunked: boolean, isLast: boolean) {
  const [framing, text] = isChunked
    ? [
        'transfer-encoding: chunked',
        `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
      ]
    : [`content-length: ${body.length}`, body];
  const end = isLast ? 'connection: close\r\n' : '';
  return `POST /a HTTP/1.1\r\nhost: x\r\n${end}${framing}\r\n\r\n${text}`;
}

// Against: a byte behind a call is lost, or is never handed on.
test('requests in pieces of any size are answered in their order', async t => {
  const {address} = await startServer(t, echo);
  const cuts = fc.array(fc.double({min: 0, max: 1, noNaN: true}), {
    maxLength: 12,
  });
  const pause = fc.integer({min: 0, max: 3});
  await fc.assert(
    fc.asyncProperty(requests, cuts, pause, async (list, places, wait) => {
      const bodies = list.map(({milliseconds, size}, index) =>
        bodyOf(milliseconds, size, index),
      );
      const text = bodies
        .map((body, index) =>
          requestText(body, list[index]!.isChunked, index + 1 === list.length),
        )
        .join('');
      const ends = places.map(place => Math.round(place * text.length));
      const {socket, response} = openRawConnection(t, address);
      socket.setNoDelay(true);
      let start = 0;
      for (const end of [...ends.sort((a, b) => a - b), text.length]) {
        socket.write(text.slice(start, end));
        start = end;
        await sleep(wait);
      }
      const received = [
        ...(await response).matchAll(/\[\r\n[0-9a-f]+\r\n(.*)\]/g),
      ].map(([, body]) => body);
      t.deepEqual(received, bodies);
    }),
    {numRuns: 40, seed: 56, endOnFailure: true},
  );
});

test('a request is answered wherever it is split behind another', async t => {
  const {address} = await startServer(t, echo);
  const first = requestText('5-a', false, false);
  const second = requestText('0-b', true, true);
  const answers = await Promise.all(
    Array.from({length: second.length}, async (_, position) => {
      const {socket, response} = openRawConnection(t, address);
      socket.setNoDelay(true);
      socket.write(first);
      await sleep(2);
      socket.write(second.slice(0, position));
      await sleep(8);
      socket.write(second.slice(position));
      return (await response).match(/\d-[ab]/g);
    }),
  );
  for (const answer of answers) t.deepEqual(answer, ['5-a', '0-b']);
});
