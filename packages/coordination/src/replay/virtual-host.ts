/** A host of a trace, with its kills, starts, pauses and drains. */

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
import type {TraceNetwork} from './trace-network.js';
import type {TraceRecorder} from './trace-recorder.js';

/** What all hosts of a trace share. */
export interface VirtualWorld {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: InMemoryNetwork;
  readonly links: TraceNetwork;
  readonly platform: VirtualPlatform;
  readonly recorder: TraceRecorder;
  readonly seeds: readonly HostId[];
  engineOf(name: string, failureDomain: string): Engine;
  senderOf(failureDomain: string): ServiceSender;
}

/** One start of a host. */
interface Process {
  readonly host: Host;
  readonly gate: PauseGate;
  /** Aborted when the process is killed. */
  readonly killed: AbortController;
}

const drainPollMilliseconds = 50;

export class VirtualHost {
  readonly id: HostId;
  isDraining = false;
  /** Calls that this host has not answered. */
  inFlight = 0;
  private starts = 0;
  private process: Process | undefined;
  private pauseBeforeSend: number | undefined;

  constructor(
    name: string,
    readonly failureDomain: string,
    private readonly world: VirtualWorld,
  ) {
    this.id = hostId(name);
  }

  /** The running process; undefined while the host is dead. */
  get running(): Process | undefined {
    return this.process;
  }

  start(): void {
    const {network, recorder} = this.world;
    this.starts += 1;
    const self = {
      host: this.id,
      incarnation: incarnation(`${this.id}/${this.starts}`),
    };
    const gate = new PauseGate();
    const host = new Host(this.partsOf(self, gate));
    network.attach(this.id, async (body, from) => {
      await gate.pass();
      return gate.after(host.answer(body, from));
    });
    host.store.subscribe(({version}) =>
      recorder.record({kind: 'version-in-force', host: this.id, version}),
    );
    this.process = {host, gate, killed: new AbortController()};
    this.isDraining = false;
    void host.start();
  }

  /** Ends the process without a trace of it. */
  kill(): void {
    const {network, recorder} = this.world;
    this.process?.gate.pause();
    this.process?.killed.abort();
    this.process = undefined;
    network.detach(this.id);
    recorder.record({kind: 'host-lost', host: this.id});
  }

  /** Stands still, at once or when the next call is about to be written. */
  pause(milliseconds: number, isBeforeSend: boolean): void {
    if (isBeforeSend) this.pauseBeforeSend = milliseconds;
    else void this.standStill(milliseconds);
  }

  /** Takes nothing new from now on and ends when all calls are answered. */
  async drain(): Promise<void> {
    const {clock, network, recorder} = this.world;
    this.isDraining = true;
    recorder.record({kind: 'drain-started', host: this.id});
    while (this.inFlight > 0) await clock.sleep(drainPollMilliseconds);
    await this.process?.host.close();
    network.detach(this.id);
    this.process = undefined;
  }

  private async standStill(milliseconds: number): Promise<void> {
    const gate = this.process?.gate;
    gate?.pause();
    await this.world.clock.sleep(milliseconds);
    if (this.process?.gate === gate) gate?.resume();
  }

  private partsOf(self: HostParts['self'], gate: PauseGate): HostParts {
    const {world, failureDomain} = this;
    const {network, links, recorder} = world;
    let attempts = 0;
    const platform = world.platform.sourceFor(() =>
      links.reachesPlatform(failureDomain),
    );
    return {
      clock: pausableClock(world.clock, gate),
      random: world.random,
      self,
      failureDomain: failureDomainId(failureDomain),
      transport: pausableTransport(network.transportOf(self), gate),
      reconnect: async () => {},
      platform: {
        watch: (after, wait, signal) =>
          gate.after(platform.watch(after, wait, signal)),
      },
      seeds: world.seeds,
      engines: {
        engineOf: ({name}) =>
          pausableEngine(world.engineOf(name, failureDomain), gate),
      },
      sender: this.sendThrough(world.senderOf(failureDomain), gate),
      makeAttemptId: () => `${self.incarnation}/${(attempts += 1)}`,
      observer: {
        tokensUsed: (account, tokens, admittedAt) =>
          recorder.record({kind: 'tokens-used', account, tokens}, admittedAt),
      },
    };
  }

  private sendThrough(sender: ServiceSender, gate: PauseGate): ServiceSender {
    return {
      send: async (upstream, call: ServiceCall, signal) => {
        if (this.pauseBeforeSend !== undefined) {
          void this.standStill(this.pauseBeforeSend);
          this.pauseBeforeSend = undefined;
          await gate.pass();
        }
        return gate.after(sender.send(upstream, call, signal));
      },
    };
  }
}

/** `engine` as a host sees it that pauses at `gate`. */
function pausableEngine(engine: Engine, gate: PauseGate): Engine {
  return {
    id: engine.id,
    address: engine.address,
    load: signal => gate.after(engine.load(signal)),
    prefill: (request, signal) => gate.after(engine.prefill(request, signal)),
    importCache: (request, signal) =>
      gate.after(engine.importCache(request, signal)),
    decode: (request, signal) => gate.each(engine.decode(request, signal)),
    cancel: (attempt, signal) => gate.after(engine.cancel(attempt, signal)),
    running: signal => gate.after(engine.running(signal)),
    cacheEvents: (after, signal) =>
      gate.after(engine.cacheEvents(after, signal)),
    order: (order, number, signal) =>
      gate.after(engine.order(order, number, signal)),
  };
}
