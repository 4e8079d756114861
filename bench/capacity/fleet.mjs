/** Runs complete hosts in virtual time and counts the messages between them. */

import {deserialize, serialize} from 'node:v8';
import {Result} from 'true-myth';
import {
  PeerReply,
  PeerRequest,
} from '../../packages/coordination/dist/src/generated/messages/persimmonwick/peer.js';
import {
  Host,
  InMemoryNetwork,
  SimulatedEngine,
  VirtualClock,
  accountId,
  connectEngine,
  defaultSimulatedEngineOptions,
  failureDomainId,
  hostId,
  requestId,
  seededRandom,
  upstreamId,
} from '../../packages/coordination/dist/src/index.js';
import {VirtualPlatform} from '../../packages/coordination/dist/src/replay/virtual-platform.js';
import {hashKey} from '../../packages/coordination/dist/src/requests/authentication.js';
import {
  accountName,
  domainName,
  fleetDocuments,
  hostName,
  incarnationOf,
  model,
} from './documents.mjs';

export const seed = 20260107;
const startupMilliseconds = 20_000;
const delayMilliseconds = 1;

/**
 * A fleet of hosts that run the product's code. By default, it has one failure
 * domain per two hosts, at most 7.
 */
export class CapacityFleet {
  clock = new VirtualClock();
  random = seededRandom(seed);
  platform = new VirtualPlatform(this.clock);
  platformCalls = 0;
  engineCalls = {load: 0, cacheEvents: 0, running: 0};
  /** Exchanges and bytes by message area, and bytes by host in both directions. */
  traffic = new Map();
  /** The latest exchanges by message area, for inspection. */
  samples = new Map();
  hosts = [];
  #network = new InMemoryNetwork(this.clock);
  #engines = new Map();
  #requestCount = 0;

  constructor({hosts, accounts = 100, upstreams = 4, domains, engine = {}}) {
    this.domainCount =
      domains ?? Math.max(1, Math.min(7, Math.floor(hosts / 2)));
    this.hostCount = hosts;
    this.accountCount = accounts;
    this.#network.policy = () => ({
      delayMilliseconds,
      isDropped: false,
      copyDelaysMilliseconds: [],
    });
    const options = {...defaultSimulatedEngineOptions, ...engine};
    for (let index = 0; index < upstreams; index += 1) {
      const name = `engine-${String(index).padStart(3, '0')}`;
      const simulatedEngine = new SimulatedEngine(
        upstreamId(name),
        this.clock,
        options,
      );
      this.#engines.set(name, simulatedEngine);
    }
    this.publish(
      fleetDocuments({
        ...this,
        engineNames: [...this.#engines.keys()],
      }),
    );
  }

  /**
   * Starts all hosts and advances the clock by the startup time, in which their
   * token buckets start to fill.
   */
  async start() {
    for (let index = 0; index < this.hostCount; index += 1)
      this.#addHost(index);
    for (const host of this.hosts) void host.start();
    await this.clock.advance(startupMilliseconds);
    if (!this.hosts.every(host => host.isReady))
      throw new RangeError('a host did not become ready');
    this.resetCounts();
  }

  /** Publishes documents as one configuration version. */
  publish(documents) {
    return this.platform.publish(
      documents.map(document => ({kind: 'publish', document})),
    );
  }

  resetCounts() {
    this.traffic.clear();
    this.platformCalls = 0;
    this.engineCalls = {load: 0, cacheEvents: 0, running: 0};
  }

  /** Reads one completion to its end; returns whether it finished. */
  async complete(host, account, promptTokens, maximumTokens) {
    const {configuration} = this.hosts[host];
    const route = configuration.routes.find(
      candidate => candidate.name === model,
    );
    const events = this.hosts[host].complete(
      {
        request: requestId(`request-${(this.#requestCount += 1)}`),
        account: accountId(accountName(account)),
        keyHash: hashKey(`${accountName(account)}-key`),
        route,
        model,
        prompt: 'word '.repeat(promptTokens),
        promptTokens,
        maximumTokens,
        deadline: this.clock.now() + 60_000,
      },
      new AbortController().signal,
    );
    for await (const event of events)
      if (event.kind !== 'token') return event.kind === 'finished';
    return false;
  }

  /** Rates of the exchanges in a message area. */
  rates(area, milliseconds) {
    const seconds = milliseconds / 1000;
    const {
      exchanges = 0,
      bytes = 0,
      byHost = new Map(),
    } = this.traffic.get(area) ?? {};
    return {
      exchangesPerHostSecond: exchanges / this.hostCount / seconds,
      bytesPerExchange: exchanges === 0 ? 0 : bytes / exchanges,
      busiestHostBytesPerSecond: Math.max(0, ...byHost.values()) / seconds,
    };
  }

  async close() {
    const noDrain = new AbortController();
    noDrain.abort();
    await this.clock.runUntil(
      Promise.all(this.hosts.map(host => host.close(noDrain.signal))),
    );
  }

  #addHost(index) {
    const self = {
      host: hostId(hostName(index)),
      incarnation: incarnationOf(index),
    };
    const source = this.platform.sourceFor(() => true);
    let attemptCount = 0;
    const host = new Host({
      clock: this.clock,
      random: this.random,
      self,
      failureDomain: failureDomainId(domainName(index % this.domainCount)),
      transport: this.#createCountingTransport(self),
      reconnect: async () => {},
      platform: {
        watch: async (...args) => {
          this.platformCalls += 1;
          // Copies the page, since hosts of a real fleet share no memory.
          const page = await source.watch(...args);
          return page.map(change => deserialize(serialize(change)));
        },
      },
      seeds: Array.from({length: this.hostCount}, (_, seedIndex) =>
        hostId(hostName(seedIndex)),
      ),
      engines: {engineOf: ({name}) => this.#createCountingEngine(name)},
      sender: {
        send: async () =>
          Result.ok({status: 200, headers: {}, body: [new Uint8Array(200)]}),
      },
      makeAttemptId: () => `${self.incarnation}/${(attemptCount += 1)}`,
    });
    this.#network.attach(self.host, (body, from) =>
      host.handlePeerRequest(body, from),
    );
    this.hosts.push(host);
  }

  #createCountingEngine(name) {
    const simulatedEngine = this.#engines.get(name);
    const engine = connectEngine(
      simulatedEngine,
      source => this.#engines.get(source),
      {
        delayMilliseconds,
        isReachable: () => true,
      },
    );
    const countCalls =
      kind =>
      (...args) => {
        this.engineCalls[kind] += 1;
        return engine[kind](...args);
      };
    return {
      ...engine,
      load: countCalls('load'),
      cacheEvents: countCalls('cacheEvents'),
      running: countCalls('running'),
    };
  }

  #createCountingTransport(self) {
    const transport = this.#network.transportOf(self);
    return {
      exchange: async (host, body, timeout) => {
        const reply = await transport.exchange(host, body, timeout);
        if (reply.isOk) this.#recordExchange(self, host, body, reply.value);
        return reply;
      },
    };
  }

  #recordExchange(self, to, body, reply) {
    const identity = {fromHost: self.host, fromIncarnation: self.incarnation};
    const request = {
      ...identity,
      toIncarnation: '',
      configurationVersion: 9000n,
    };
    const bytes =
      PeerRequest.encode({...request, body}).finish().length +
      PeerReply.encode({...request, body: reply}).finish().length;
    const area = body.$case;
    const areaTraffic = this.traffic.get(area) ?? {
      exchanges: 0,
      bytes: 0,
      byHost: new Map(),
    };
    areaTraffic.exchanges += 1;
    areaTraffic.bytes += bytes;
    for (const host of [self.host, to])
      areaTraffic.byHost.set(host, (areaTraffic.byHost.get(host) ?? 0) + bytes);
    this.traffic.set(area, areaTraffic);
    const samples = this.samples.get(area) ?? [];
    samples.push({from: self, to, body, reply});
    this.samples.set(area, samples.slice(-50));
  }
}
