import test from 'ava';
import {VirtualClock} from '../src/index.js';
import {relayEvents} from '../src/passthrough/event-relay.js';
import {StallMonitor} from '../src/stall-monitor.js';
import {engine} from './tools/quarantine-hosts.js';

test('a stream ends at its deadline while a slow caller reads one long part', async t => {
  const clock = new VirtualClock();
  const deadline = 900;
  const monitor = new StallMonitor({
    clock,
    stallMilliseconds: 10_000,
    deadline,
    findReplacement: () => Promise.resolve(undefined),
    releaseReplacement: () => undefined,
  });
  const comments = ': comment\n\n'.repeat(10_000);
  const relay = relayEvents({
    clock,
    monitor,
    state: {
      call: {deadline},
      generation: {promptTokens: 1},
      pool: {spec: {}},
      attemptEvents: 0,
      lastEventId: undefined,
    },
    response: {
      status: 200,
      headers: [],
      body: (async function* () {
        for (;;) yield Buffer.from(comments);
      })(),
    },
    reservation: {
      upstream: {document: engine('d-1')},
      load: {setMemoryTokens: () => undefined},
    },
    baselineInterval: {},
    onFirstEvent: () => undefined,
  } as never);
  let next = await relay.next();
  while (next.done !== true && clock.now() < 5000) {
    await clock.advance(1);
    next = await relay.next();
  }
  monitor.close();
  t.true(next.done);
  t.true(clock.now() <= deadline + 2, `${clock.now()} ms`);
});
