/** The simulated engines and services of a trace. */

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
import type {TraceTopology} from './trace-topology.js';
import type {TraceRecorder} from './trace-recorder.js';

const memoryPollIntervalMilliseconds = 50;
const stalledLinkBytesPerSecond = 1;

interface EngineInDomain {
  readonly engine: SimulatedEngine;
  readonly failureDomain: string;
  readonly options: {linkBytesPerSecond: number};
}

interface HeldMemory {
  readonly upstream: string;
  readonly attempt: AttemptId;
}

interface ServiceInDomain {
  readonly service: SimulatedService;
  readonly failureDomain: string;
}

export class TraceUpstreams {
  private readonly engines = new Map<string, EngineInDomain>();
  private readonly services = new Map<string, ServiceInDomain>();
  private readonly accountsByRequest = new Map<string, AccountId>();

  constructor(
    {fleet}: Trace,
    private readonly clock: Clock,
    private readonly topology: TraceTopology,
    private readonly recorder: TraceRecorder,
  ) {
    for (const {name, failureDomain} of fleet.engines ?? []) {
      const options = {...defaultSimulatedEngineOptions};
      const engine = new SimulatedEngine(upstreamId(name), clock, options);
      this.engines.set(name, {engine, failureDomain, options});
    }
    for (const spec of fleet.services ?? []) {
      const {name, failureDomain, delayMilliseconds = 0} = spec;
      const service = new SimulatedService(
        upstreamId(name),
        clock,
        delayMilliseconds,
        call =>
          recorder.record({
            kind: 'upstream-ran',
            upstream: upstreamId(name),
            request: call.request,
            account: accountOfHeaders(call.headers),
            phase: 'call',
            sent: JSON.stringify(call),
          }),
      );
      this.services.set(name, {service, failureDomain});
    }
  }

  /** Number of KV cache tokens held by all engines. */
  get heldTokens(): number {
    let sum = 0;
    for (const {engine} of this.engines.values()) sum += engine.heldTokens;
    return sum;
  }

  /** Returns the engine with this name, which must exist. */
  engine(name: string): SimulatedEngine {
    return this.engines.get(name)!.engine;
  }

  /** Returns the service with this name, which must exist. */
  service(name: string): SimulatedService {
    return this.services.get(name)!.service;
  }

  /** Stalls the link of an engine or restores its default rate. */
  setTransfersStalled(name: string, isStalled: boolean): void {
    this.engines.get(name)!.options.linkBytesPerSecond = isStalled
      ? stalledLinkBytesPerSecond
      : defaultSimulatedEngineOptions.linkBytesPerSecond;
  }

  /** Returns a connection to an engine for hosts of `failureDomain`. */
  engineFor(name: string, failureDomain: string): Engine {
    const target = this.engines.get(name)!;
    const engine = connectEngine(
      target.engine,
      address => this.engine(address),
      {
        delayMilliseconds: this.topology.delayBetween(
          failureDomain,
          target.failureDomain,
        ),
        isReachable: () =>
          this.topology.canReach(failureDomain, target.failureDomain),
      },
    );
    return this.withRecording(engine);
  }

  /** Returns the service sender of hosts in `failureDomain`. */
  senderFor(failureDomain: string): ServiceSender {
    return {
      send: async (upstream, call, signal) => {
        const target = this.services.get(upstream.name);
        const id = upstreamId(upstream.name);
        const unreachable: UpstreamError = {kind: 'unreachable', upstream: id};
        if (target === undefined) return Result.err(unreachable);
        const isReachable = () =>
          this.topology.canReach(failureDomain, target.failureDomain);
        if (!isReachable()) return Result.err(unreachable);
        const delay = this.topology.delayBetween(
          failureDomain,
          target.failureDomain,
        );
        await this.clock.sleep(delay);
        const answer = await target.service.handle(call, signal);
        await this.clock.sleep(delay);
        return isReachable()
          ? answer
          : Result.err({kind: 'broken', upstream: id});
      },
    };
  }

  /** Records memory held and freed by engines until `signal` is aborted. */
  async recordMemoryUntilAborted(signal: AbortSignal): Promise<void> {
    const held = new Map<string, HeldMemory>();
    while (!signal.aborted) {
      this.recordMemoryChanges(held);
      await this.clock.sleep(memoryPollIntervalMilliseconds, signal);
    }
  }

  private recordMemoryChanges(held: Map<string, HeldMemory>): void {
    const current = new Set<string>();
    for (const [name, {engine}] of this.engines)
      for (const {request, attempt} of engine.running()) {
        const key = `${name} ${attempt}`;
        current.add(key);
        if (held.has(key)) continue;
        held.set(key, {upstream: name, attempt});
        const upstream = upstreamId(name);
        this.recorder.record({kind: 'memory-held', upstream, attempt, request});
      }
    for (const [key, {upstream, attempt}] of held) {
      if (current.has(key)) continue;
      held.delete(key);
      this.recorder.record({
        kind: 'memory-freed',
        upstream: upstreamId(upstream),
        attempt,
      });
    }
  }

  private withRecording(engine: Engine): Engine {
    const recordExecution = (
      phase: 'prefill' | 'decode',
      body: {request: RequestId},
    ) =>
      this.recorder.record({
        kind: 'upstream-ran',
        upstream: engine.id,
        request: body.request,
        account: this.accountsByRequest.get(body.request),
        phase,
        sent: JSON.stringify(body),
      });
    return {
      ...engine,
      prefill: (request, signal) => {
        this.accountsByRequest.set(request.request, request.account);
        recordExecution('prefill', request);
        return engine.prefill(request, signal);
      },
      decode: (request, signal) => {
        // A decode with an offset resumes a stream that is already recorded.
        if (request.offset === 0) recordExecution('decode', request);
        return engine.decode(request, signal);
      },
    };
  }
}

function accountOfHeaders(headers: Readonly<Record<string, string>>) {
  const name = headers['x-client-account'];
  return name === undefined ? undefined : accountId(name);
}
