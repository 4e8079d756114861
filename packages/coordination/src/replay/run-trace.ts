/**
 * Runs a trace in virtual time on instances of the production `Host`, with
 * simulated engines, services and networks.
 */

import type {Trace, TraceFault} from '../generated/trace.js';
import {accountId, hostId, upstreamId} from '../ids.js';
import type {HostId} from '../ids.js';
import {seededRandom} from '../random.js';
import {InMemoryNetwork} from '../simulation/in-memory-network.js';
import {VirtualClock} from '../simulation/virtual-clock.js';
import {TraceCallers} from './trace-callers.js';
import type {Arrival} from './trace-callers.js';
import {initialDocuments, keysOf, upstreamDocument} from './trace-documents.js';
import {TraceTopology} from './trace-topology.js';
import {TraceRecorder} from './trace-recorder.js';
import {TraceUpstreams} from './trace-upstreams.js';
import {VirtualHost} from './virtual-host.js';
import {VirtualPlatform} from './virtual-platform.js';

/** The results of running a trace. */
export interface TraceRun {
  readonly recorder: TraceRecorder;
  /** Number of KV cache tokens held by all engines at the end. */
  readonly heldTokens: number;
  /** Lowest configuration version in force on any running host. */
  readonly lowestVersion: bigint;
}

/** Runs `trace` for its whole duration. */
export async function runTrace(trace: Trace): Promise<TraceRun> {
  const runner = new TraceRunner(trace);
  return runner.run();
}

class TraceRunner {
  private readonly clock = new VirtualClock();
  private readonly recorder = new TraceRecorder(this.clock);
  private readonly platform = new VirtualPlatform(this.clock);
  private readonly network = new InMemoryNetwork(this.clock);
  private readonly topology: TraceTopology;
  private readonly upstreams: TraceUpstreams;
  private readonly hosts: ReadonlyMap<string, VirtualHost>;
  private readonly callers: TraceCallers;

  constructor(private readonly trace: Trace) {
    const {fleet, seed} = trace;
    const random = seededRandom(seed);
    const failureDomains = new Map(
      fleet.hosts.map(host => [hostId(host.host), host.failureDomain]),
    );
    this.topology = new TraceTopology(
      host => failureDomains.get(host) ?? '',
      random,
    );
    this.network.policy = (from, to) => this.topology.deliveryBetween(from, to);
    const {clock, topology, network, platform, recorder} = this;
    const upstreams = new TraceUpstreams(trace, clock, topology, recorder);
    this.upstreams = upstreams;
    const context = {
      clock,
      random,
      network,
      topology,
      platform,
      recorder,
      seeds: [...failureDomains.keys()],
      engineFor: (name: string, domain: string) =>
        upstreams.engineFor(name, domain),
      senderFor: (domain: string) => upstreams.senderFor(domain),
    };
    this.hosts = new Map(
      fleet.hosts.map(({host, failureDomain}) => [
        host,
        new VirtualHost(host, failureDomain, context),
      ]),
    );
    this.callers = new TraceCallers(trace, clock, recorder);
  }

  async run(): Promise<TraceRun> {
    const {clock, recorder, trace} = this;
    this.publishInitialVersion();
    for (const host of this.hosts.values()) host.start();
    await clock.advance(trace.startMilliseconds ?? 0);
    const runEnded = new AbortController();
    void this.upstreams.recordMemoryUntilAborted(runEnded.signal);
    for (const arrival of trace.arrivals.flatMap(expandRepetitions))
      void this.sendArrival(arrival);
    for (const fault of trace.faults ?? []) void this.applyFault(fault);
    await clock.advance(trace.durationMilliseconds);
    runEnded.abort();
    recorder.record({kind: 'run-ended'});
    return {
      recorder,
      heldTokens: this.upstreams.heldTokens,
      lowestVersion: this.lowestVersion(),
    };
  }

  private publishInitialVersion(): void {
    const {fleet} = this.trace;
    for (const account of fleet.accounts) {
      const id = accountId(account.name);
      const {rateTokensPerSecond, burstTokens} = account;
      this.recorder.record({
        kind: 'limit-published',
        account: id,
        rateTokensPerSecond,
        burstTokens,
      });
      for (const key of keysOf(account))
        this.recorder.record({kind: 'key-published', key, account: id});
    }
    this.publish(initialDocuments(this.trace));
  }

  private publish(
    documents: readonly object[],
    withdrawnKeys: string[] = [],
  ): void {
    const version = this.platform.publish([
      ...documents.map(document => ({kind: 'publish', document}) as const),
      ...withdrawnKeys.map(key => ({kind: 'withdraw', key}) as const),
    ]);
    this.recorder.record({
      kind: 'version-published',
      version,
      hosts: this.hostsRequiredToUpdate(),
    });
  }

  /**
   * Hosts that must bring each version into force in time: those without a fault
   * of their own, or none if the trace partitions a failure domain or takes the
   * platform down.
   */
  private hostsRequiredToUpdate(): HostId[] {
    const faulted = new Set(
      (this.trace.faults ?? []).flatMap(fault =>
        'host' in fault ? [fault.host] : [],
      ),
    );
    const hasFleetFault = (this.trace.faults ?? []).some(
      ({kind}) => kind === 'cut-failure-domain' || kind === 'platform-down',
    );
    if (hasFleetFault) return [];
    return this.trace.fleet.hosts
      .filter(({host}) => !faulted.has(host))
      .map(({host}) => hostId(host));
  }

  private async sendArrival(arrival: Arrival): Promise<void> {
    await this.clock.sleep(arrival.at);
    if (arrival.kind === 'completion')
      this.recorder.expectedTokens.set(arrival.request, arrival.outputTokens);
    await this.callers.send(arrival, this.hosts.get(arrival.host)!);
  }

  private async applyFault(fault: TraceFault): Promise<void> {
    await this.clock.sleep(fault.at);
    switch (fault.kind) {
      case 'kill-host':
        return this.hosts.get(fault.host)!.kill();
      case 'start-host':
        return this.hosts.get(fault.host)!.start();
      case 'drain-host':
        return this.hosts.get(fault.host)!.drain();
      case 'pause-host':
        return this.hosts
          .get(fault.host)!
          .pause(fault.forMilliseconds, fault.before === 'next-send');
      case 'cut-failure-domain':
        this.topology.partition(fault.failureDomain);
        await this.clock.sleep(fault.forMilliseconds);
        return this.topology.endPartition(fault.failureDomain);
      case 'disturb-messages':
        this.topology.disturbance = {
          doubledShare: fault.doubledShare ?? 0,
          droppedShare: fault.droppedShare ?? 0,
          maximumDelayMilliseconds: fault.delayMilliseconds ?? 0,
        };
        await this.clock.sleep(fault.forMilliseconds);
        this.topology.disturbance = undefined;
        return;
      case 'platform-down':
      case 'platform-up':
        this.platform.isDown = fault.kind === 'platform-down';
        return;
      case 'platform-stale':
        this.platform.staleVersion = BigInt(fault.version);
        return;
      case 'lose-answers':
        this.upstreams.service(fault.service).fault = 'loses-answers';
        return;
      case 'service-down':
        this.upstreams.service(fault.service).fault = 'down';
        return;
      case 'mend-service':
        this.upstreams.service(fault.service).fault = 'none';
        return;
      case 'withdraw-key':
        this.recorder.record({kind: 'key-withdrawn', key: fault.key});
        return this.publish([], [`Key/${fault.key}`]);
      case 'publish':
        return this.publish(fault.documents);
      default:
        return this.applyEngineFault(fault.kind, fault.engine);
    }
  }

  private applyEngineFault(
    kind: Extract<TraceFault, {engine: string}>['kind'],
    name: string,
  ): void {
    const engine = this.upstreams.engine(name);
    switch (kind) {
      case 'kill-engine':
        return engine.fail({kind: 'dead'});
      case 'stall-engine':
        return engine.fail({kind: 'stalled'});
      case 'silence-engine':
        engine.silenceConnections();
        return engine.fail({kind: 'silent'});
      case 'stall-transfers':
        return this.upstreams.setTransfersStalled(name, true);
      case 'mend-engine':
        this.upstreams.setTransfersStalled(name, false);
        return engine.fail({kind: 'none'});
      case 'engine-leaves':
        return this.publishEngineLeaving(name);
    }
  }

  private publishEngineLeaving(name: string): void {
    const engine = this.trace.fleet.engines!.find(
      candidate => candidate.name === name,
    )!;
    this.recorder.record({
      kind: 'upstream-leaving',
      upstream: upstreamId(name),
    });
    const {failureDomain, role} = engine;
    this.publish([upstreamDocument(name, failureDomain, role, 'leaving')]);
  }

  private lowestVersion(): bigint {
    const versions = [...this.hosts.values()].flatMap(host =>
      host.runningProcess
        ? [host.runningProcess.host.configuration.version]
        : [],
    );
    return versions.reduce((min, version) => (version < min ? version : min));
  }
}

function expandRepetitions(arrival: Arrival): Arrival[] {
  const {repeat, ...single} = arrival;
  if (repeat === undefined) return [single];
  return Array.from({length: repeat.count}, (_, index) => ({
    ...single,
    request: `${single.request}-${index}`,
    at: single.at + index * repeat.everyMilliseconds,
  }));
}
