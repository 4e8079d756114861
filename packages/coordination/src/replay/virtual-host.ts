/** A host of a trace that can be started, killed, paused and drained. */

import {Host} from '../host/host.js';
import type {HostParts} from '../host/host.js';
import type {Clock} from '../clock.js';
import {failureDomainId, hostId, incarnation} from '../ids.js';
import type {HostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {ServiceCall, ServiceSender} from '../requests/service-call.js';
import type {InMemoryNetwork} from '../simulation/in-memory-network.js';
import {
  PauseGate,
  pausableClock,
  pausableTransport,
} from '../simulation/pause-gate.js';
import type {Engine} from '../upstreams/engine.js';
import type {VirtualPlatform} from './virtual-platform.js';
import type {TraceTopology} from './trace-topology.js';
import type {TraceRecorder} from './trace-recorder.js';

/** Dependencies shared by all hosts of a trace. */
export interface TraceContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: InMemoryNetwork;
  readonly topology: TraceTopology;
  readonly platform: VirtualPlatform;
  readonly recorder: TraceRecorder;
  readonly seeds: readonly HostId[];
  engineFor(name: string, failureDomain: string): Engine;
  senderFor(failureDomain: string): ServiceSender;
}

/** One simulated process of a host, created by each start. */
interface HostProcess {
  readonly host: Host;
  readonly gate: PauseGate;
  /** Aborted when the process is killed. */
  readonly killed: AbortController;
}

const drainPollIntervalMilliseconds = 50;

export class VirtualHost {
  readonly id: HostId;
  isDraining = false;
  /** Number of requests that the host has not answered yet. */
  inFlightRequests = 0;
  private startCount = 0;
  private process: HostProcess | undefined;
  private pauseBeforeSendMilliseconds: number | undefined;

  constructor(
    name: string,
    readonly failureDomain: string,
    private readonly context: TraceContext,
  ) {
    this.id = hostId(name);
  }

  /** The running process, or undefined while the host is stopped. */
  get runningProcess(): HostProcess | undefined {
    return this.process;
  }

  start(): void {
    const {network, recorder} = this.context;
    this.startCount += 1;
    const self = {
      host: this.id,
      incarnation: incarnation(`${this.id}/${this.startCount}`),
    };
    const gate = new PauseGate();
    const host = new Host(this.createParts(self, gate));
    network.attach(this.id, async (body, from) => {
      await gate.waitUntilResumed();
      return gate.delayUntilResumed(host.handlePeerRequest(body, from));
    });
    host.store.subscribe(({version}) =>
      recorder.record({kind: 'version-in-force', host: this.id, version}),
    );
    this.process = {host, gate, killed: new AbortController()};
    this.isDraining = false;
    void host.start();
  }

  /** Terminates the process without shutting it down. */
  kill(): void {
    const {network, recorder} = this.context;
    // The gate is never resumed, so the tasks of the killed process stop.
    this.process?.gate.pause();
    this.process?.killed.abort();
    this.process = undefined;
    network.detach(this.id);
    recorder.record({kind: 'host-lost', host: this.id});
  }

  /** Pauses the process, either now or just before its next service call. */
  pause(milliseconds: number, shouldWaitForServiceCall: boolean): void {
    if (shouldWaitForServiceCall)
      this.pauseBeforeSendMilliseconds = milliseconds;
    else void this.pauseFor(milliseconds);
  }

  /** Rejects new requests and stops after all in-flight ones are answered. */
  async drain(): Promise<void> {
    const {clock, network, recorder} = this.context;
    this.isDraining = true;
    recorder.record({kind: 'drain-started', host: this.id});
    while (this.inFlightRequests > 0)
      await clock.sleep(drainPollIntervalMilliseconds);
    await this.process?.host.close();
    network.detach(this.id);
    this.process = undefined;
  }

  private async pauseFor(milliseconds: number): Promise<void> {
    const gate = this.process?.gate;
    gate?.pause();
    await this.context.clock.sleep(milliseconds);
    if (this.process?.gate === gate) gate?.resume();
  }

  private createParts(self: HostParts['self'], gate: PauseGate): HostParts {
    const {context, failureDomain} = this;
    const {network, topology, recorder} = context;
    let attemptCount = 0;
    const platform = context.platform.sourceFor(() =>
      topology.canReachPlatform(failureDomain),
    );
    return {
      clock: pausableClock(context.clock, gate),
      random: context.random,
      self,
      failureDomain: failureDomainId(failureDomain),
      transport: pausableTransport(network.transportOf(self), gate),
      reconnect: async () => {},
      platform: {
        watch: (after, wait, signal) =>
          gate.delayUntilResumed(platform.watch(after, wait, signal)),
      },
      seeds: context.seeds,
      engines: {
        engineOf: ({name}) =>
          pausableEngine(context.engineFor(name, failureDomain), gate),
      },
      sender: this.pausableSender(context.senderFor(failureDomain), gate),
      makeAttemptId: () => `${self.incarnation}/${(attemptCount += 1)}`,
      observer: {
        tokensUsed: (account, tokens, admittedAt) =>
          recorder.record({kind: 'tokens-used', account, tokens}, admittedAt),
      },
    };
  }

  private pausableSender(
    sender: ServiceSender,
    gate: PauseGate,
  ): ServiceSender {
    return {
      send: async (upstream, call: ServiceCall, signal) => {
        if (this.pauseBeforeSendMilliseconds !== undefined) {
          void this.pauseFor(this.pauseBeforeSendMilliseconds);
          this.pauseBeforeSendMilliseconds = undefined;
          await gate.waitUntilResumed();
        }
        return gate.delayUntilResumed(sender.send(upstream, call, signal));
      },
    };
  }
}

/** Delays the results of `engine` while `gate` is paused. */
function pausableEngine(engine: Engine, gate: PauseGate): Engine {
  return {
    id: engine.id,
    address: engine.address,
    load: signal => gate.delayUntilResumed(engine.load(signal)),
    prefill: (request, signal) =>
      gate.delayUntilResumed(engine.prefill(request, signal)),
    importCache: (request, signal) =>
      gate.delayUntilResumed(engine.importCache(request, signal)),
    decode: (request, signal) =>
      gate.delayItemsUntilResumed(engine.decode(request, signal)),
    cancel: (attempt, signal) =>
      gate.delayUntilResumed(engine.cancel(attempt, signal)),
    running: signal => gate.delayUntilResumed(engine.running(signal)),
    cacheEvents: (after, signal) =>
      gate.delayUntilResumed(engine.cacheEvents(after, signal)),
    order: (order, number, signal) =>
      gate.delayUntilResumed(engine.order(order, number, signal)),
  };
}
