/** Silent streams that another engine takes over, on virtual time. */

import test from 'ava';
import {Result} from 'true-myth';
import {
  EngineReleases,
  InterruptedResponseError,
  RequestQuarantine,
  SendGate,
  ShutdownSchedule,
  SoftwareVersionHistory,
  StreamOrigins,
  UpstreamTable,
  VirtualClock,
  failureDomainId,
  seededRandom,
  upstreamId,
} from '../src/index.js';
import type {
  CallEvent,
  PassthroughTransport,
  RoutedCall,
  UpstreamDocument,
} from '../src/index.js';
import type {PoolDocument} from '../src/generated/documents.js';
import {CallSends} from '../src/passthrough/call-sends.js';
import {GenerationForwarder} from '../src/passthrough/generations.js';
import {UpstreamLosses} from '../src/passthrough/upstream-losses.js';
import {createRequestLimits, createRetryBudget} from './tools/unlimited.js';

const pool = {
  kind: 'Pool',
  name: 'engines',
  spec: {
    upstreams: {},
    engine: {slots: 8, memoryTokens: 20_000, reservationMilliseconds: 2000},
  },
} as unknown as PoolDocument;

const eventCount = 10;
const millisecondsPerEvent = 100;
const deadline = 14_000;

/** How one engine behaves. Times are in milliseconds of the clock. */
interface EngineScript {
  /** Pause before the event with id 5. */
  readonly pause?: number;
  /** Time at which the response breaks off. */
  readonly breaksAt?: number;
  /** Refuses runs, although it grants reservations. */
  readonly refuses?: boolean;
  /** Time from the run to the head of the response. */
  readonly headDelay?: number;
  /** Time from the head to the first event, beside that of each event. */
  readonly firstEventDelay?: number;
}

interface Run {
  readonly engine: string;
  readonly beganAt: number;
  endedAt: number | undefined;
}

/** One host, a prefill engine and decode engines that follow scripts. */
class Scene {
  readonly clock = new VirtualClock();
  readonly runs: Run[] = [];
  readonly events: CallEvent[] = [];
  readonly shutdown = new ShutdownSchedule(this.clock);
  prefillMilliseconds = 0;
  sentRuns = 0;
  readPrompts = 0;
  releasedCaches = 0;
  readonly forwarder: GenerationForwarder;
  private readonly caller = new AbortController();
  private readonly sends: CallSends;

  /** Each run follows the next script, and the last one all later runs. */
  constructor(private readonly scripts: readonly EngineScript[]) {
    const {clock} = this;
    const upstreams = new UpstreamTable(clock);
    const documents = [
      documentOf('p-1', 'prefill'),
      ...['d-1', 'd-2', 'd-3'].map(name => documentOf(name, 'decode')),
    ];
    upstreams.replace(new Map(documents.map(each => [each.name, each])));
    const transport = this.transport();
    const requestLimits = createRequestLimits(clock);
    const retryBudget = createRetryBudget(clock);
    const failureDomain = failureDomainId('zone-a');
    const parts = {
      clock,
      requestLimits,
      sendGate: new SendGate({
        shutdown: this.shutdown,
        upstreams: {departureOf: () => undefined},
        routes: () => undefined,
        observer: () => undefined,
        onSend: () => undefined,
      }),
      random: seededRandom(1),
      failureDomain,
      transport,
      upstreams,
      releases: new EngineReleases(transport, upstreams, requestLimits),
      retryBudget,
      observer: (_call: string, event: CallEvent) => this.events.push(event),
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
        failureDomain,
        members: () => [],
        send: () => undefined,
      }),
      versionHistory: new SoftwareVersionHistory({clock}),
    };
    this.sends = new CallSends(retryBudget, () => undefined);
    this.forwarder = new GenerationForwarder(parts, new UpstreamLosses(parts));
  }

  /** Relays one stream; resolves with the ids of its events, and how it ended. */
  async relay(maximumTries = 2): Promise<{ids: number[]; isWhole: boolean}> {
    const target = {
      repeatable: true,
      resumable: true,
      stream: true,
      maximumTries,
    };
    const call = {
      id: 'call-1',
      arrivedAt: 0,
      receivedAt: 0,
      urgency: 1,
      deadline,
      body: new Uint8Array(),
      route: {name: 'reviews', target, pools: [{pool, weight: 1}]},
    } as unknown as RoutedCall;
    const generation = {promptTokens: 100, maximumOutputTokens: 50};
    const forwarded = await this.forwarder.forward(
      call,
      generation as never,
      this.sends,
      this.caller.signal,
    );
    const ids: number[] = [];
    if (forwarded.isErr) return {ids, isWhole: false};
    try {
      for await (const bytes of forwarded.value.body)
        for (const [, id] of Buffer.from(bytes)
          .toString()
          .matchAll(/id: (\d+)/g))
          ids.push(Number(id));
    } catch {
      return {ids, isWhole: false};
    } finally {
      this.forwarder.close();
    }
    return {ids, isWhole: true};
  }

  relayed(): Promise<{ids: number[]; isWhole: boolean}> {
    return this.clock.runUntil(this.relay());
  }

  /** Begins a stop that ends before the deadline of the stream. */
  stop(): void {
    const now = this.clock.now();
    const times = {signalledAt: now, admitsUntil: now + 1000};
    this.shutdown.begin({...times, endsAt: now + 8000});
  }

  /** Longest time for which two engines ran the stream. */
  longestOverlap(): number {
    const overlaps = this.runs
      .slice(1)
      .map(
        ({beganAt}, index) => (this.runs[index]!.endedAt ?? Infinity) - beganAt,
      );
    return Math.max(0, ...overlaps);
  }

  private transport(): PassthroughTransport {
    const {clock} = this;
    const partial: Partial<PassthroughTransport> = {
      releaseReservation: () => Promise.resolve(Result.ok(undefined)),
      releaseCache: () => {
        this.releasedCaches += 1;
        return Promise.resolve(Result.ok(undefined));
      },
      reserve: () => Promise.resolve(Result.ok({id: 'hold', startedAt: 1})),
      probe: () => Promise.resolve(true),
      prefill: async (_upstream, _call, _options, signal) => {
        await clock.sleep(this.prefillMilliseconds, signal);
        if (signal.aborted)
          return Result.err({kind: 'broken', upstream: upstreamId('p-1')});
        this.readPrompts += 1;
        return Result.ok('cache-1');
      },
      send: async ({name}, _call, {lastEventId}, signal) => {
        const {scripts, sentRuns} = this;
        const script = scripts[Math.min(sentRuns, scripts.length - 1)]!;
        const {refuses = false, headDelay = 1} = script;
        this.sentRuns += 1;
        const upstream = upstreamId(name);
        await clock.sleep(headDelay, signal);
        if (signal.aborted) return Result.err({kind: 'broken', upstream});
        if (refuses) return Result.err({kind: 'refused', upstream} as never);
        return Result.ok({
          status: 200,
          headers: [],
          body: this.stream(name, script, lastEventId ?? 0, signal),
        });
      },
    };
    return partial as PassthroughTransport;
  }

  private async *stream(
    name: string,
    script: EngineScript,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    const {clock} = this;
    const {pause = 0, breaksAt = Infinity, firstEventDelay = 0} = script;
    const run: Run = {engine: name, beganAt: clock.now(), endedAt: undefined};
    this.runs.push(run);
    const interrupted = (reason: 'broken' | 'cancelled') =>
      new InterruptedResponseError(upstreamId(name), reason);
    signal.addEventListener('abort', () => (run.endedAt ??= clock.now()));
    await clock.sleep(firstEventDelay, signal);
    for (let id = after + 1; id <= eventCount; id += 1) {
      const next = clock.now() + millisecondsPerEvent + (id === 5 ? pause : 0);
      await clock.sleep(Math.min(next, breaksAt) - clock.now(), signal);
      if (signal.aborted) throw interrupted('cancelled');
      if (clock.now() >= breaksAt) throw interrupted('broken');
      yield Buffer.from(`id: ${id}\ndata: token\n\n`);
    }
    run.endedAt ??= clock.now();
  }
}

function documentOf(name: string, stage: string): UpstreamDocument {
  return {
    kind: 'Upstream',
    name,
    labels: {stage},
    spec: {
      address: `${name}:1`,
      failureDomain: 'zone-a',
      softwareVersion: 'v1',
      startedAt: 1,
    },
  } as unknown as UpstreamDocument;
}

const allIds = Array.from({length: eventCount}, (_, index) => index + 1);
const whole = {ids: allIds, isWhole: true};

const silent: EngineScript = {pause: 60_000};

test('a stream whose replacement is refused goes on at its silent engine', async t => {
  const scene = new Scene([{pause: 1800}, {refuses: true}]);
  t.deepEqual(await scene.relayed(), whole);
  t.is(scene.runs.length, 1);
  t.true(scene.sentRuns > 1, 'a replacement was tried');
});

test('a stream that goes on while its prompt is read elsewhere stays', async t => {
  const scene = new Scene([{pause: 1300}]);
  scene.prefillMilliseconds = 700;
  t.deepEqual(await scene.relayed(), whole);
  t.is(scene.runs.length, 1);
  t.is(scene.releasedCaches, scene.readPrompts - 1);
});

test('a silent stream goes on elsewhere, and two engines run it briefly', async t => {
  const scene = new Scene([silent, {}]);
  scene.prefillMilliseconds = 700;
  t.deepEqual(await scene.relayed(), whole);
  t.deepEqual(scene.runs.length, 2);
  t.true(scene.longestOverlap() < 400, `${scene.longestOverlap()} ms`);
  t.is(scene.releasedCaches, 0);
});

test('an engine that has accepted a stream takes it over before it sends events', async t => {
  const scene = new Scene([silent, {firstEventDelay: 900}]);
  t.deepEqual(await scene.relayed(), whole);
  t.true(scene.longestOverlap() < 400, `${scene.longestOverlap()} ms`);
});

test('a stream that goes on as another engine accepts it leaves nevertheless', async t => {
  const scene = new Scene([{pause: 1010}, {firstEventDelay: 200}]);
  t.deepEqual(await scene.relayed(), whole);
  t.true(scene.longestOverlap() < 400, `${scene.longestOverlap()} ms`);
});

test('a stream that breaks while its replacement starts goes on there', async t => {
  const scene = new Scene([{pause: 60_000, breaksAt: 1900}, {}]);
  scene.prefillMilliseconds = 700;
  t.deepEqual(await scene.relayed(), whole);
  t.is(scene.sentRuns, 2);
});

test('a late head is awaited while its replacement is refused', async t => {
  const scene = new Scene([{headDelay: 5000}, {refuses: true}]);
  t.deepEqual(await scene.relayed(), whole);
  t.is(scene.runs.length, 1);
});

test('a stream without a head goes on elsewhere, within the tries of its route', async t => {
  const scene = new Scene([{headDelay: 60_000}, {}, {}]);
  t.deepEqual(await scene.relayed(), whole);
  t.is(scene.sentRuns, 2);
});

for (const milliseconds of [200, 400, 600])
  test(`a stop ${milliseconds} ms into the start of a replacement leaves a stream whole`, async t => {
    const scene = new Scene([{pause: 1800}, {}]);
    scene.prefillMilliseconds = 700;
    const relayed = scene.relay();
    await scene.clock.advance(2100 + milliseconds);
    scene.stop();
    t.deepEqual(await scene.clock.runUntil(relayed), whole);
  });

// Guards against streams that a stopping host cuts instead of resuming them.
test('a stream that breaks after a stop has begun goes on elsewhere', async t => {
  const scene = new Scene([{breaksAt: 550}, {}]);
  const relayed = scene.relay();
  await scene.clock.advance(400);
  scene.stop();
  t.deepEqual(await scene.clock.runUntil(relayed), whole);
});

// Guards against calls that wait for a silent engine until their callers leave.
test('a call without a head goes on elsewhere after a stop has begun', async t => {
  const scene = new Scene([{headDelay: 60_000}, {}]);
  scene.prefillMilliseconds = 700;
  const relayed = scene.relay();
  await scene.clock.advance(3000);
  scene.stop();
  t.deepEqual(await scene.clock.runUntil(relayed), whole);
});

test('a stopping host begins no stream that would outlive it', async t => {
  const scene = new Scene([{}]);
  scene.stop();
  await scene.clock.advance(1);
  t.deepEqual(await scene.relayed(), {ids: [], isWhole: false});
  t.is(scene.sentRuns, 0);
});
