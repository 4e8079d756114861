import test from 'ava';
import {VirtualClock} from '../src/index.js';
import {relayEvents} from '../src/passthrough/event-relay.js';
import {StallMonitor} from '../src/stall-monitor.js';
import {engine} from './tools/quarantine-hosts.js';

const deadline = 900;

/** Relays a body whose parts are made on virtual time. */
function relayOf(body: (clock: VirtualClock) => AsyncGenerator<Uint8Array>): {
  relay: ReturnType<typeof relayEvents>;
  clock: VirtualClock;
} {
  const clock = new VirtualClock();
  const monitor = new StallMonitor({
    clock,
    stallMilliseconds: 10_000,
    deadline,
    findReplacement: () => Promise.resolve(undefined),
    releaseReplacement: () => undefined,
  });
  const relay = relayEvents({
    clock,
    monitor,
    state: {
      generation: {promptTokens: 1},
      pool: {spec: {}},
      attemptEvents: 0,
      lastEventId: undefined,
    },
    response: {
      status: 200,
      headers: [],
      body: body(clock),
    },
    reservation: {
      upstream: {
        document: engine('d-1'),
        health: {
          recordSuccess: () => undefined,
          recordDurationRatio: () => undefined,
        },
      },
      load: {setMemoryTokens: () => undefined},
    },
    baselineInterval: {record: () => 1},
    onBegin: () => undefined,
    onFirstEvent: () => undefined,
  } as never);
  return {relay, clock};
}

test('a stream ends at its deadline while a slow caller reads one long part', async t => {
  const comments = ': comment\n\n'.repeat(10_000);
  const {relay, clock} = relayOf(async function* () {
    for (;;) yield Buffer.from(comments);
  });
  let next = await relay.next();
  while (next.done !== true && clock.now() < 5000) {
    await clock.advance(1);
    next = await relay.next();
  }
  t.true(next.done);
  t.true(clock.now() <= deadline + 2, `${clock.now()} ms`);
});

test('a stream that goes on is not cut at its deadline', async t => {
  const {relay, clock} = relayOf(async function* (clock: VirtualClock) {
    for (let id = 1; id <= 20; id += 1) {
      await clock.sleep(100);
      yield Buffer.from(`id: ${id}\ndata: token\n\n`);
    }
  });
  let events = 0;
  const done = (async () => {
    for await (const _ of relay) events += 1;
  })();
  await clock.runUntil(done);
  t.is(events, 20);
  t.true(clock.now() >= 2 * deadline);
});
