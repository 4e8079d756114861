import test from 'ava';
import {VirtualClock} from '../src/index.js';
import {relayEvents} from '../src/passthrough/event-relay.js';
import {StallMonitor} from '../src/stall-monitor.js';
import {engine} from './tools/quarantine-hosts.js';

const deadline = 900;

/** Relays a body whose parts are made on virtual time. */
function relayOf(
  body: (clock: VirtualClock) => AsyncGenerator<Uint8Array>,
  lastEventId?: number,
): {
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
      lastEventId,
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

// Guards against a stream that is given up while its caller reads, and ends as whole.
test('a stream that is given up while a slow caller reads is interrupted', async t => {
  const {relay, clock} = relayOf(async function* () {
    yield Buffer.from('data: token\n\n');
    for (;;) yield Buffer.from(': comment\n\n');
  });
  let next = await relay.next();
  for (let count = 0; count < 1000 && next.done !== true; count += 1) {
    await clock.advance(100);
    next = await relay.next();
  }
  t.true(next.done);
  t.is(next.done === true ? next.value?.error.reason : undefined, 'silent');
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

/** Relays a response to a caller who has two events; resolves with the outcome. */
async function continueWith(text: string) {
  const {relay} = relayOf(async function* () {
    if (text !== '') yield Buffer.from(text);
  }, 2);
  let passedOn = '';
  for (;;) {
    const next = await relay.next();
    if (next.done !== true) passedOn += Buffer.from(next.value).toString();
    else return {passedOn, reason: next.value?.error.reason};
  }
}

// Guards against an error that takes the place of a continuation and reaches the
// caller in the middle of a stream.
for (const [title, text] of [
  ['an error event', 'event: error\ndata: {"message": "overloaded"}\n\n'],
  ['data without an id', 'data: {"error": "overloaded"}\n\n'],
  ['a JSON text', '{"error": "overloaded"}\n\n'],
  [
    'a response head',
    'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n',
  ],
] as const)
  test(`a continuation that begins with ${title} is interrupted`, async t => {
    t.deepEqual(await continueWith(text), {passedOn: '', reason: 'broken'});
    t.deepEqual(await continueWith(`: comment\n\n${text}`), {
      passedOn: ': comment\n\n',
      reason: 'broken',
    });
  });

// Guards against a stream that ends as complete because its continuation is empty.
test('a continuation without an event does not end a stream', async t => {
  for (const text of ['', ': comment\n\n', 'retry: 100\n\n'])
    t.is((await continueWith(text)).reason, 'broken', text);
});

test('a continuation goes on with the events that the caller lacks', async t => {
  const event = (id: number) => `id: ${id}\ndata: token\n\n`;
  const end = 'event: end\ndata: done\n\n';
  for (const before of ['', ': comment\n\n', 'retry: 100\n\n']) {
    const text = `${before}${event(2)}${event(3)}${event(4)}${end}`;
    t.deepEqual(await continueWith(text), {
      passedOn: `${before}${event(3)}${event(4)}${end}`,
      reason: undefined,
    });
  }
});
