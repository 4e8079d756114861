/** Plays a trace through real hosts on virtual time. */

import type {Trace, TraceFault as TraceFaultEvent} from '../generated/trace.js';
import {accountId, hostId, upstreamId} from '../ids.js';
import type {HostId} from '../ids.js';
import {seededRandom} from '../random.js';
import {InMemoryNetwork} from '../simulation/in-memory-network.js';
import {VirtualClock} from '../simulation/virtual-clock.js';
import {TraceCallers} from './trace-callers.js';
import type {Arrival} from './trace-callers.js';
import {documentsOf, keysOf, upstreamDocument} from './trace-documents.js';
import {TraceNetwork} from './trace-network.js';
import {TraceRecorder} from './trace-recorder.js';
import {TraceUpstreams} from './trace-upstreams.js';
import {VirtualHost} from './virtual-host.js';
import {VirtualPlatform} from './virtual-platform.js';

/** What a played trace came to. */
export interface PlayedTrace {
  readonly recorder: TraceRecorder;
  readonly heldTokens: number;
  /** Lowest version in force at a running host. */
  readonly version: bigint;
}

/** Plays `trace` to its end. */
export async function playTrace(trace: Trace): Promise<PlayedTrace> {
  const player = new TracePlayer(trace);
  return player.play();
}

class TracePlayer {
  private readonly clock = new VirtualClock();
  private readonly recorder = new TraceRecorder(this.clock);
  private readonly platform = new VirtualPlatform(this.clock);
  private readonly network = new InMemoryNetwork(this.clock);
  private readonly links: TraceNetwork;
  private readonly upstreams: TraceUpstreams;
  private readonly hosts: ReadonlyMap<string, VirtualHost>;
  private readonly callers: TraceCallers;

  constructor(private readonly trace: Trace) {
    const {fleet, seed} = trace;
    const random = seededRandom(seed);
    const domains = new Map(
      fleet.hosts.map(each => [hostId(each.host), each.failureDomain]),
    );
    this.links = new TraceNetwork(host => domains.get(host) ?? '', random);
    this.network.policy = (from, to) => this.links.deliver(from, to);
    const {clock, links, network, platform, recorder} = this;
    const upstreams = new TraceUpstreams(trace, clock, links, recorder);
    this.upstreams = upstreams;
    const world = {
      clock,
      random,
      network,
      links,
      platform,
      recorder,
      seeds: [...domains.keys()],
      engineOf: (name: string, domain: string) =>
        upstreams.engineFor(name, domain),
      senderOf: (domain: string) => upstreams.senderFor(domain),
    };
    this.hosts = new Map(
      fleet.hosts.map(({host, failureDomain}) => [
        host,
        new VirtualHost(host, failureDomain, world),
      ]),
    );
    this.callers = new TraceCallers(trace, clock, recorder);
  }

  async play(): Promise<PlayedTrace> {
    const {clock, recorder, trace} = this;
    this.publishAll();
    for (const host of this.hosts.values()) host.start();
    await clock.advance(trace.startMilliseconds ?? 0);
    const ended = new AbortController();
    void this.upstreams.watchMemory(ended.signal);
    for (const arrival of trace.arrivals.flatMap(repeated))
      void this.sendAt(arrival);
    for (const fault of trace.faults ?? []) void this.inflictAt(fault);
    await clock.advance(trace.durationMilliseconds);
    ended.abort();
    recorder.record({kind: 'run-ended'});
    return {
      recorder,
      heldTokens: this.upstreams.heldTokens,
      version: this.lowestVersion(),
    };
  }

  private publishAll(): void {
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
    this.publish(documentsOf(this.trace));
  }

  private publish(
    documents: readonly object[],
    withdrawn: string[] = [],
  ): void {
    const version = this.platform.publish([
      ...documents.map(document => ({kind: 'publish', document}) as const),
      ...withdrawn.map(key => ({kind: 'withdraw', key}) as const),
    ]);
    this.recorder.record({
      kind: 'version-published',
      version,
      hosts: this.reachableHosts(),
    });
  }

  /** Hosts that run now and go on running, awake and not cut off. */
  private reachableHosts(): HostId[] {
    const troubled = new Set(
      (this.trace.faults ?? []).flatMap(fault =>
        'host' in fault ? [fault.host] : [],
      ),
    );
    const isCut = (this.trace.faults ?? []).some(
      ({kind}) => kind === 'cut-failure-domain' || kind === 'platform-down',
    );
    if (isCut) return [];
    return this.trace.fleet.hosts
      .filter(({host}) => !troubled.has(host))
      .map(({host}) => hostId(host));
  }

  private async sendAt(arrival: Arrival): Promise<void> {
    await this.clock.sleep(arrival.at);
    if (arrival.kind === 'completion')
      this.recorder.expectedTokens.set(arrival.request, arrival.outputTokens);
    await this.callers.send(arrival, this.hosts.get(arrival.host)!);
  }

  private async inflictAt(fault: TraceFaultEvent): Promise<void> {
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
        this.links.cut(fault.failureDomain);
        await this.clock.sleep(fault.forMilliseconds);
        return this.links.heal(fault.failureDomain);
      case 'disturb-messages':
        this.links.disturbance = {
          doubledShare: fault.doubledShare ?? 0,
          droppedShare: fault.droppedShare ?? 0,
          delayMilliseconds: fault.delayMilliseconds ?? 0,
        };
        await this.clock.sleep(fault.forMilliseconds);
        this.links.disturbance = undefined;
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
        return this.troubleEngine(fault.kind, fault.engine);
    }
  }

  private troubleEngine(
    kind: Extract<TraceFaultEvent, {engine: string}>['kind'],
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
        return this.upstreams.stallTransfers(name, true);
      case 'mend-engine':
        this.upstreams.stallTransfers(name, false);
        return engine.fail({kind: 'none'});
      case 'engine-leaves':
        return this.retire(name);
    }
  }

  private retire(name: string): void {
    const spec = this.trace.fleet.engines!.find(each => each.name === name)!;
    this.recorder.record({
      kind: 'upstream-leaving',
      upstream: upstreamId(name),
    });
    const {failureDomain, role} = spec;
    this.publish([upstreamDocument(name, failureDomain, role, 'leaving')]);
  }

  private lowestVersion(): bigint {
    const versions = [...this.hosts.values()].flatMap(host =>
      host.running ? [host.running.host.configuration.version] : [],
    );
    return versions.reduce((low, each) => (each < low ? each : low));
  }
}

function repeated(arrival: Arrival): Arrival[] {
  const {repeat, ...single} = arrival;
  if (repeat === undefined) return [single];
  return Array.from({length: repeat.count}, (_, index) => ({
    ...single,
    request: `${single.request}-${index}`,
    at: single.at + index * repeat.everyMilliseconds,
  }));
}
