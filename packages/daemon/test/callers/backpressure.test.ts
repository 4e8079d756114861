import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {VirtualClock, accountId, requestId} from '@persimmonwick/coordination';
import type {
  CompletionEvent,
  CompletionRequest,
} from '@persimmonwick/coordination';
import test from 'ava';
import type {FastifyReply} from 'fastify';
import {CallRecord} from '../../src/callers/call-record.js';
import {sendStreamedResponse} from '../../src/callers/completion-response.js';
import {silentLog} from '../../src/index.js';
import {RequestMetrics} from '../../src/operators/request-metrics.js';
import {createDeferred} from '../tools/deferred.js';

const request = {
  request: requestId('r'),
  account: accountId('a'),
  model: 'm',
  maximumTokens: 1_000_000,
} as CompletionRequest;

test('events are pulled only while the caller reads', async t => {
  const clock = new VirtualClock();
  const stalled = createDeferred();
  const responseEnded = createDeferred();
  let pulled = 0;
  let isGeneratorClosed = false;
  async function* produce(): AsyncGenerator<CompletionEvent> {
    try {
      for (; pulled < 1_000_000; pulled += 1)
        yield {kind: 'token', offset: pulled, text: 'x'.repeat(10_000)};
    } finally {
      isGeneratorClosed = true;
    }
  }
  const server = createServer(async (_request, raw) => {
    const write = raw.write.bind(raw);
    raw.write = ((data: string) => {
      const isBelowHighWaterMark = write(data);
      if (!isBelowHighWaterMark) stalled.resolve();
      return isBelowHighWaterMark;
    }) as typeof raw.write;
    const reply = {raw, hijack() {}, getHeaders: () => ({})};
    const call = new CallRecord(
      request.request,
      reply as unknown as FastifyReply,
      {
        clock,
        log: silentLog,
        observer: new RequestMetrics(clock),
        requestMilliseconds: 1000,
      },
    );
    raw.once('close', () => call.close());
    await sendStreamedResponse(
      reply as unknown as FastifyReply,
      request,
      produce(),
      call,
    );
    responseEnded.resolve();
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await stalled.promise;
  const pulledWhenStalled = pulled;
  await new Promise(done => setImmediate(done));
  t.true(pulled <= pulledWhenStalled + 1_000);
  socket.destroy();
  await responseEnded.promise;
  t.true(isGeneratorClosed);
});
