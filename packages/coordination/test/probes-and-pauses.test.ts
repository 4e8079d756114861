/** What a host concludes from its own timers behind a pause of its process. */

import test from 'ava';
import type {ExecutionContext} from 'ava';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {Result} from 'true-myth';
import {ReachabilityProbes, UpstreamTable, systemClock} from '../src/index.js';
import type {RoutedCall, UpstreamDocument} from '../src/index.js';
import {silenceBoundOf} from '../src/decisions/link-silence.js';
import type {PassthroughResponse} from '../src/passthrough/call.js';
import {watchSilence} from '../src/passthrough/silence-watch.js';

function standStillUntil(time: number): void {
  while (performance.now() < time);
}

async function serve(
  t: ExecutionContext,
  onConnection: (socket: Socket) => void,
): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}

function tableOf(...names: string[]): UpstreamTable {
  const upstreams = new UpstreamTable(systemClock);
  const documentOf = (name: string) =>
    ({
      kind: 'Upstream',
      name,
      labels: {service: 'test'},
      spec: {address: `${name}:80`, failureDomain: 'a'},
    }) as UpstreamDocument;
  upstreams.replace(new Map(names.map(name => [name, documentOf(name)])));
  return upstreams;
}

const find = (upstreams: UpstreamTable, name: string) =>
  upstreams.inFailureDomain('a').find(each => each.document.name === name)!;

// Against: the timer of the silence runs before the answer that waits is read.
test.serial(
  'an upstream that answered during a pause of the process is not silent',
  async t => {
    const bound = silenceBoundOf(undefined);
    let pauseEnd = 0;
    const port = await serve(t, socket =>
      socket.once('data', () => {
        socket.write('answer');
        // Ends less than 100 ms behind the bound.
        process.nextTick(() => standStillUntil(pauseEnd));
      }),
    );
    const client = connect(port, '127.0.0.1');
    t.teardown(() => client.destroy());
    await once(client, 'connect');
    const upstreams = tableOf('a-1');
    const upstream = find(upstreams, 'a-1');
    let silences = 0;
    upstreams.subscribeSilence(() => (silences += 1));
    const head = once(client, 'data').then(() =>
      Result.ok({} as PassthroughResponse),
    );
    pauseEnd = performance.now() + bound + 50;
    client.write('request');
    await watchSilence(systemClock, {
      call: {route: {}} as unknown as RoutedCall,
      upstream,
      head: head as never,
      needsNewConnection: true,
    });
    await head;
    t.is(silences, 0);
  },
);

// Against: an upstream next to an unreachable one is suspended, though its connection
// was made, because the process stood still for longer than its 50 ms.
for (const pauseMilliseconds of [80, 200])
  test.serial(
    `a neighbour that is reached is not suspended after a pause of ${pauseMilliseconds} ms`,
    async t => {
      const port = await serve(t, () => undefined);
      const upstreams = tableOf('a-1', 'a-2');
      const changes: string[] = [];
      const probes = new ReachabilityProbes({
        clock: systemClock,
        upstreams,
        transport: {
          probe: ({name}) =>
            new Promise(resolve => {
              if (name === 'a-1') return resolve(false);
              const socket = connect(port, '127.0.0.1');
              socket.once('connect', () => {
                socket.destroy();
                resolve(true);
              });
            }),
          exchange: () => Promise.resolve(true),
        },
        healthPathOf: () => undefined,
        acquireRequest: () => true,
        onSilenceProbe: () => undefined,
        onChange: (name, isReachable) => changes.push(`${name} ${isReachable}`),
      });
      t.teardown(() => probes.close());
      await setImmediate();
      find(upstreams, 'a-1').health.recordUnreachable(systemClock.now());
      const until = performance.now() + pauseMilliseconds;
      process.nextTick(() => standStillUntil(until));
      await systemClock.sleep(pauseMilliseconds + 100);
      t.deepEqual(
        changes.filter(change => change.startsWith('a-2')),
        [],
      );
    },
  );
