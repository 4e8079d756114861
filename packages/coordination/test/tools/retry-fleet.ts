/**
 * Hosts before engines that refuse part of their requests, in virtual time. Counts
 * the requests that reach the engines of one pool as their operators do, over all
 * hosts and all processes of each.
 */

import {Result} from 'true-myth';
import {
  DiscoveredFleet,
  EngineReleases,
  InterruptedResponseError,
  PassthroughHost,
  RequestQuarantine,
  SoftwareVersionHistory,
  StreamOrigins,
  UpstreamTable,
  VirtualClock,
  encodeSpares,
  failureDomainId,
  hostId,
  seededRandom,
  upstreamId,
} from '../../src/index.js';
import type {
  IncomingCall,
  PassthroughResponse,
  PassthroughTransport,
  RoutedCall,
  UpstreamDocument,
} from '../../src/index.js';
import type {PoolDocument} from '../../src/generated/documents.js';
import type {HandoverTransport} from '../../src/passthrough/call-handover.js';
import type {PassthroughHostParts} from '../../src/passthrough/passthrough-host.js';
import type {PassthroughRoute} from '../../src/passthrough/route-table.js';
import {RetryNode, firstPort} from './retry-node.js';
import {createRequestLimits, createSendGate} from './unlimited.js';

export interface RetryFleetOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Calls of all hosts in a second. */
  readonly callsPerSecond: number;
  /** Fixed part of the budget, for all hosts. */
  readonly extra: number;
}

export const ratio = 0.2;
export const windowMilliseconds = 10_000;

const poolName = 'engines';

const domains = ['a', 'b', 'c'];
const engineCount = 12;
const seedCount = 3;
const hopMilliseconds = 1;
const prefillMilliseconds = 60;
const runMilliseconds = 20;
const deadlineMilliseconds = 5000;
/** Time in which a process that was killed starts again. */
const startMilliseconds = 500;
const idleMilliseconds = 50;

const pool = {
  kind: 'Pool',
  name: poolName,
  spec: {
    upstreams: {},
    engine: {
      slots: 64,
      memoryTokens: 1e6,
      reservationMilliseconds: 2000,
      cacheHoldMilliseconds: 2000,
    },
  },
} as unknown as PoolDocument;

const route = {
  name: 'reviews',
  document: {kind: 'Route', name: 'reviews', spec: {}},
  target: {
    kind: 'passthrough',
    repeatable: true,
    resumable: true,
    maximumTries: 2,
    timeoutMilliseconds: deadlineMilliseconds,
  },
  pools: [{pool, weight: 1}],
  urgency: 1,
  allowedRegions: undefined,
  firstTokenTargetMilliseconds: 900,
} as unknown as PassthroughRoute;

const engines = Array.from(
  {length: engineCount},
  (_, index) =>
    ({
      kind: 'Upstream',
      name: `e-${index}`,
      labels: {stage: index % 3 === 0 ? 'prefill' : 'decode'},
      spec: {address: `e-${index}:80`, failureDomain: domains[index % 3]},
    }) as unknown as UpstreamDocument,
);

/** A request that reached an engine. */
interface Arrival {
  readonly call: string;
  readonly at: number;
  /** Whether it read the prompt and was accepted. */
  readonly isPrefilled: boolean;
}

interface Datagram {
  readonly from: RetryNode;
  readonly to: RetryNode;
  readonly receive: () => void;
}

/** The window in which most was received beyond what the budget allows. */
export interface WorstWindow {
  readonly from: number;
  readonly repeats: number;
  readonly allowed: number;
}

export class RetryFleet {
  readonly clock = new VirtualClock();
  readonly nodes: RetryNode[];
  /** Share of the requests that engines refuse. */
  refusedShare = 0;
  /** Calls of all hosts in a second; none at first. */
  callsPerSecond = 0;
  served = 0;
  /** Heartbeats that arrive together. */
  private datagrams: Datagram[] = [];
  private readonly requestTimes: number[] = [];
  private readonly arrivals: Arrival[] = [];
  private readonly random;

  constructor(readonly options: RetryFleetOptions) {
    this.random = seededRandom(options.seed);
    this.nodes = Array.from(
      {length: options.hosts},
      (_, index) =>
        new RetryNode(index, domains[index % domains.length]!, this.random),
    );
    for (const node of this.nodes) void this.start(node);
    void this.sendCalls();
  }

  /** Nodes by their position in the fleet, as a fraction. */
  part(from: number, to: number): RetryNode[] {
    const {length} = this.nodes;
    return this.nodes.slice(Math.round(from * length), Math.round(to * length));
  }

  /** Kills the processes of `nodes`, which start again after a short time. */
  kill(nodes: readonly RetryNode[]): void {
    for (const node of nodes) {
      node.stop();
      void this.clock.sleep(startMilliseconds).then(() => this.start(node));
    }
  }

  /** Adds hosts, which know the seeds as the others do. */
  add(count: number, group = 0): void {
    for (let added = 0; added < count; added += 1) {
      const index = this.nodes.length;
      const domain = domains[index % domains.length]!;
      const node = new RetryNode(index, domain, this.random);
      node.group = group;
      this.nodes.push(node);
      void this.start(node);
    }
  }

  /** Cuts `nodes` off from the others, but not from callers and engines. */
  cut(nodes: readonly RetryNode[], group = 1): void {
    for (const node of nodes) node.group = group;
  }

  /** Cuts the links of `nodes` to all engines. */
  strand(nodes: readonly RetryNode[]): void {
    for (const node of nodes) node.isStranded = true;
  }

  async run(milliseconds: number): Promise<void> {
    await this.clock.advance(milliseconds);
  }

  close(): void {
    for (const node of this.nodes) node.stop();
  }

  /** The worst window that begins after `from`. */
  worstWindow(from = 0): WorstWindow {
    const repeats = this.repeatTimes().filter(time => time >= from);
    const window = windowMilliseconds;
    let worst: WorstWindow = {from, repeats: 0, allowed: this.options.extra};
    repeats.forEach((start, index) => {
      let end = index;
      while (end < repeats.length && repeats[end]! < start + window) end += 1;
      const requests = Math.max(
        ...[0, window / 2, window].map(shift =>
          this.requestsFrom(start - shift),
        ),
      );
      const allowed = ratio * requests + this.options.extra;
      const count = end - index;
      if (count - allowed > worst.repeats - worst.allowed)
        worst = {from: start, repeats: count, allowed};
    });
    return worst;
  }

  /** Repeats in a period. */
  repeatsBetween(from: number, to: number): number {
    return this.repeatTimes().filter(time => time >= from && time < to).length;
  }

  private requestsFrom(start: number): number {
    return this.requestTimes.filter(
      time => time >= start && time < start + windowMilliseconds,
    ).length;
  }

  /** Arrivals beyond the first of a call, without its first accepted prefill. */
  private repeatTimes(): number[] {
    const counted = new Set<string>();
    const prefilled = new Set<string>();
    return this.arrivals
      .filter(({call, isPrefilled}) => {
        if (isPrefilled && !prefilled.has(call)) {
          prefilled.add(call);
          return false;
        }
        if (counted.has(call)) return true;
        counted.add(call);
        return false;
      })
      .map(({at}) => at);
  }

  private async sendCalls(): Promise<void> {
    for (let count = 0; ; count += 1) {
      if (this.callsPerSecond === 0) {
        await this.clock.sleep(idleMilliseconds);
        continue;
      }
      const interval = 1000 / this.callsPerSecond;
      await this.clock.sleep(-Math.log(1 - this.random.next()) * interval);
      this.requestTimes.push(this.clock.now());
      // Load balancers spread connections unevenly.
      const place = this.random.next() ** 1.3 * this.nodes.length;
      void this.call(this.nodes[Math.floor(place)]!, `call-${count}`);
    }
  }

  private async call(node: RetryNode, id: string): Promise<void> {
    const {host} = node;
    if (host === undefined) return;
    const response = await host.forward(
      {...incomingCall(id), arrivedAt: this.clock.now()},
      {route, account: undefined},
      new Uint8Array(300),
      node.signal,
    );
    if (response.isErr || response.value.status !== 200) return;
    try {
      for await (const _ of response.value.body);
      this.served += 1;
    } catch (error) {
      if (!(error instanceof InterruptedResponseError)) throw error;
    }
  }

  private async start(node: RetryNode): Promise<void> {
    const {clock, random} = this;
    await clock.sleep(300 * random.next());
    if (node.host !== undefined) return;
    const {signal} = node.begin();
    const upstreams = new UpstreamTable(clock);
    upstreams.replace(new Map(engines.map(each => [each.name, each])));
    const transport = this.createTransport(node, signal);
    const requestLimits = createRequestLimits(clock);
    const members = () => node.fleet?.members() ?? [];
    const failureDomain = failureDomainId(node.domain);
    const self = hostId(node.name);
    const seeds = this.nodes.slice(0, seedCount).map(({address}) => address);
    const fleet = new DiscoveredFleet({
      clock,
      random,
      self,
      incarnation: BigInt(Math.round(clock.wallNow())),
      address: () => node.address,
      failureDomain,
      seeds,
      sender: {
        send: (address, beat) =>
          this.deliver(node, address, to => to.fleet?.receive(beat)),
      },
      localState: () => ({
        usage: [],
        loads: [],
        configurationVersion: 1n,
        platformEpoch: undefined,
        platformEpochAgeMilliseconds: 0,
        quarantine: {
          upstreamLosses: [],
          quarantinedTraits: [],
          soundTraits: [],
        },
        requestLimits: [],
        handoverAddress: node.address,
        unreachablePools: upstreams.isOutOfReach(pool) ? [pool.name] : [],
        seedContactAgeMilliseconds: node.contact!.ageMilliseconds,
        spareRetries: encodeSpares(node.budget!.spares()),
      }),
      onHeartbeat: ({address, seedContactAgeMilliseconds, spareRetries}) => {
        node.contact?.recordPeer(seedContactAgeMilliseconds);
        node.loans?.recordPeer(address, spareRetries);
      },
      onChange: () => undefined,
    });
    const versionHistory = new SoftwareVersionHistory({clock});
    const parts = {
      clock,
      random,
      self,
      failureDomain,
      transport,
      upstreams,
      releases: new EngineReleases(transport, upstreams, requestLimits),
      requestLimits,
      sendGate: createSendGate(clock),
      retryBudget: node.createBudget(
        clock,
        fleet,
        seeds,
        (address, message) =>
          this.deliver(node, address, to =>
            to.loans?.receive(node.address, message),
          ),
        this.options,
      ),
      quarantine: new RequestQuarantine({
        clock,
        onChange: () => undefined,
        onLearned: () => undefined,
      }),
      streamOrigins: new StreamOrigins({
        clock,
        failureDomain,
        members: () => [],
        send: () => undefined,
      }),
      members,
      handoverTransport: this.createHandover(node, signal),
      versionHistory,
      observer: () => undefined,
      routes: () => undefined,
      freshness: {age: () => 0},
      limiter: undefined,
    } as unknown as PassthroughHostParts;
    node.fleet = fleet;
    node.host = new PassthroughHost(parts);
    fleet.start();
    while (!signal.aborted) {
      versionHistory.record(engines, clock.now());
      await clock.sleep(800);
    }
  }

  private deliver(
    from: RetryNode,
    address: string,
    receive: (to: RetryNode) => void,
  ): void {
    const to = this.nodeAt(address);
    if (to === undefined || to.group !== from.group) return;
    this.datagrams.push({from, to, receive: () => receive(to)});
    if (this.datagrams.length > 1) return;
    void this.clock.sleep(hopMilliseconds).then(() => {
      const arrived = this.datagrams;
      this.datagrams = [];
      for (const each of arrived)
        if (each.to.group === each.from.group) each.receive();
    });
  }

  private nodeAt(address: string): RetryNode | undefined {
    const index = Number(address.split(':')[1]) - firstPort;
    return this.nodes[index];
  }

  private createTransport(
    node: RetryNode,
    signal: AbortSignal,
  ): PassthroughTransport {
    const {clock} = this;
    /** Resolves with whether a request arrives and is accepted. */
    const reach = async () => {
      await clock.sleep(hopMilliseconds);
      if (node.isStranded || signal.aborted) return 'unreachable' as const;
      return this.random.next() < this.refusedShare ? 'refused' : 'accepted';
    };
    const fail = (kind: 'unreachable' | 'refused', {name}: UpstreamDocument) =>
      Result.err({kind, upstream: upstreamId(name)});
    const answer = async <Value>(
      upstream: UpstreamDocument,
      call: string | undefined,
      milliseconds: number,
      value: Value,
      isPrefill = false,
    ) => {
      const reached = await reach();
      if (reached === 'unreachable') return fail(reached, upstream);
      const isPrefilled = isPrefill && reached === 'accepted';
      if (call !== undefined)
        this.arrivals.push({call, at: clock.now(), isPrefilled});
      if (reached === 'refused') return fail(reached, upstream);
      await clock.sleep(milliseconds);
      return Result.ok(value);
    };
    const transport = {
      reserve: async (upstream: UpstreamDocument) => {
        await clock.sleep(hopMilliseconds);
        return node.isStranded
          ? fail('unreachable', upstream)
          : Result.ok({id: 'hold', startedAt: undefined});
      },
      prefill: (upstream: UpstreamDocument, {id}: RoutedCall) =>
        answer(upstream, id, prefillMilliseconds, 'handle', true),
      send: (upstream: UpstreamDocument, {id}: RoutedCall) =>
        answer(upstream, id, runMilliseconds, streamedResponse()),
      releaseCache: () => Promise.resolve(Result.ok(undefined)),
      releaseReservation: () => Promise.resolve(Result.ok(undefined)),
      probe: () => Promise.resolve(!node.isStranded),
      exchange: () => Promise.resolve(!node.isStranded),
    };
    return transport as unknown as PassthroughTransport;
  }

  private createHandover(
    from: RetryNode,
    signal: AbortSignal,
  ): HandoverTransport {
    return {
      handOver: async (address, call) => {
        await this.clock.sleep(hopMilliseconds);
        const to = this.nodeAt(address);
        const upstream = upstreamId(address);
        if (to?.host === undefined || to.group !== from.group || signal.aborted)
          return Result.err({kind: 'unreachable', upstream});
        const response = await to.host.forward(
          {...call, isHandedOver: true},
          {route, account: undefined},
          call.body,
          to.signal,
        );
        if (response.isOk) return Result.ok(response.value);
        const {code, wasSent = false} = response.error;
        return code === 'no-upstream' && !wasSent
          ? Result.err({kind: 'refused', upstream})
          : Result.ok({...streamedResponse(), status: 503});
      },
    };
  }
}

function incomingCall(id: string): Omit<IncomingCall, 'arrivedAt'> {
  return {
    id,
    method: 'POST',
    host: 'reviews',
    target: '/reviews/a',
    headers: [],
    key: undefined,
    callerTimeoutMilliseconds: deadlineMilliseconds,
    generation: {
      model: 'm',
      promptTokens: 1000,
      maximumOutputTokens: 50,
      expectedOutputTokens: undefined,
      promptParts: [],
    },
    lastEventId: undefined,
    originCallId: undefined,
    isHandedOver: false,
  };
}

function streamedResponse(): PassthroughResponse {
  const body = (async function* () {
    yield Buffer.from('id: 1\ndata: text\n\n');
  })();
  return {status: 200, headers: [], body};
}
