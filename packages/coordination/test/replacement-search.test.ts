import test from 'ava';
import {Result} from 'true-myth';
import {
  EngineReleases,
  PoolRetryBudget,
  RequestQuarantine,
  SoftwareVersionHistory,
  StreamOrigins,
  UpstreamTable,
  VirtualClock,
  failureDomainId,
  seededRandom,
  upstreamId,
} from '../src/index.js';
import type {
  PassthroughError,
  PassthroughTransport,
  RoutedCall,
  UpstreamDocument,
} from '../src/index.js';
import type {PoolDocument} from '../src/generated/documents.js';
import type {GenerationState} from '../src/passthrough/generation-run.js';
import {UpstreamLosses} from '../src/passthrough/upstream-losses.js';
import {EngineReplacement} from '../src/passthrough/engine-replacement.js';
import {CallSends} from '../src/passthrough/call-sends.js';
import {PrefillStage} from '../src/passthrough/prefill-stage.js';
import {ReservationQueue} from '../src/passthrough/reservation-queue.js';
import {RetryGate} from '../src/passthrough/retry-gate.js';
import {ServiceSelector} from '../src/passthrough/service-selector.js';
import {StallMonitor} from '../src/stall-monitor.js';
import {PausableClock} from './tools/pausable-clock.js';
import {
  createRequestLimits,
  createRetryBudget,
  createSendGate,
} from './tools/unlimited.js';

const pool = {
  kind: 'Pool',
  name: 'engines',
  spec: {
    upstreams: {},
    engine: {slots: 8, memoryTokens: 20_000, reservationMilliseconds: 2000},
  },
} as unknown as PoolDocument;

function createParts(
  transport: Partial<PassthroughTransport>,
  stage = 'decode',
) {
  const clock = new VirtualClock();
  const upstreams = new UpstreamTable(clock);
  const documents = ['d-1', 'd-2', 'd-3'].map(
    name =>
      ({
        kind: 'Upstream',
        name,
        labels: {stage},
        spec: {address: `${name}:1`, failureDomain: 'zone-a'},
      }) as unknown as UpstreamDocument,
  );
  upstreams.replace(new Map(documents.map(each => [each.name, each])));
  const full = {
    releaseReservation: () => Promise.resolve(Result.ok(undefined)),
    releaseCache: () => Promise.resolve(Result.ok(undefined)),
    ...transport,
  } as PassthroughTransport;
  const requestLimits = createRequestLimits(clock);
  const parts = {
    clock,
    requestLimits,
    sendGate: createSendGate(clock),
    random: seededRandom(1),
    failureDomain: failureDomainId('zone-a'),
    transport: full,
    upstreams,
    releases: new EngineReleases(full, upstreams, requestLimits),
    retryBudget: createRetryBudget(clock),
    observer: () => undefined,
    quarantine: new RequestQuarantine({
      clock,
      onChange: () => undefined,
      onLearned: () => undefined,
    }),
    members: () => [],
    handoverTransport: {
      handOver: () => Promise.reject(new TypeError('there is no other host')),
    },
    streamOrigins: new StreamOrigins({
      clock,
      failureDomain: failureDomainId('zone-a'),
      members: () => [],
      send: () => undefined,
    }),
    versionHistory: new SoftwareVersionHistory({clock}),
  };
  const tracked = (name: string) =>
    upstreams.acceptingOf(pool).find(each => each.document.name === name)!;
  return {clock, parts, tracked};
}

const avoiding = (...names: string[]) => ({
  avoidedUpstreams: new Set(names),
  softwareVersion: undefined,
});

const callAt = (arrivedAt: number) =>
  ({
    id: `call-${arrivedAt}`,
    arrivedAt,
    receivedAt: arrivedAt,
    urgency: 1,
    deadline: 14_000,
    route: {target: {repeatable: true, maximumTries: 2, resumable: true}},
  }) as unknown as RoutedCall;

const errorOf = (kind: 'unreachable' | 'refused', {name}: UpstreamDocument) =>
  Result.err<never, PassthroughError>({kind, upstream: upstreamId(name)});

test('an aborted search marks no engine as unreachable', async t => {
  // As HttpPassthroughTransport does before the connection is made.
  const {clock, parts, tracked} = createParts({
    reserve: (upstream, _tokens, _lifetime, signal) =>
      new Promise(resolve => {
        const end = () => resolve(errorOf('unreachable', upstream));
        if (signal.aborted) end();
        else signal.addEventListener('abort', end);
      }),
  });
  const engines = ['d-1', 'd-2', 'd-3'].map(tracked);
  const queue = new ReservationQueue(parts, () => pool);
  const search = new AbortController();
  let outcome: unknown = 'pending';
  void queue
    .reserve(callAt(0), 150, 2500, avoiding(), search.signal)
    .then(result => (outcome = result.isOk ? 'ok' : result.error));
  await clock.advance(10);
  search.abort();
  await clock.advance(300);
  queue.close();
  t.deepEqual(
    engines
      .filter(({health}) => !health.isUsable(clock.now()))
      .map(({document}) => document.name),
    [],
  );
  t.is(outcome, 'cancelled');
});

test('a search that finds no engine does not hold up other calls', async t => {
  const {clock, parts, tracked} = createParts({
    reserve: async upstream =>
      upstream.name === 'd-1'
        ? Result.ok({id: 'hold-1', startedAt: undefined})
        : errorOf('refused', upstream),
  });
  for (const name of ['d-2', 'd-3']) {
    const engine = tracked(name);
    parts.upstreams.addLoad(engine, {calls: 8, memoryTokens: 20_000});
    engine.lastReservationAttemptAt = 0;
  }
  const queue = new ReservationQueue(parts, () => pool);
  const {signal} = new AbortController();
  void queue.reserve(callAt(0), 150, 14_000, avoiding('d-1'), signal);
  await clock.advance(100);
  let reservedAt = Infinity;
  void queue
    .reserve(callAt(100), 150, 2600, avoiding(), signal)
    .then(result => {
      if (result.isOk) reservedAt = clock.now();
    });
  await clock.advance(2000);
  queue.close();
  t.true(reservedAt <= 300, `reserved at ${reservedAt} ms`);
});

// Guards against plain calls that are lost because they are sent over links that are
// about to be found silent.
test('a plain call waits while all services are suspect', async t => {
  const {clock, parts, tracked} = createParts({});
  const services = ['d-1', 'd-2', 'd-3'].map(tracked);
  for (const {health} of services) health.recordSilence(clock.now());
  for (const {health} of services) health.holdUntil(2000);
  const call = {...callAt(0), route: {target: {}, pools: []}} as never;
  const {signal} = new AbortController();
  let chosenAt = Infinity;
  const choosing = new ServiceSelector(parts)
    .chooseInTime(call, pool, signal)
    .then(choice => {
      chosenAt = clock.now();
      return choice;
    });
  await clock.advance(1000);
  t.is(chosenAt, Infinity, 'no service is known to answer');
  services[1]!.health.recordAnswer();
  const choice = await clock.runUntil(choosing);
  t.true(choice.kind === 'chosen' && choice.upstream === services[1]);
  t.true(chosenAt <= 1050, `${chosenAt} ms`);
});

test('a prefill whose reservation has expired is not a failure of its engine', async t => {
  // As HttpPassthroughTransport does with an engine that does not respond.
  const asked: number[] = [];
  const {clock, parts, tracked} = createParts(
    {
      prefill: async (upstream, _call, {headersTimeoutMilliseconds}) => {
        asked.push(headersTimeoutMilliseconds);
        await clock.sleep(headersTimeoutMilliseconds);
        return errorOf('unreachable', upstream);
      },
    },
    'prefill',
  );
  const engines = ['d-1', 'd-2', 'd-3'].map(tracked);
  const state = {
    call: callAt(0),
    pool,
    generation: {promptTokens: 100},
    signal: new AbortController().signal,
    sends: new CallSends(parts.retryBudget, () => undefined),
    shouldSkipPrefillStage: false,
    reusableCache: undefined,
  } as unknown as GenerationState;
  const load = {setMemoryTokens: () => {}, release: () => {}};
  const upstream = engines[0]!;
  await clock.runUntil(
    new PrefillStage(parts).prefill(state, {
      upstream,
      document: upstream.document,
      reservationId: 'hold-1',
      reservedUntil: 1000,
      statedStart: undefined,
      load,
    }),
  );
  t.deepEqual(asked, [1000], 'no prefill is begun without time left');
  t.true(
    engines.filter(({health}) => !health.isUsable(clock.now())).length <= 1,
  );
});

// Guards against calls that run nowhere, because the one request that they may send
// without a retry is a prefill that is refused.
test('while engines refuse prefills and no retry is left, calls run without one', async t => {
  let prefills = 0;
  const {clock, parts, tracked} = createParts(
    {
      prefill: async upstream => {
        prefills += 1;
        return errorOf('refused', upstream);
      },
    },
    'prefill',
  );
  const retryBudget = createRetryBudget(clock, 0);
  const stage = new PrefillStage({...parts, retryBudget});
  const reservation = {
    upstream: tracked('d-1'),
    document: tracked('d-1').document,
    reservationId: 'hold-1',
    reservedUntil: Infinity,
    statedStart: undefined,
    load: {setMemoryTokens: () => {}, release: () => {}},
  };
  const callsThatMayRun = async (count: number) => {
    let free = 0;
    for (let call = 0; call < count; call += 1) {
      const sends = new CallSends(retryBudget, () => undefined);
      const state = {
        call: {...callAt(0), deadline: Infinity},
        pool,
        generation: {promptTokens: 100},
        signal: new AbortController().signal,
        sends,
        shouldSkipPrefillStage: false,
        reusableCache: undefined,
      } as unknown as GenerationState;
      await clock.runUntil(stage.prefill(state, reservation));
      if (sends.canCover(pool.name, 1)) free += 1;
      await clock.advance(100);
    }
    return free;
  };
  t.true((await callsThatMayRun(10)) >= 7);
  const before = prefills;
  await clock.advance(5000);
  await callsThatMayRun(1);
  t.is(
    prefills,
    before + 1,
    'a later call finds out whether they still refuse',
  );
});

const versionedEngine = (softwareVersion: string, startedAt: number) =>
  ({
    kind: 'Upstream',
    name: 'd-1',
    labels: {stage: 'decode'},
    spec: {
      address: 'd-1:1',
      failureDomain: 'zone-a',
      softwareVersion,
      startedAt,
    },
  }) as unknown as UpstreamDocument;

/** Continues a stream of v1 at `d-1`, whose reservation is granted by `reserve`. */
async function continueStream(
  reserve: (parts: ReturnType<typeof createParts>['parts']) => {
    id: string;
    startedAt: number | undefined;
  },
  listAgeMilliseconds: number,
) {
  const sent: string[] = [];
  const released: string[] = [];
  const {clock, parts} = createParts({
    reserve: async () => Result.ok(reserve(parts)),
    releaseReservation: async (_upstream, id) => {
      released.push(id);
      return Result.ok(undefined);
    },
    send: async upstream => {
      sent.push(upstream.name);
      return errorOf('refused', upstream);
    },
  });
  const engine = versionedEngine('v1', 1000);
  parts.upstreams.replace(new Map([['d-1', engine]]));
  parts.versionHistory.record([engine], clock.now());
  await clock.advance(listAgeMilliseconds);
  const {GenerationAttempts} =
    await import('../src/passthrough/generation-attempts.js');
  const attempts = new GenerationAttempts(parts, new UpstreamLosses(parts));
  attempts.updatePool(pool);
  const state = {
    call: callAt(clock.now()),
    pool,
    generation: {promptTokens: 100, maximumOutputTokens: 50},
    signal: new AbortController().signal,
    avoidedUpstreams: new Set<string>(),
    attempts: 0,
    sends: new CallSends(parts.retryBudget, () => undefined),
    possibleRuns: 0,
    lastEventId: 2,
    softwareVersion: 'v1',
  } as unknown as GenerationState;
  const started = await clock.runUntil(attempts.start(state));
  attempts.close();
  const failure = started.isErr ? started.error.failure : undefined;
  return {sent, released, failure};
}

// Guards against a continuation whose engine is replaced while the prompt is read.
test('a stream is not sent to an engine that has got another version meanwhile', async t => {
  const {sent, released, failure} = await continueStream(parts => {
    // The list is read after the reservation was granted.
    parts.upstreams.replace(new Map([['d-1', versionedEngine('v2', 2000)]]));
    return {id: 'hold-1', startedAt: 1000};
  }, 0);
  t.like(failure, {code: 'stream-not-resumable', ran: 'not-run'});
  t.deepEqual(sent, []);
  t.deepEqual(released, ['hold-1']);
});

// Guards against continuations that run in vain while nothing can verify them.
test('a stream is not sent to an engine that no list can verify', async t => {
  const grant = (startedAt: number | undefined) => () => ({
    id: 'hold-1',
    startedAt,
  });
  const old = await continueStream(grant(undefined), 3000);
  t.like(old.failure, {code: 'stream-not-resumable', ran: 'not-run'});
  t.deepEqual([old.sent, old.released], [[], ['hold-1']]);
  const recent = await continueStream(grant(undefined), 500);
  t.true(recent.sent.length > 0, 'the next list is expected in time');
  const stated = await continueStream(grant(1000), 3000);
  t.true(stated.sent.length > 0, 'the engine has stated its start');
});

test('a monitor that is closed releases a replacement that nobody took', async t => {
  const clock = new VirtualClock();
  const released: string[] = [];
  const monitor = new StallMonitor<string>({
    clock,
    stallMilliseconds: 1000,
    deadline: 10_000,
    findReplacement: () => Promise.resolve('engine-2'),
    releaseReplacement: each => released.push(each),
  });
  await clock.advance(1100);
  monitor.close();
  await clock.advance(10);
  t.deepEqual(released, ['engine-2']);
});

test('an aborted search does not end the avoidance of an engine that failed meanwhile', async t => {
  const {clock, parts} = createParts({});
  const avoidedUpstreams = new Set<string>();
  const sends = new CallSends(parts.retryBudget, () => undefined);
  const state = {
    call: callAt(0),
    pool,
    attempts: 1,
    possibleRuns: 1,
    sends,
    avoidedUpstreams,
  };
  const search = new AbortController();
  const replacement = new EngineReplacement(
    {
      retryGate: new RetryGate(parts),
      reserve: async signal => {
        await clock.sleep(300, signal);
        return Result.err({code: 'caller-gone', message: '', ran: 'unknown'});
      },
      releaseReservation: () => undefined,
    },
    state as unknown as GenerationState,
  );
  const finding = replacement.find(search.signal);
  await clock.advance(50);
  // The stream breaks: the monitor is closed and its engine is avoided.
  search.abort();
  avoidedUpstreams.add('d-1');
  await clock.runUntil(finding);
  t.true(avoidedUpstreams.has('d-1'));
});

test('a replacement is sought with one retry left, and takes no more', async t => {
  const {clock, parts, tracked} = createParts({});
  let extra = 1.1;
  const retryBudget = new PoolRetryBudget({
    clock,
    ratio: 0,
    get extra() {
      return extra;
    },
    windowMilliseconds: 10_000,
    share: () => ({kind: 'counted', hosts: 1}),
  });
  let reservations = 0;
  const sends = new CallSends(retryBudget, () => undefined);
  sends.begin(pool.name, 'run');
  const state = {
    call: callAt(0),
    pool,
    attempts: 1,
    possibleRuns: 1,
    sends,
    avoidedUpstreams: new Set<string>(),
  };
  const replacement = new EngineReplacement(
    {
      retryGate: new RetryGate({...parts, retryBudget}),
      reserve: () => {
        reservations += 1;
        return Promise.resolve(Result.ok({upstream: tracked('d-2')} as never));
      },
      releaseReservation: () => undefined,
    },
    state as unknown as GenerationState,
  );
  const {signal} = new AbortController();
  t.is(await replacement.find(signal), undefined);
  t.is(reservations, 0, 'no retry is left');
  extra = 2.2;
  const secured = await replacement.find(signal);
  t.is(secured?.upstream.document.name, 'd-2');
  t.false(retryBudget.canAcquire(pool.name), 'the retry is set aside');
  sends.settle();
  t.true(retryBudget.canAcquire(pool.name), 'it was not needed');
});

test('a search for another engine never reserves at the silent one', async t => {
  const reserved: string[] = [];
  const {clock, parts, tracked} = createParts({
    reserve: async ({name}) => {
      reserved.push(name);
      return Result.ok({id: 'hold-1', startedAt: undefined});
    },
  });
  for (const name of ['d-2', 'd-3']) tracked(name).health.suspendUntil(9000);
  const {GenerationAttempts} =
    await import('../src/passthrough/generation-attempts.js');
  const attempts = new GenerationAttempts(parts, new UpstreamLosses(parts));
  attempts.updatePool(pool);
  const sends = new CallSends(parts.retryBudget, () => undefined);
  sends.begin(pool.name, 'run');
  const state = {
    call: callAt(0),
    pool,
    generation: {promptTokens: 100, maximumOutputTokens: 50},
    signal: new AbortController().signal,
    avoidedUpstreams: new Set<string>(),
    sends,
    attempts: 1,
    possibleRuns: 1,
    lastEventId: 2,
  } as unknown as GenerationState;
  const monitor = attempts.monitorAttempt(state, tracked('d-1'), {
    stallMilliseconds: 1000,
    isReplaceable: true,
    signal: state.signal,
  });
  let found: string | undefined;
  void monitor
    .wait(new Promise<never>(() => undefined))
    .then(({kind}) => (found = kind));
  await clock.advance(3000);
  monitor.close();
  attempts.close();
  t.is(found, undefined);
  t.deepEqual(reserved, []);
});

test('a search that takes long does not postpone the end at the deadline', async t => {
  const clock = new VirtualClock();
  const monitor = new StallMonitor<string>({
    clock,
    stallMilliseconds: 1000,
    deadline: 3000,
    // The longest time of a reservation: connecting and the response.
    findReplacement: () => clock.sleep(650).then(() => undefined),
    releaseReplacement: () => undefined,
  });
  await clock.runUntil(monitor.wait(new Promise<never>(() => undefined)));
  t.true(clock.now() <= 3250, `${clock.now()} ms`);
});

test('a pause of the process during a search is no silence of the upstream', async t => {
  const time = new VirtualClock();
  const clock = new PausableClock(time);
  const monitor = new StallMonitor<string>({
    clock,
    stallMilliseconds: 1000,
    deadline: 10_000,
    findReplacement: () => clock.sleep(20).then(() => 'engine-2'),
    releaseReplacement: () => undefined,
  });
  // An event that arrives in the pause is read 10 ms after it.
  const waiting = monitor.wait(time.sleep(3020));
  await time.advance(1010);
  clock.pause();
  await time.advance(2000);
  clock.resume();
  t.is((await time.runUntil(waiting)).kind, 'ready');
  monitor.close();
});
