import {sampleKeys, sampleModel} from '@persimmonwick/standins';
import test from 'ava';
import {openRawConnection} from '../tools/raw-connection.js';
import {runDaemon} from '../tools/run-daemon.js';

const requestText = (line: string, body: string) =>
  `${line} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${sampleKeys.batinah}\r\n` +
  `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

const completionText = (stream: boolean) =>
  requestText(
    'POST /v1/chat/completions',
    JSON.stringify({
      model: sampleModel,
      messages: [{role: 'user', content: 'check the pinout'}],
      max_tokens: 20,
      stream,
    }),
  );

// Against: the end of the caller's direction is taken for a disconnect, and the call
// runs without an answer.
for (const [title, text, ending] of [
  ['service call', requestText('POST /orders/1', '{}'), '"'],
  ['completion', completionText(false), 'usage'],
  ['stream', completionText(true), '[DONE]'],
] as const)
  for (const milliseconds of [0, 20])
    test(`a ${title} of a caller that half-closes after ${milliseconds} ms is answered`, async t => {
      const {daemon} = await runDaemon(t);
      const call = openRawConnection(t, daemon.addresses.callers);
      call.socket.write(text);
      setTimeout(() => call.socket.end(), milliseconds);
      const response = await call.response;
      // An interim response may come first.
      t.regex(
        response,
        /^(HTTP\/1\.1 100 Continue\r\n\r\n)?HTTP\/1\.1 20[01] /,
      );
      t.true(response.includes(ending), response);
    });
