import test from 'ava';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createTransport, sampleCall, upstreamAt} from './transport-tools.js';

const options = (needsNewConnection: boolean) => ({
  remainingMilliseconds: 1000,
  headersTimeoutMilliseconds: 1000,
  needsNewConnection,
});

// Against: what becomes known while a connection is opened is not looked at any more.
for (const needsNewConnection of [true, false])
  test(`a refused send writes nothing: ${needsNewConnection ? 'new' : 'kept'} connection`, async t => {
    let requests = 0;
    const server = createServer((_request, response) => {
      requests += 1;
      response.end('done');
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.teardown(() => server.close());
    let mayBeSent = true;
    const {transport} = createTransport(t, () =>
      mayBeSent ? undefined : 'host-stopping',
    );
    const upstream = upstreamAt((server.address() as AddressInfo).port);
    const {signal} = new AbortController();
    const send = async () => {
      const sent = await transport.send(
        upstream,
        sampleCall,
        options(needsNewConnection),
        signal,
      );
      if (sent.isErr) return sent.error;
      for await (const _ of sent.value.body) continue;
      return sent.value.status;
    };
    t.is(await send(), 200);
    mayBeSent = false;
    t.like(await send(), {kind: 'withheld', reason: 'host-stopping'});
    t.is(requests, 1);
    mayBeSent = true;
    t.is(await send(), 200);
    t.is(requests, 2);
  });
