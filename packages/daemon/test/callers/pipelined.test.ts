import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {openRawConnection, waitUntil} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';

const requestText = (line: string, body: string) =>
  `${line} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleKeys.batinah}\r\n` +
  `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

const orderText = requestText('POST /orders/1', '{}');

const completionText = (stream: boolean, maximumTokens = 20) =>
  requestText(
    'POST /v1/chat/completions',
    JSON.stringify({
      model: sampleModel,
      messages: [{role: 'user', content: 'check the pinout'}],
      max_tokens: maximumTokens,
      stream,
    }),
  );

const statusesIn = (text: string) =>
  [...text.matchAll(/HTTP\/1\.1 ([2-5]\d\d) /g)].map(([, status]) => status);

// Against: the response to bytes that are no request discards those before it, or is
// written into one of them.
test('garbage behind a service call leaves its response', async t => {
  const {daemon, fleet} = await runDaemon(t);
  fleet.service.delayMilliseconds = 200;
  const {socket, response} = openRawConnection(t, daemon.addresses.callers);
  socket.write(orderText);
  await waitUntil(() => fleet.service.runs.length === 1);
  socket.write('GARBAGE\r\n\r\n');
  t.deepEqual(statusesIn(await response), ['201', '400']);
});

test('garbage behind a stream leaves it whole', async t => {
  const {daemon} = await runDaemon(t);
  const {socket, response} = openRawConnection(t, daemon.addresses.callers);
  socket.write(completionText(true));
  await new Promise(done => socket.once('data', done));
  socket.write('GARBAGE\r\n\r\n');
  const [stream, rest] = (await response).split('0\r\n\r\n');
  t.true(stream!.includes('[DONE]'));
  t.regex(rest!, /^HTTP\/1\.1 400 /);
});

// Against: the response to the first call announces the end of the connection, and the
// calls behind it run without an answer.
test('calls behind another are answered when the host stops', async t => {
  const {daemon, fleet} = await runDaemon(t);
  const {socket, response} = openRawConnection(t, daemon.addresses.callers);
  socket.write(completionText(false) + orderText);
  await waitUntil(() => fleet.service.runs.length === 1);
  const stopped = daemon.close();
  t.deepEqual(statusesIn(await response), ['200', '201']);
  await stopped;
});

// Against: a call behind a stream runs beside it when the host can't wait for its turn.
test('a call behind a stream that a stop ends is refused', async t => {
  const {daemon, fleet} = await runDaemon(t);
  const {socket, response} = openRawConnection(t, daemon.addresses.callers);
  socket.write(completionText(true, 100_000) + orderText);
  await new Promise(done => socket.once('data', done));
  const stopped = daemon.close();
  t.deepEqual(statusesIn(await response), ['200', '503']);
  t.is(fleet.service.runs.length, 0);
  await stopped;
});
