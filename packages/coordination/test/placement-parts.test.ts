import test from 'ava';
import {once} from 'node:events';
import {Result} from 'true-myth';
import {runPlacementExample} from '../examples/placement.js';
import {VirtualClock, attemptId, requestId, upstreamId} from '../src/index.js';
import type {
  DecodeRequest,
  DecodedToken,
  Engine,
  EngineAttempt,
} from '../src/index.js';
import {
  PrefixCacheView,
  createWordBlockHasher,
} from '../src/placement/cache-view.js';
import {readTokens} from '../src/placement/token-stream.js';
import {PausableClock} from './tools/pausable-clock.js';
import {
  testHost,
  isCompleteStream,
  makeFleet,
  startRequest,
} from './tools/placement-fleet.js';

const stored = (sequence: number) => ({
  sequence,
  kind: 'stored' as const,
  cacheScope: 'batinah',
  blockHash: `block-${sequence}`,
});

test('the example delivers every token once', async t => {
  t.true(isCompleteStream(await runPlacementExample(), 10));
});

test('the cache view applies cache events', t => {
  const view = new PrefixCacheView();
  view.apply({newestSequence: 2, events: [stored(1), stored(2)]});
  t.is(view.countCachedPrefix(['block-1', 'block-2', 'block-3']), 2);
});

test('a gap in cache events clears earlier blocks', t => {
  const view = new PrefixCacheView();
  view.apply({newestSequence: 1, events: [stored(1)]});
  view.apply({newestSequence: 3, events: [stored(3)]});
  t.is(view.countCachedPrefix(['block-1']), 0);
  t.is(view.countCachedPrefix(['block-3']), 1);
  view.apply({newestSequence: 5, events: []});
  t.is(view.countCachedPrefix(['block-3']), 0);
});

test('block hashes differ by cache scope', t => {
  const hashBlocks = createWordBlockHasher(2);
  t.is(hashBlocks('batinah', 'a b c d e').length, 2);
  t.notDeepEqual(hashBlocks('batinah', 'a b'), hashBlocks('sohar', 'a b'));
});

const attempt = {
  request: requestId('request-1'),
  attempt: attemptId('attempt-1'),
} as EngineAttempt;

/**
 * Reads a stream from an engine that sends one array of tokens per connection.
 */
async function readFrom(connections: Array<Array<Partial<DecodedToken>>>) {
  const offsets: number[] = [];
  const engine = {
    id: upstreamId('d1'),
    async *decode() {
      for (const token of connections.shift() ?? [])
        yield Result.ok({...attempt, text: '', last: false, ...token});
    },
  } as unknown as Engine;
  const tokens = readTokens(
    {
      clock: new VirtualClock(),
      engine,
      silenceMilliseconds: 400,
      tokensExpectedAt: 0,
      onCheck: () => {},
    },
    {...attempt, maximumTokens: 3, offset: 0, priority: 0},
    new AbortController().signal,
  );
  for (;;) {
    const item = await tokens.next();
    if (item.done === true) return {offsets, end: item.value};
    offsets.push(item.value.offset);
  }
}

test('duplicate tokens are dropped', async t => {
  const {offsets, end} = await readFrom([
    [{offset: 0}, {offset: 0}, {offset: 1}, {offset: 2, last: true}],
  ]);
  t.deepEqual(offsets, [0, 1, 2]);
  t.is(end.kind, 'complete');
});

test('after a gap the stream resumes from the last token', async t => {
  const {offsets, end} = await readFrom([
    [{offset: 0}, {offset: 2, last: true}],
    [{offset: 1}, {offset: 2, last: true}],
  ]);
  t.deepEqual(offsets, [0, 1, 2]);
  t.is(end.kind, 'complete');
});

test('a pause of the host is not taken for silence of the engine', async t => {
  const base = new VirtualClock();
  const clock = new PausableClock(base);
  let arrive = () => {};
  const arrival = new Promise<void>(resolve => (arrive = resolve));
  let connections = 0;
  const engine = {
    id: upstreamId('d1'),
    async *decode(request: DecodeRequest, signal: AbortSignal) {
      connections += 1;
      if (request.offset === 0)
        yield Result.ok({...attempt, text: '', last: false, offset: 0});
      const cancelled = once(signal, 'abort');
      await Promise.race([arrival, cancelled]);
      if (signal.aborted)
        yield Result.err({kind: 'cancelled', upstream: upstreamId('d1')});
      else yield Result.ok({...attempt, text: '', last: true, offset: 1});
    },
  } as unknown as Engine;
  const tokens = readTokens(
    {
      clock,
      engine,
      silenceMilliseconds: 400,
      tokensExpectedAt: 0,
      onCheck: () => {},
    },
    {...attempt, maximumTokens: 3, offset: 0, priority: 0},
    new AbortController().signal,
  );
  await tokens.next();
  const second = tokens.next();
  await base.advance(100);
  clock.pause();
  await base.advance(5000);
  clock.resume();
  await base.advance(50);
  arrive();
  await second;
  await base.runUntil(tokens.next());
  t.is(connections, 1);
});

test('an engine that stays silent is connected to ever more rarely', async t => {
  const clock = new VirtualClock();
  const connectedAt: number[] = [];
  const engine = {
    id: upstreamId('d1'),
    async *decode(_request: DecodeRequest, signal: AbortSignal) {
      connectedAt.push(clock.now());
      await once(signal, 'abort');
      yield Result.err({kind: 'cancelled', upstream: upstreamId('d1')});
    },
  } as unknown as Engine;
  const caller = new AbortController();
  const tokens = readTokens(
    {
      clock,
      engine,
      silenceMilliseconds: 400,
      tokensExpectedAt: 0,
      onCheck: () => {},
    },
    {...attempt, maximumTokens: 3, offset: 0, priority: 0},
    caller.signal,
  );
  const end = tokens.next();
  await clock.advance(5000);
  t.deepEqual(connectedAt, [0, 400, 800, 1600, 3200, 4800]);
  caller.abort();
  t.true((await clock.runUntil(end)).done);
});

test('tokens of another request or attempt are malformed', async t => {
  for (const other of [
    {request: requestId('request-2')},
    {attempt: attemptId('attempt-2')},
  ]) {
    const foreignToken = [{...other, offset: 0, last: true}];
    const {offsets, end} = await readFrom([foreignToken, foreignToken]);
    t.deepEqual(offsets, []);
    t.is(end.kind === 'failed' && end.error.kind, 'malformed');
  }
});

test('overload is refused before the first-token deadline and deferrable requests stay queued', async t => {
  const {fleet, runner} = makeFleet();
  const burst = Array.from({length: 300}, () =>
    startRequest(fleet, runner, {maximumTokens: 50}),
  );
  const waiting = startRequest(fleet, runner, {
    service: 'deferrable',
    timeoutMilliseconds: 60_000,
  });
  const refusedAt: number[] = [];
  for (const {done, events} of burst)
    void done.then(() => {
      const last = events.at(-1);
      if (last?.kind !== 'failed') return;
      t.is(last.failure.code, 'target-unreachable');
      t.is(last.failure.ran, 'not-run');
      t.true((last.failure.retryAfterMilliseconds ?? 0) > 0);
      refusedAt.push(fleet.clock.now());
    });
  await fleet.clock.runUntil(Promise.all(burst.map(({done}) => done)));
  t.true(refusedAt.length > 50);
  t.true(Math.max(...refusedAt) <= 1_500);
  await fleet.clock.runUntil(waiting.done);
  t.true(isCompleteStream(waiting.events));
});

test('a full queue refuses at once', async t => {
  const {fleet, runner} = makeFleet();
  const requests = Array.from({length: 1_300}, () =>
    startRequest(fleet, runner, {
      service: 'deferrable',
      timeoutMilliseconds: 1_000,
    }),
  );
  await fleet.clock.advance(1);
  const failures = requests.flatMap(({events}) =>
    events.flatMap(event => (event.kind === 'failed' ? [event.failure] : [])),
  );
  t.true(failures.length > 0);
  t.true(
    failures.every(({code, ran}) => code === 'queue-full' && ran === 'not-run'),
  );
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
});

test('hosts that place requests concurrently waste no prefill', async t => {
  const {fleet} = makeFleet();
  const runners = Array.from({length: 4}, (_, index) =>
    fleet.makeRunner({...testHost, name: `host-${index + 1}`}),
  );
  const requests = runners.flatMap(runner =>
    Array.from({length: 20}, () =>
      startRequest(fleet, runner, {service: 'deferrable', maximumTokens: 30}),
    ),
  );
  await fleet.clock.runUntil(Promise.all(requests.map(({done}) => done)));
  for (const {events} of requests) t.true(isCompleteStream(events, 30));
  const prefilledTokens = ['p1', 'p2'].map(
    name => fleet.engine(name).prefilledTokens,
  );
  t.is(prefilledTokens[0]! + prefilledTokens[1]!, 80 * 400);
});
