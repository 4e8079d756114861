/** One host on virtual time whose engines follow scripts, and what they see of it. */

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
} from '../../src/index.js';
import type {
  CallEvent,
  PassthroughTransport,
  RoutedCall,
  UpstreamDocument,
} from '../../src/index.js';
import type {PoolDocument} from '../../src/generated/documents.js';
import {CallSends} from '../../src/passthrough/call-sends.js';
import {GenerationForwarder} from '../../src/passthrough/generations.js';
import {UpstreamLosses} from '../../src/passthrough/upstream-losses.js';
import {createRequestLimits, createRetryBudget} from './unlimited.js';

const reservationMilliseconds = 2000;
const millisecondsPerEvent = 100;

/** How an engine answers one run. Times are in milliseconds. */
export interface RunScript {
  /** Time from the run to the head of the response, or to its failure. */
  readonly headDelay?: number;
  /** How the run fails without a response. */
  readonly fails?: 'refused' | 'unreachable' | 'broken';
  readonly status?: number;
  /** Time from the head to the first event, beside that of each event. */
  readonly firstEventDelay?: number;
  /** The event before which the engine pauses, and for how long. */
  readonly pausesAt?: number;
  readonly pause?: number;
  /** Time from the run after which the response breaks off. */
  readonly breaksAfter?: number;
  /** The response ends like a complete one, without an event. */
  readonly isEmpty?: boolean;
  /** Bytes of comments that come each millisecond instead of events. */
  readonly commentBytes?: number;
}

/** A run that was sent to an engine. */
export interface Run {
  /** Whether the engine executed it. */
  readonly isExecuted: boolean;
  readonly script: RunScript;
  readonly sentAt: number;
  /** Time of the head of its response; infinite without one. */
  beganAt: number;
  events: number;
  endedAt: number | undefined;
  /** Whether the host has ended it. */
  isCancelled: boolean;
}

export interface SceneOptions {
  readonly events: number;
  readonly maximumTries?: number;
  readonly deadline?: number;
  readonly prefillMilliseconds?: number;
  /** Versions of the decode engines. */
  readonly versions?: readonly string[];
  readonly retries?: number;
  /** Time that the caller takes for each event. */
  readonly callerDelay?: number;
}

export interface Outcome {
  readonly ids: readonly number[];
  /** Versions that sent the events. */
  readonly versions: ReadonlySet<string>;
  readonly isWhole: boolean;
  readonly endedAt: number;
}

export class ScriptedEngines {
  readonly clock = new VirtualClock();
  /** All runs in the order in which they were sent. */
  readonly sent: Run[] = [];
  readonly events: CallEvent[] = [];
  readonly reservations = new Set<string>();
  readonly caches = new Set<string>();
  readonly caller = new AbortController();
  readonly upstreams = new UpstreamTable(this.clock);
  /** Bytes that the host states to hold beside the body of a response. */
  incompleteBytes = 0;
  private readonly shutdown = new ShutdownSchedule(this.clock);
  private readonly forwarder: GenerationForwarder;
  private readonly sends: CallSends;
  private readonly pool: PoolDocument;
  private ids = 0;

  /** Each run follows the next script, and the last one all later runs. */
  constructor(
    private readonly scripts: readonly RunScript[],
    readonly options: SceneOptions,
  ) {
    const {clock, upstreams} = this;
    const versions = options.versions ?? ['v1', 'v1', 'v1'];
    const documents = [
      documentOf('p-1', 'prefill', 'v1'),
      ...versions.map((version, index) =>
        documentOf(`d-${index + 1}`, 'decode', version),
      ),
    ];
    upstreams.replace(new Map(documents.map(each => [each.name, each])));
    this.pool = {
      kind: 'Pool',
      name: 'engines',
      spec: {
        upstreams: {},
        engine: {
          slots: 8,
          memoryTokens: 20_000,
          reservationMilliseconds,
          cacheHoldMilliseconds: 4000,
        },
      },
    } as unknown as PoolDocument;
    const transport = this.transport();
    const requestLimits = createRequestLimits(clock);
    const retryBudget = createRetryBudget(clock, options.retries);
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

  /** Relays one stream to its end. */
  async relay(): Promise<Outcome> {
    const {deadline = 14_000, maximumTries = 2, callerDelay = 0} = this.options;
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
      route: {name: 'reviews', target, pools: [{pool: this.pool, weight: 1}]},
    } as unknown as RoutedCall;
    const generation = {promptTokens: 100, maximumOutputTokens: 50};
    const ids: number[] = [];
    const versions = new Set<string>();
    const outcome = (isWhole: boolean): Outcome => ({
      ids,
      versions,
      isWhole,
      endedAt: this.clock.now(),
    });
    const forwarded = await this.forwarder.forward(
      call,
      generation as never,
      this.sends,
      this.caller.signal,
    );
    if (forwarded.isErr) return outcome(false);
    try {
      for await (const bytes of forwarded.value.body) {
        const text = Buffer.from(bytes).toString();
        for (const [, id, version] of text.matchAll(
          /id: (\d+)\ndata: (\w+)/g,
        )) {
          ids.push(Number(id));
          versions.add(version!);
        }
        if (callerDelay > 0) await this.clock.sleep(callerDelay);
      }
      return outcome(forwarded.value.status === 200);
    } catch {
      return outcome(false);
    } finally {
      this.forwarder.close();
    }
  }

  /** The runs that engines executed. */
  get runs(): readonly Run[] {
    return this.sent.filter(({isExecuted}) => isExecuted);
  }

  /** Number of runs that were sent. */
  get sentRuns(): number {
    return this.sent.length;
  }

  /** Begins a stop of 8 s. */
  stop(): void {
    const now = this.clock.now();
    const times = {signalledAt: now, admitsUntil: now + 1000};
    this.shutdown.begin({...times, endsAt: now + 8000});
  }

  /**
   * Longest time for which two engines ran the stream, in milliseconds. They begin
   * with the heads of their responses.
   */
  longestOverlap(): number {
    const {runs, clock} = this;
    const now = clock.now();
    const overlaps = runs.flatMap((run, index) =>
      runs
        .slice(index + 1)
        .map(
          ({beganAt, endedAt = now}) =>
            Math.min(run.endedAt ?? now, endedAt) - beganAt,
        ),
    );
    return Math.max(0, ...overlaps);
  }

  /** What the host has not released, by kind. */
  remains(): readonly string[] {
    return [
      ...(this.reservations.size > 0 ? ['reservation'] : []),
      ...(this.caches.size > 0 ? ['cache'] : []),
      ...(this.upstreams.localLoads().length > 0 ? ['load'] : []),
      ...(this.runs.some(({endedAt}) => endedAt === undefined) ? ['run'] : []),
    ];
  }

  private transport(): PassthroughTransport {
    const {clock} = this;
    const partial: Partial<PassthroughTransport> = {
      releaseReservation: (_upstream, id) => {
        this.reservations.delete(id);
        return Promise.resolve(Result.ok(undefined));
      },
      releaseCache: ({handle}) => {
        this.caches.delete(handle);
        return Promise.resolve(Result.ok(undefined));
      },
      reserve: async (_upstream, _tokens, lifetimeMilliseconds) => {
        await clock.sleep(2);
        const id = `hold-${(this.ids += 1)}`;
        this.reservations.add(id);
        // One that only asks for the start of a process is left to expire.
        if (lifetimeMilliseconds < reservationMilliseconds)
          void clock
            .sleep(lifetimeMilliseconds)
            .then(() => this.reservations.delete(id));
        return Result.ok({id, startedAt: 1});
      },
      probe: () => Promise.resolve(true),
      prefill: async (_upstream, _call, _options, signal) => {
        await clock.sleep(this.options.prefillMilliseconds ?? 0, signal);
        const upstream = upstreamId('p-1');
        if (signal.aborted) return Result.err({kind: 'cancelled', upstream});
        const handle = `cache-${(this.ids += 1)}`;
        this.caches.add(handle);
        return Result.ok(handle);
      },
      send: async ({name, spec}, _call, options, signal) => {
        const {scripts, sent} = this;
        const script = scripts[Math.min(sent.length, scripts.length - 1)]!;
        const {headDelay = 1, fails, status = 200} = script;
        const upstream = upstreamId(name);
        const isExecuted = fails !== 'refused' && fails !== 'unreachable';
        const run: Run = {
          isExecuted,
          script,
          sentAt: clock.now(),
          beganAt: Infinity,
          events: 0,
          endedAt: undefined,
          isCancelled: false,
        };
        sent.push(run);
        signal.addEventListener('abort', () => {
          run.isCancelled ||= run.endedAt === undefined;
          run.endedAt ??= clock.now();
        });
        if (isExecuted) {
          this.reservations.delete(options.reservationId ?? '');
          this.caches.delete(options.cache?.handle ?? '');
        }
        await clock.sleep(headDelay, signal);
        if (signal.aborted) return Result.err({kind: 'cancelled', upstream});
        if (fails !== undefined) {
          run.endedAt ??= clock.now();
          return Result.err({kind: fails, upstream} as never);
        }
        run.beganAt = clock.now();
        const after = options.lastEventId ?? 0;
        const version = spec.softwareVersion ?? '';
        return Result.ok({
          status,
          headers: [],
          body: this.stream({name, version, run, after, signal}),
          held: {
            setIncomplete: (bytes: number) => (this.incompleteBytes = bytes),
          } as never,
        });
      },
    };
    return partial as PassthroughTransport;
  }

  private async *stream({
    name,
    version,
    run,
    after,
    signal,
  }: {
    name: string;
    version: string;
    run: Run;
    after: number;
    signal: AbortSignal;
  }): AsyncGenerator<Uint8Array> {
    const {clock} = this;
    const {script} = run;
    const {pause = 0, pausesAt, firstEventDelay = 0} = script;
    const breaksAt = run.sentAt + (script.breaksAfter ?? Infinity);
    const interrupted = (reason: 'broken' | 'cancelled') =>
      new InterruptedResponseError(upstreamId(name), reason);
    const sleepUntil = async (time: number) => {
      await clock.sleep(Math.min(time, breaksAt) - clock.now(), signal);
      if (signal.aborted) throw interrupted('cancelled');
      if (clock.now() < breaksAt) return;
      run.endedAt ??= clock.now();
      throw interrupted('broken');
    };
    await sleepUntil(clock.now() + firstEventDelay);
    for (; script.commentBytes !== undefined;) {
      yield Buffer.from(`:${' '.repeat(script.commentBytes - 3)}\n\n`);
      await sleepUntil(clock.now() + 1);
    }
    const last = script.isEmpty === true ? 0 : this.options.events;
    let next = clock.now();
    for (let id = after + 1; id <= last; id += 1) {
      if (id === pausesAt) next = Math.max(next, clock.now()) + pause;
      next += millisecondsPerEvent;
      await sleepUntil(next);
      run.events += 1;
      yield Buffer.from(`id: ${id}\ndata: ${version}\n\n`);
    }
    run.endedAt ??= clock.now();
  }
}

function documentOf(
  name: string,
  stage: string,
  softwareVersion: string,
): UpstreamDocument {
  return {
    kind: 'Upstream',
    name,
    labels: {stage},
    spec: {
      address: `${name}:1`,
      failureDomain: 'zone-a',
      softwareVersion,
      startedAt: 1,
    },
  } as unknown as UpstreamDocument;
}
