/**
 * Replays plain calls of many hosts in several failure domains on virtual time.
 * Hosts use the code that forwards calls, upstreams are queues with slots.
 */

import {Result} from 'true-myth';
import {
  DomainRouter,
  PoolRetryBudget,
  RequestQuarantine,
  UpstreamSpeeds,
  UpstreamTable,
  VirtualClock,
  failureDomainId,
  seededRandom,
} from '../../src/index.js';
import type {
  RoutedCall,
  ShareChange,
  UpstreamDocument,
} from '../../src/index.js';
import type {Beat} from '../../src/generated/messages/persimmonwick/beat.js';
import type {PoolDocument} from '../../src/generated/documents.js';
import type {PassthroughParts} from '../../src/passthrough/passthrough-parts.js';
import {PlainCallForwarder} from '../../src/passthrough/plain-calls.js';
import {RetryGate} from '../../src/passthrough/retry-gate.js';
import {UpstreamLosses} from '../../src/passthrough/upstream-losses.js';
import {createRequestLimits, createSendGate} from './unlimited.js';

export interface ReplayOptions {
  readonly seed: number;
  readonly milliseconds: number;
  readonly domains: readonly string[];
  readonly upstreamsPerDomain: number;
  /** Time that the upstreams of a domain take, as a multiple of the nominal. */
  readonly factorOf: (domain: string) => number;
  /** Calls a second that arrive at the hosts of a domain. */
  readonly rateOf: (domain: string, now: number) => number;
  /** Fraction of the upstreams that are slow at a time. */
  readonly slowFraction?: number;
  readonly speeds?: 'today' | 'shared' | 'complete';
  readonly choosesDomain?: boolean;
  /** Whether two domains reach each other. */
  readonly isLinked?: (left: string, right: string, now: number) => boolean;
  /** Whether the upstreams of a domain take connections. */
  readonly isUp?: (domain: string, now: number) => boolean;
  /** Fraction of the heartbeats that are lost. */
  readonly lossFraction?: number;
}

interface ReplayHost {
  readonly name: string;
  readonly domain: string;
  readonly parts: PassthroughParts;
  readonly forwarder: PlainCallForwarder;
}

export interface ReplayedCall {
  readonly from: string;
  /** Domain of the upstream that answered; empty until then. */
  readonly to: string;
  readonly arrivedAt: number;
  /** Infinite until the call is answered. */
  readonly took: number;
  readonly isOk: boolean;
}

export const nominalMilliseconds = 57;
export const slots = 6;
const hostCount = 80;
const heartbeatMilliseconds = 200 + 12 * hostCount;
/** With half a heartbeat interval, reports are 0.9 s old on average. */
const deliveryMilliseconds = 900 - heartbeatMilliseconds / 2;
/** Time in which a call must be answered to be on time, and some. */
const answerableMilliseconds = 500;
const spellMilliseconds = 600;
const spellFactor = 2.5;

const pool = {
  kind: 'Pool',
  name: 'plain',
  spec: {role: 'service', upstreams: {matchLabels: {}}},
} as unknown as PoolDocument;

const route = {
  name: 'plain',
  pools: [{pool, weight: 1}],
  firstTokenTargetMilliseconds: 300,
  target: {repeatable: true, maximumTries: 2},
} as unknown as RoutedCall['route'];

/** A service with slots; calls beyond them wait in order. */
class ReplayUpstream {
  private free: number[] = Array<number>(slots).fill(0);

  constructor(
    readonly document: UpstreamDocument,
    private readonly millisecondsAt: (now: number) => number,
  ) {}

  /** Time at which a call that arrives now is answered. */
  serve(now: number): number {
    const index = this.free.indexOf(Math.min(...this.free));
    const startedAt = Math.max(now, this.free[index]!);
    return (this.free[index] = startedAt + this.millisecondsAt(startedAt));
  }
}

export class DomainReplay {
  readonly clock = new VirtualClock();
  readonly calls: ReplayedCall[] = [];
  /** Changes of shares at the first host of each domain. */
  readonly changes: (ShareChange & {readonly at: number})[] = [];
  readonly hosts: ReplayHost[];
  readonly upstreams = new Map<string, ReplayUpstream>();
  private readonly random;

  constructor(readonly options: ReplayOptions) {
    this.random = seededRandom(options.seed);
    for (const domain of options.domains)
      for (let index = 0; index < options.upstreamsPerDomain; index += 1)
        this.addUpstream(domain, `s-${domain}-${index}`);
    this.hosts = Array.from({length: hostCount}, (_, index) =>
      this.createHost(index),
    );
  }

  async run(): Promise<this> {
    const {milliseconds, domains} = this.options;
    for (const host of this.hosts) void this.sendHeartbeats(host);
    for (const domain of domains) void this.sendCalls(domain);
    await this.clock.advance(milliseconds);
    return this;
  }

  /**
   * Calls that arrived in a time, without those of the last moments, which can't
   * be answered yet.
   */
  callsIn(from: number, to = Infinity): ReplayedCall[] {
    const latest = Math.min(to, this.clock.now() - answerableMilliseconds);
    return this.calls.filter(
      ({arrivedAt}) => arrivedAt >= from && arrivedAt < latest,
    );
  }

  private addUpstream(domain: string, name: string): void {
    const document: UpstreamDocument = {
      kind: 'Upstream',
      name,
      spec: {address: `${name}:80`, failureDomain: domain},
    } as UpstreamDocument;
    const {factorOf, slowFraction = 0, milliseconds, seed} = this.options;
    // Of its own, so that replays of two choices see the same spells.
    const random = seededRandom(seed * 1000 + this.upstreams.size);
    const phase = random.next() * spellMilliseconds;
    const spells = Array.from(
      {length: Math.ceil(milliseconds / spellMilliseconds) + 100},
      () => random.next() < slowFraction,
    );
    const millisecondsAt = (now: number) => {
      const spell = Math.floor((now + phase) / spellMilliseconds);
      return (
        nominalMilliseconds *
        factorOf(domain) *
        (spells[spell] === true ? spellFactor : 1) *
        (0.8 + 0.4 * random.next())
      );
    };
    this.upstreams.set(name, new ReplayUpstream(document, millisecondsAt));
  }

  private createHost(index: number): ReplayHost {
    const {domains, speeds = 'today', factorOf} = this.options;
    const {choosesDomain = false, isUp = () => true} = this.options;
    const domain = domains[index % domains.length]!;
    const {clock} = this;
    const upstreams = new UpstreamTable(clock);
    const documents = [...this.upstreams.values()].map(each => each.document);
    upstreams.replace(new Map(documents.map(each => [each.name, each])));
    const shared = new UpstreamSpeeds();
    if (speeds === 'complete') {
      const spells = 1 + (this.options.slowFraction ?? 0) * (spellFactor - 1);
      shared.estimate = name => ({
        kind: 'measured',
        millisecondsPerUnit:
          nominalMilliseconds * spells * factorOf(name.split('-')[1]!),
      });
      shared.lastingFactors = names =>
        new Map(names.map(name => [name, factorOf(name.split('-')[1]!)]));
    }
    const router = new DomainRouter({
      clock,
      upstreams,
      speeds: shared,
      self: `host-${index}`,
      ownDomain: domain,
      traffic: {linkMegabits: 250, domains, millisecondsPerMegabyte: 0.5},
      onChange: change => {
        if (index < domains.length)
          this.changes.push({...change, at: clock.now()});
      },
    });
    const parts = {
      clock,
      upstreams,
      random: seededRandom(this.options.seed * hostCount + index),
      failureDomain: failureDomainId(domain),
      requestLimits: createRequestLimits(clock),
      sendGate: createSendGate(clock),
      quarantine: new RequestQuarantine({
        clock,
        onChange: () => undefined,
        onLearned: () => undefined,
      }),
      retryBudget: new PoolRetryBudget({
        clock,
        ratio: 0.1,
        extra: 20,
        windowMilliseconds: 10_000,
        share: () => ({kind: 'counted', hosts: hostCount}),
      }),
      transport: {
        send: async ({name}: UpstreamDocument) => {
          const there = name.split('-')[1]!;
          const now = clock.now();
          if (!this.isLinked(domain, there) || !isUp(there, now))
            return Result.err({kind: 'unreachable', upstream: name});
          const end = this.upstreams.get(name)!.serve(now);
          await clock.sleep(end - now + (there === domain ? 0 : 2.8));
          const body = (async function* () {})();
          return Result.ok({status: 200, headers: [[name, '']], body});
        },
      },
      observer: () => undefined,
      speeds: speeds === 'today' ? undefined : shared,
      domains: choosesDomain ? router : undefined,
    } as unknown as PassthroughParts;
    const forwarder = new PlainCallForwarder(parts, new UpstreamLosses(parts));
    return {name: `host-${index}`, domain, parts, forwarder};
  }

  private isLinked(left: string, right: string): boolean {
    const {isLinked = () => true} = this.options;
    return left === right || isLinked(left, right, this.clock.now());
  }

  private async sendHeartbeats(host: ReplayHost): Promise<void> {
    const {clock} = this;
    const {parts, name, domain} = host;
    const {lossFraction = 0} = this.options;
    await clock.sleep(this.random.next() * heartbeatMilliseconds);
    for (;;) {
      const beat = {
        host: name,
        failureDomain: domain,
        leaving: false,
        loads: parts.upstreams.localLoads(),
      } as unknown as Beat;
      const age = clock.now();
      const speeds = parts.speeds?.report(clock.now());
      const demand = parts.domains?.demand.report(clock.now());
      void clock.sleep(deliveryMilliseconds).then(() => {
        for (const {parts: other} of this.hosts) {
          if (other === parts || !this.isLinked(domain, other.failureDomain))
            continue;
          if (this.random.next() < lossFraction) continue;
          other.upstreams.recordHeartbeat(beat);
          if (speeds !== undefined)
            other.speeds?.recordPeer(name, 1n, age, speeds, clock.now());
          if (demand !== undefined)
            other.domains?.demand.recordHost(
              name,
              domain,
              1n,
              demand,
              clock.now(),
            );
        }
      });
      await clock.sleep(heartbeatMilliseconds);
    }
  }

  private async sendCalls(domain: string): Promise<void> {
    const {clock} = this;
    const {domains, seed} = this.options;
    const random = seededRandom(seed * 1000 + 500 + domains.indexOf(domain));
    const hosts = this.hosts.filter(host => host.domain === domain);
    for (let count = 0; ; count += 1) {
      const rate = this.options.rateOf(domain, clock.now());
      await clock.sleep((-Math.log(1 - random.next()) * 1000) / rate);
      const host = hosts[Math.floor(random.next() * hosts.length)]!;
      void this.call(host, `${domain}-${count}`);
    }
  }

  private async call(host: ReplayHost, id: string): Promise<void> {
    const {clock} = this;
    const arrivedAt = clock.now();
    const call = {
      id,
      arrivedAt,
      receivedAt: arrivedAt,
      route,
      deadline: arrivedAt + 3000,
      body: new Uint8Array(300),
      urgency: 0,
    } as unknown as RoutedCall;
    const signal = new AbortController().signal;
    const record = {
      from: host.domain,
      to: '',
      arrivedAt,
      took: Infinity,
      isOk: false,
    };
    this.calls.push(record);
    const sends = new RetryGate(host.parts).createSends(call);
    const response = await host.forwarder.forward(call, sends, signal);
    record.to = response.isOk
      ? response.value.headers[0]![0].split('-')[1]!
      : '';
    record.took = clock.now() - arrivedAt;
    record.isOk = response.isOk;
  }
}
