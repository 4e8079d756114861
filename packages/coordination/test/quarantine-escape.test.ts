import test from 'ava';
import {VirtualClock} from '../src/index.js';
import {relayEvents} from '../src/passthrough/event-relay.js';
import {CallSends} from '../src/passthrough/call-sends.js';
import {PrefillStage} from '../src/passthrough/prefill-stage.js';
import {partTraitsOf} from '../src/passthrough/crash-traits.js';
import {UpstreamLosses} from '../src/passthrough/upstream-losses.js';
import {
  createRequestLimits,
  createRetryBudget,
  createSendGate,
} from './tools/unlimited.js';
import {
  QuarantineHost,
  engine,
  exchange,
  newFingerprint,
  prompt,
} from './tools/quarantine-hosts.js';

test('one success counts as sound for a bounded time in a fleet', async t => {
  const clock = new VirtualClock();
  const hosts = [0, 1, 2, 3].map(() => new QuarantineHost(clock));
  hosts[0]!.succeed('bad'); // one success, then the part crashes each engine
  let crashes = 0;
  let refused: number | undefined;
  for (let second = 1; second <= 1800; second += 1) {
    await clock.advance(1000);
    if (second % 5 === 0) {
      const host = hosts[(second / 5) % 4]!;
      if (host.refuses('bad')) {
        refused = second;
        break;
      }
      crashes += 1;
      host.lose(`d-${second}`, 'bad');
    }
    exchange(hosts);
  }
  t.log({crashes, refused});
  t.true(refused !== undefined && refused <= 300);
});

test('a quarantined part survives 1,024 suspects of a wide failure', async t => {
  const clock = new VirtualClock();
  const host = new QuarantineHost(clock);
  host.lose('d-1', 'bad');
  await clock.advance(500);
  host.lose('d-2', 'bad');
  t.true(host.refuses('bad'));
  await clock.advance(5000);
  for (let i = 0; i < 1024; i += 1) host.lose('d-3', `s${i}`);
  t.true(host.refuses('bad'));
});

test('reports in another order convict no common part alone', async t => {
  const clock = new VirtualClock();
  const [bad1, sound1, bad2, sound2, e] = Array.from(
    {length: 5},
    () => new QuarantineHost(clock),
  ) as [
    QuarantineHost,
    QuarantineHost,
    QuarantineHost,
    QuarantineHost,
    QuarantineHost,
  ];
  bad1.lose('d-1', 'first', 'bad');
  sound1.lose('d-1', 'first', 'x');
  await clock.advance(1000);
  bad2.lose('d-2', 'first', 'bad');
  sound2.lose('d-2', 'first', 'y');
  for (const h of [sound1, sound2, bad1, bad2]) e.hear(h);
  t.true(e.refuses('first', 'bad'));
  t.false(e.refuses('first', 'z'), 'sound at e');
  await clock.advance(5000);
  exchange([bad1, sound1, bad2, sound2, e]);
  t.deepEqual(
    [bad1, sound1, bad2, sound2, e].map(h => h.refuses('first', 'z')),
    [false, false, false, false, false],
  );
});

test('a waiting sound call at an engine that the bad part crashes elsewhere convicts nothing', async t => {
  const clock = new VirtualClock();
  const [a, b] = [new QuarantineHost(clock), new QuarantineHost(clock)];
  a.lose('d-1', 'first', 'bad');
  await clock.advance(500);
  a.lose('d-2', 'first', 'bad');
  await clock.advance(500);
  t.false(a.refuses('first', 'x'));
  b.lose('d-3', 'first', 'bad'); // b has not heard yet
  a.lose('d-3', 'first', 'x'); // a's sound call waited there
  exchange([a, b]);
  exchange([a, b]);
  t.deepEqual(
    [a.refuses('first', 'z'), b.refuses('first', 'z')],
    [false, false],
  );
  let t0 = 0;
  while (t0 < 900 && a.refuses('first', 'z')) {
    await clock.advance(1000);
    exchange([a, b]);
    t0 += 1;
  }
  t.log(`route refused for ${t0} s`);
});

test('an event of a prompt clears not its last part', async t => {
  const clock = new VirtualClock();
  const host = new QuarantineHost(clock);
  host.lose('d-1', 'bad');
  await clock.advance(500);
  host.lose('d-2', 'bad');
  host.quarantine.recordSuccess(
    partTraitsOf([
      {id: 'first', tokens: 1},
      {id: 'bad', tokens: 1},
    ]),
  );
  t.true(host.refuses('bad'));
});

test('a loss is noticed though the probe is answered late by a busy host', async t => {
  const clock = new VirtualClock();
  const host = new QuarantineHost(clock);
  const losses = new UpstreamLosses({
    clock,
    quarantine: host.quarantine,
    observer: () => undefined,
    upstreams: {acceptingOf: () => [], isEvacuated: () => false},
    transport: {probe: () => clock.sleep(120).then(() => false)},
  } as never);
  const state = {
    call: {
      id: 'c',
      fingerprint: newFingerprint(),
      generation: {promptParts: prompt('bad')},
    },
    pool: {},
    attemptEvents: 0,
    possibleRuns: 1,
    isSuspect: false,
  } as never;
  const done = losses.record(state, {
    document: engine('d-1'),
    health: {recordUnreachable: () => undefined},
  } as never);
  await clock.advance(1000);
  await done;
  t.true(host.quarantine.report().upstreamLosses.length > 0);
});

test('a sound prompt whose engine a quarantined part has crashed may be retried', async t => {
  const clock = new VirtualClock();
  const host = new QuarantineHost(clock);
  host.lose('d-1', 'bad');
  await clock.advance(500);
  host.lose('d-2', 'bad');
  host.lose('d-3', 'bad');
  const losses = new UpstreamLosses({
    clock,
    quarantine: host.quarantine,
    observer: () => undefined,
    upstreams: {
      acceptingOf: () => Array.from({length: 20}),
      isEvacuated: () => false,
    },
    transport: {probe: () => Promise.resolve(false)},
  } as never);
  const state = {
    call: {
      id: 'c',
      fingerprint: newFingerprint(),
      generation: {promptParts: prompt('first', 'new')},
    },
    pool: {},
    attemptEvents: 0,
    possibleRuns: 1,
    isSuspect: false,
  };
  await losses.record(
    state as never,
    {
      document: engine('d-3'),
      health: {recordUnreachable: () => undefined},
    } as never,
  );
  t.false(state.isSuspect);
});

test('an empty complete stream clears no part', async t => {
  const clock = new VirtualClock();
  let cleared = 0;
  const relay = relayEvents({
    clock,
    state: {
      generation: {promptTokens: 1},
      pool: {spec: {}},
      attemptEvents: 0,
      lastEventId: undefined,
    },
    response: {
      status: 200,
      headers: [],
      body: (async function* () {
        if (clock.now() < 0) yield new Uint8Array();
      })(),
    },
    reservation: {
      upstream: {
        document: engine('d-1'),
        health: {recordSuccess: () => undefined},
      },
      load: {},
    },
    monitor: {
      lastProgressAt: 0,
      wait: async (work: Promise<unknown>) => ({
        kind: 'ready',
        value: await work,
      }),
      recordActivity() {},
      suspend() {},
      resume() {},
      adopt: async () => undefined,
    },
    baselineInterval: {},
    onBegin: () => undefined,
    onFirstEvent: () => (cleared += 1),
  } as never);
  const {value} = await relay.next();
  t.like(value, {error: {reason: 'broken'}});
  t.is(cleared, 0);
});

test('a stream of comments only clears no part', async t => {
  const clock = new VirtualClock();
  let cleared = 0;
  const relay = relayEvents({
    clock,
    state: {
      generation: {promptTokens: 1},
      pool: {spec: {}},
      attemptEvents: 0,
      lastEventId: undefined,
    },
    response: {
      status: 200,
      headers: [],
      body: (async function* () {
        yield Buffer.from(': ping\n\n');
      })(),
    },
    reservation: {
      upstream: {
        document: engine('d-1'),
        health: {recordSuccess: () => undefined},
      },
      load: {setMemoryTokens() {}},
    },
    monitor: {
      lastProgressAt: 0,
      wait: async (work: Promise<unknown>) => ({
        kind: 'ready',
        value: await work,
      }),
      recordActivity() {},
      suspend() {},
      resume() {},
      adopt: async () => undefined,
    },
    baselineInterval: {},
    onBegin: () => undefined,
    onFirstEvent: () => (cleared += 1),
  } as never);
  for await (const _ of relay);
  t.is(cleared, 0);
});

test('a prompt that is quarantined during its first prefill is sent to no second one', async t => {
  const clock = new VirtualClock();
  const host = new QuarantineHost(clock);
  host.lose('d-1', 'bad');
  await clock.advance(500);
  let prefills = 0;
  const up = (name: string) => ({
    document: {...engine(name), labels: {stage: 'prefill'}},
    localLoad: {promptTokens: 0},
    health: {
      isUsable: () => true,
      failureShare: () => 0,
      slowness: () => 1,
      recordAttempt() {},
      recordFailure() {},
    },
  });
  const stage = new PrefillStage({
    clock,
    quarantine: host.quarantine,
    observer: () => undefined,
    random: {next: () => 0.5},
    retryBudget: createRetryBudget(clock),
    requestLimits: createRequestLimits(clock),
    sendGate: createSendGate(clock),
    upstreams: {
      acceptingOf: () => [up('p-1'), up('p-2')],
      reportedLoad: () => ({promptTokens: 0}),
      addLoad: () => ({release() {}}),
    },
    transport: {
      prefill: () => {
        prefills += 1;
        host.lose('d-2', 'bad'); // heard meanwhile
        return Promise.resolve({
          isOk: false,
          isErr: true,
          error: {kind: 'broken'},
        });
      },
    },
  } as never);
  await stage.prefill(
    {
      call: {
        id: 'c',
        arrivedAt: 0,
        deadline: 1e6,
        fingerprint: newFingerprint(),
        generation: {promptParts: prompt('bad')},
        route: {},
      },
      pool: {name: 'p', spec: {}},
      generation: {promptTokens: 10, promptParts: prompt('bad')},
      signal: new AbortController().signal,
      sends: new CallSends(createRetryBudget(clock), () => undefined),
      shouldSkipPrefillStage: false,
      reusableCache: undefined,
    } as never,
    {
      upstream: {document: {spec: {failureDomain: 'a'}}},
      reservedUntil: Infinity,
    } as never,
  );
  t.true(host.refuses('bad'));
  t.is(prefills, 1);
});
