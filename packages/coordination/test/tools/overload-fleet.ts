/**
 * Hosts that place calls at simulated engines. An engine that runs out of memory
 * preempts its youngest call and reads its prompt again later.
 */

import {Result} from 'true-myth';
import {
  RequestQuarantine,
  UpstreamTable,
  VirtualClock,
  seededRandom,
  upstreamId,
} from '../../src/index.js';
import type {Beat, RoutedCall, UpstreamDocument} from '../../src/index.js';
import type {PoolDocument} from '../../src/generated/documents.js';
import type {PassthroughParts} from '../../src/passthrough/passthrough-parts.js';
import {estimateMemoryTokens} from '../../src/passthrough/generation-run.js';
import {ReservationQueue} from '../../src/passthrough/reservation-queue.js';
import {expectedRemainingTokens} from '../../src/decisions/memory-forecast.js';
import {createRequestLimits, createSendGate} from './unlimited.js';

const memoryTokens = 28_159;
const slots = 64;
const engineCount = 42;
const tokensPerEvent = 11;
export const eventMilliseconds = 50;
const prefillMilliseconds = 200;
const meanPromptTokens = 3200;
const meanOutputTokens = 67 * tokensPerEvent;
/** Estimates deviate by 0.3 in the logarithm, and outputs from them by 0.5. */
const medianOutputTokens =
  meanOutputTokens / Math.exp((0.3 ** 2 + 0.5 ** 2) / 2);
const holdMilliseconds = 2000;
const reportPeriodMilliseconds = 900;
const reportDelayMilliseconds = 450;

/** Calls a second that the memory of all engines can hold. */
const sustainableRate =
  (engineCount * memoryTokens * 1000) /
  ((meanPromptTokens + meanOutputTokens / 2) *
    ((meanOutputTokens / tokensPerEvent) * eventMilliseconds) +
    meanPromptTokens * prefillMilliseconds);

export const kinds = [
  {urgency: 0, target: 800},
  {urgency: 1, target: 1000},
  {urgency: 2, target: 2000},
] as const;

export interface SimulatedCall {
  readonly kind: number;
  readonly account: number;
  readonly arrivedAt: number;
  readonly promptTokens: number;
  outcome: 'waiting' | 'refused' | 'started';
  settledAt: number;
}

interface Running {
  readonly promptTokens: number;
  readonly outputTokens: number;
  generatedTokens: number;
  /** Time from which it generates; infinite while it is preempted. */
  readyAt: number;
  onProgress: (generatedTokens: number) => void;
  onEnd: () => void;
}

class SimulatedEngine {
  readonly holds = new Map<string, number>();
  readonly running: Running[] = [];
  preemptions = 0;
  /** Prompt tokens that were read again after a preemption. */
  repeatedTokens = 0;

  get usedTokens(): number {
    let sum = 0;
    for (const tokens of this.holds.values()) sum += tokens;
    for (const each of this.running)
      if (each.readyAt < Infinity)
        sum += each.promptTokens + each.generatedTokens;
    return sum;
  }

  tick(now: number): void {
    for (const each of [...this.running]) {
      if (each.readyAt > now) continue;
      each.generatedTokens += tokensPerEvent;
      each.onProgress(each.generatedTokens);
      if (each.generatedTokens < each.outputTokens) continue;
      this.running.splice(this.running.indexOf(each), 1);
      each.onEnd();
    }
    while (this.usedTokens > memoryTokens) {
      const youngest = this.running.findLast(each => each.readyAt < Infinity);
      if (youngest === undefined) break;
      youngest.readyAt = Infinity;
      this.preemptions += 1;
    }
    for (const each of this.running) {
      const tokens = each.promptTokens + each.generatedTokens;
      if (each.readyAt < Infinity || this.usedTokens + tokens > memoryTokens)
        continue;
      each.readyAt = now + prefillMilliseconds;
      this.repeatedTokens += tokens;
    }
  }
}

export interface OverloadOptions {
  readonly hostCount: number;
  /** Multiple of the sustainable rate at a time. */
  readonly load: (now: number) => number;
  readonly milliseconds: number;
  readonly isForecast: boolean;
  readonly seed: number;
}

export interface OverloadResult {
  readonly calls: readonly SimulatedCall[];
  readonly preemptions: number;
  readonly readTokens: number;
  readonly repeatedTokens: number;
  /** Part of the memory in use, averaged over the second half. */
  readonly memoryUse: number;
}

export function isOnTime({kind, arrivedAt, settledAt, outcome}: SimulatedCall) {
  const firstTokenAt = settledAt + prefillMilliseconds + eventMilliseconds;
  return (
    outcome === 'started' && firstTokenAt - arrivedAt <= kinds[kind]!.target
  );
}

/** Calls that the memory can hold in a period of constant load. */
export function sustainableCalls(milliseconds: number): number {
  return (sustainableRate * milliseconds) / 1000;
}

export async function simulateOverload(
  options: OverloadOptions,
): Promise<OverloadResult> {
  const clock = new VirtualClock();
  const random = seededRandom(options.seed);
  // Apart from the decisions, so that all of them face the same calls.
  const arrivals = seededRandom(options.seed + 1);
  const normal = () =>
    Math.sqrt(-2 * Math.log(1 - arrivals.next())) *
    Math.cos(2 * Math.PI * arrivals.next());
  const engines = new Map(
    Array.from({length: engineCount}, (_, index) => [
      `d-${index}`,
      new SimulatedEngine(),
    ]),
  );
  const pool = {
    kind: 'Pool',
    name: 'engines',
    spec: {
      upstreams: {},
      engine: {
        slots,
        memoryTokens,
        reservationMilliseconds: holdMilliseconds,
        tokensPerEvent,
      },
    },
  } as unknown as PoolDocument;
  const documents = [...engines.keys()].map(
    name =>
      ({
        kind: 'Upstream',
        name,
        labels: {stage: 'decode'},
        spec: {address: `${name}:1`, failureDomain: 'a'},
      }) as unknown as UpstreamDocument,
  );
  let holdCount = 0;
  const reserve = async ({name}: UpstreamDocument, tokens: number) => {
    await clock.sleep(2);
    const engine = engines.get(name)!;
    if (
      engine.usedTokens + tokens > memoryTokens ||
      engine.running.length + engine.holds.size >= slots
    )
      return Result.err({kind: 'refused', upstream: upstreamId(name)});
    const id = `hold-${(holdCount += 1)}`;
    engine.holds.set(id, tokens);
    return Result.ok({id, startedAt: undefined});
  };
  const hostNames = Array.from(
    {length: options.hostCount},
    (_, index) => `h${index}`,
  );
  const hosts = hostNames.map(self => {
    const upstreams = new UpstreamTable(clock);
    upstreams.replace(new Map(documents.map(each => [each.name, each])));
    const parts = {
      clock,
      random,
      transport: {reserve},
      upstreams,
      requestLimits: createRequestLimits(clock),
      sendGate: createSendGate(clock),
      observer: () => undefined,
      quarantine: new RequestQuarantine({
        clock,
        onChange: () => undefined,
        onLearned: () => undefined,
      }),
      self,
      members: () => hostNames.map(host => ({host, isLive: true})),
    } as unknown as PassthroughParts;
    return {upstreams, queue: new ReservationQueue(parts, () => pool)};
  });

  const calls: SimulatedCall[] = [];
  let readTokens = 0;
  const serve = async (host: (typeof hosts)[number], call: SimulatedCall) => {
    const {target, urgency} = kinds[call.kind]!;
    const expectedOutputTokens = medianOutputTokens * Math.exp(0.3 * normal());
    const outputTokens = Math.min(
      2048,
      expectedOutputTokens * Math.exp(0.5 * normal()),
    );
    const generation = {
      model: '',
      promptTokens: call.promptTokens,
      maximumOutputTokens: 2048,
      expectedOutputTokens,
      promptParts: [],
    };
    const routed = {
      id: String(calls.length),
      arrivedAt: call.arrivedAt,
      receivedAt: call.arrivedAt,
      urgency,
      deadline: call.arrivedAt + 30_000,
      account: `account-${call.account}`,
      generation,
      route: {firstTokenTargetMilliseconds: target, target: {}},
    } as unknown as RoutedCall;
    const reserved = await host.queue.reserve(
      routed,
      estimateMemoryTokens(generation),
      call.arrivedAt + 2.7 * target,
      {avoidedUpstreams: new Set(), softwareVersion: undefined},
      new AbortController().signal,
      options.isForecast
        ? {
            promptTokens: call.promptTokens,
            estimate: generation,
            generatedTokens: 0,
            urgencyRank: call.kind,
          }
        : undefined,
    );
    call.settledAt = clock.now();
    call.outcome = reserved.isOk ? 'started' : 'refused';
    if (reserved.isErr) return;
    const {upstream, reservationId, load} = reserved.value;
    const engine = engines.get(upstream.document.name)!;
    readTokens += call.promptTokens;
    await clock.sleep(prefillMilliseconds);
    engine.holds.delete(reservationId!);
    engine.running.push({
      promptTokens: call.promptTokens,
      outputTokens,
      generatedTokens: 0,
      readyAt: clock.now(),
      onProgress: generated =>
        load.setMemoryTokens(
          call.promptTokens + generated,
          expectedRemainingTokens(generation, generated),
        ),
      onEnd: () => load.release(),
    });
  };
  const report = async (index: number) => {
    await clock.sleep(random.next() * reportPeriodMilliseconds);
    while (clock.now() < options.milliseconds) {
      const loads = hosts[index]!.upstreams.localLoads();
      const beat = {host: `h${index}`, leaving: false, loads};
      void clock.sleep(reportDelayMilliseconds).then(() => {
        for (const [other, {upstreams}] of hosts.entries())
          if (other !== index)
            upstreams.recordHeartbeat(beat as unknown as Beat);
      });
      await clock.sleep(reportPeriodMilliseconds);
    }
  };
  let memorySum = 0;
  let memorySamples = 0;
  const tickEngines = async () => {
    while (clock.now() < options.milliseconds) {
      for (const engine of engines.values()) {
        engine.tick(clock.now());
        if (clock.now() < options.milliseconds / 2) continue;
        memorySum += engine.usedTokens / memoryTokens;
        memorySamples += 1;
      }
      await clock.sleep(eventMilliseconds);
    }
  };
  const arrive = async () => {
    for (;;) {
      const rate = sustainableRate * options.load(clock.now());
      await clock.sleep((-Math.log(1 - arrivals.next()) * 1000) / rate);
      if (clock.now() >= options.milliseconds) return;
      const promptTokens = Math.min(
        6600,
        Math.max(1000, 3000 * Math.exp(0.4 * normal())),
      );
      const call: SimulatedCall = {
        kind: Math.floor(arrivals.next() * kinds.length),
        account: Math.floor(arrivals.next() * 8),
        arrivedAt: clock.now(),
        promptTokens: Math.round(promptTokens),
        outcome: 'waiting',
        settledAt: Infinity,
      };
      calls.push(call);
      void serve(hosts[Math.floor(arrivals.next() * hosts.length)]!, call);
    }
  };
  void arrive();
  void tickEngines();
  if (hosts.length > 1) hosts.forEach((_, index) => void report(index));
  await clock.advance(options.milliseconds);
  // Calls that still wait are refused, and those that run are left alone.
  for (const {queue} of hosts) queue.close();
  const totals = [...engines.values()];
  return {
    calls,
    preemptions: totals.reduce((sum, each) => sum + each.preemptions, 0),
    repeatedTokens: totals.reduce((sum, each) => sum + each.repeatedTokens, 0),
    readTokens,
    memoryUse: memorySum / memorySamples,
  };
}
