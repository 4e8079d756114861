/** The engines and services of a trace, as its hosts reach them. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Trace} from '../generated/trace.js';
import type {AccountId, AttemptId, RequestId} from '../ids.js';
import {accountId, upstreamId} from '../ids.js';
import type {ServiceSender} from '../requests/service-call.js';
import {SimulatedEngine} from '../simulation/simulated-engine.js';
import {defaultSimulatedEngineOptions} from '../simulation/simulated-engine-options.js';
import {connectEngine} from '../simulation/simulated-engine-connection.js';
import {SimulatedService} from '../simulation/simulated-service.js';
import type {Engine, UpstreamError} from '../upstreams/engine.js';
import type {TraceNetwork} from './trace-network.js';
import type {TraceRecorder} from './trace-recorder.js';

const watchMilliseconds = 50;
const stalledLinkBytesPerSecond = 1;

interface PlacedEngine {
  readonly engine: SimulatedEngine;
  readonly failureDomain: string;
  readonly options: {linkBytesPerSecond: number};
}

interface HeldMemory {
  readonly upstream: string;
  readonly attempt: AttemptId;
}

interface PlacedService {
  readonly service: SimulatedService;
  readonly failureDomain: string;
}

export class TraceUpstreams {
  private readonly engines = new Map<string, PlacedEngine>();
  private readonly services = new Map<string, PlacedService>();
  private readonly accounts = new Map<string, AccountId>();

  constructor(
    {fleet}: Trace,
    private readonly clock: Clock,
    private readonly links: TraceNetwork,
    private readonly recorder: TraceRecorder,
  ) {
    for (const {name, failureDomain} of fleet.engines ?? []) {
      const options = {...defaultSimulatedEngineOptions};
      const engine = new SimulatedEngine(upstreamId(name), clock, options);
      this.engines.set(name, {engine, failureDomain, options});
    }
    for (const each of fleet.services ?? []) {
      const {name, failureDomain, delayMilliseconds = 0} = each;
      const service = new SimulatedService(
        upstreamId(name),
        clock,
        delayMilliseconds,
        call =>
          recorder.record({
            kind: 'upstream-ran',
            upstream: upstreamId(name),
            request: call.request,
            account: accountOf(call.headers),
            phase: 'call',
            sent: JSON.stringify(call),
          }),
      );
      this.services.set(name, {service, failureDomain});
    }
  }

  /** Tokens of KV cache that all engines hold. */
  get heldTokens(): number {
    let sum = 0;
    for (const {engine} of this.engines.values()) sum += engine.heldTokens;
    return sum;
  }

  /** The engine of a fault. */
  engine(name: string): SimulatedEngine {
    return this.engines.get(name)!.engine;
  }

  /** The service of a fault. */
  service(name: string): SimulatedService {
    return this.services.get(name)!.service;
  }

  /** Slows the link of an engine to a stop, or sets it free. */
  stallTransfers(name: string, isStalled: boolean): void {
    this.engines.get(name)!.options.linkBytesPerSecond = isStalled
      ? stalledLinkBytesPerSecond
      : defaultSimulatedEngineOptions.linkBytesPerSecond;
  }

  /** An engine as hosts of `failureDomain` reach it. */
  engineFor(name: string, failureDomain: string): Engine {
    const placed = this.engines.get(name)!;
    const engine = connectEngine(
      placed.engine,
      address => this.engine(address),
      {
        delayMilliseconds: this.links.delayBetween(
          failureDomain,
          placed.failureDomain,
        ),
        isReachable: () =>
          this.links.reaches(failureDomain, placed.failureDomain),
      },
    );
    return this.recorded(engine);
  }

  /** Sends calls as hosts of `failureDomain` do. */
  senderFor(failureDomain: string): ServiceSender {
    return {
      send: async (upstream, call, signal) => {
        const placed = this.services.get(upstream.name);
        const id = upstreamId(upstream.name);
        const refused: UpstreamError = {kind: 'unreachable', upstream: id};
        if (placed === undefined) return Result.err(refused);
        const reaches = () =>
          this.links.reaches(failureDomain, placed.failureDomain);
        if (!reaches()) return Result.err(refused);
        const delay = this.links.delayBetween(
          failureDomain,
          placed.failureDomain,
        );
        await this.clock.sleep(delay);
        const answer = await placed.service.run(call, signal);
        await this.clock.sleep(delay);
        return reaches() ? answer : Result.err({kind: 'broken', upstream: id});
      },
    };
  }

  /** Records what engines hold, until `signal` is aborted. */
  async watchMemory(signal: AbortSignal): Promise<void> {
    const held = new Map<string, HeldMemory>();
    while (!signal.aborted) {
      this.recordMemory(held);
      await this.clock.sleep(watchMilliseconds, signal);
    }
  }

  private recordMemory(held: Map<string, HeldMemory>): void {
    const now = new Set<string>();
    for (const [name, {engine}] of this.engines)
      for (const {request, attempt} of engine.running()) {
        const key = `${name} ${attempt}`;
        now.add(key);
        if (held.has(key)) continue;
        held.set(key, {upstream: name, attempt});
        const upstream = upstreamId(name);
        this.recorder.record({kind: 'memory-held', upstream, attempt, request});
      }
    for (const [key, {upstream, attempt}] of held) {
      if (now.has(key)) continue;
      held.delete(key);
      this.recorder.record({
        kind: 'memory-freed',
        upstream: upstreamId(upstream),
        attempt,
      });
    }
  }

  private recorded(engine: Engine): Engine {
    const ran = (phase: 'prefill' | 'decode', body: {request: RequestId}) =>
      this.recorder.record({
        kind: 'upstream-ran',
        upstream: engine.id,
        request: body.request,
        account: this.accounts.get(body.request),
        phase,
        sent: JSON.stringify(body),
      });
    return {
      ...engine,
      prefill: (request, signal) => {
        this.accounts.set(request.request, request.account);
        ran('prefill', request);
        return engine.prefill(request, signal);
      },
      decode: (request, signal) => {
        // A stream that goes on is no new work.
        if (request.offset === 0) ran('decode', request);
        return engine.decode(request, signal);
      },
    };
  }
}

function accountOf(headers: Readonly<Record<string, string>>) {
  const name = headers['x-client-account'];
  return name === undefined ? undefined : accountId(name);
}
