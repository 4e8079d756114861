/** Hosts that share a configuration over an in-memory network. */

import {
  ConfigurationDistributor,
  ConfigurationHandler,
  ConfigurationStore,
  InMemoryNetwork,
  VirtualClock,
  failureDomainId,
  hostId,
  incarnation,
  seededRandom,
} from '../../src/index.js';
import type {
  Delivery,
  HostId,
  PlatformSource,
  RefusedVersion,
} from '../../src/index.js';
import {VirtualPlatform} from './virtual-platform.js';

export const oneWayMilliseconds = 1.5;

export interface VirtualHost {
  readonly host: HostId;
  readonly domain: string;
  readonly store: ConfigurationStore;
  readonly distributor: ConfigurationDistributor;
  readonly refused: RefusedVersion[];
  readonly versions: bigint[];
}

/** Hosts `h0`, `h1`, ... in the failure domains `d0`, `d1`, ... in turn. */
export class VirtualHosts {
  readonly clock = new VirtualClock();
  readonly platform = new VirtualPlatform(this.clock);
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts = new Map<HostId, VirtualHost>();
  /** Pairs of hosts that lose every message between them. */
  isCut: (from: HostId, to: HostId) => boolean = () => false;
  private starts = 0;

  constructor(
    readonly hostCount: number,
    readonly domainCount: number,
    private readonly seed: number,
  ) {
    this.network.policy = (from, to): Delivery => ({
      delayMilliseconds: oneWayMilliseconds,
      isDropped: this.isCut(from, to),
      copyDelaysMilliseconds: [],
    });
  }

  get names(): HostId[] {
    return Array.from({length: this.hostCount}, (_, at) => hostId(`h${at}`));
  }

  domainOf(host: HostId): string {
    return `d${Number(host.slice(1)) % this.domainCount}`;
  }

  membership() {
    return {
      kind: 'Membership',
      name: 'fleet',
      spec: {
        members: this.names.map((host, at) => ({
          host,
          failureDomain: this.domainOf(host),
          address: `10.0.0.${at % 250}:${7000 + at}`,
        })),
      },
    };
  }

  /** Starts `host` with an empty memory; does not wait. */
  start(host: HostId, source?: PlatformSource): VirtualHost {
    this.starts += 1;
    const refused: RefusedVersion[] = [];
    const versions: bigint[] = [];
    const store = new ConfigurationStore({
      clock: this.clock,
      onRefused: each => refused.push(each),
      onApplied: each => versions.push(each.version),
    });
    const identity = {host, incarnation: incarnation(`i${this.starts}`)};
    const handler = new ConfigurationHandler(store, this.clock);
    this.network.attach(host, async body =>
      body.$case === 'configuration'
        ? {$case: body.$case, value: await handler.handle(body.value)}
        : {$case: 'refusal', value: {code: 0}},
    );
    const distributor = new ConfigurationDistributor({
      clock: this.clock,
      random: seededRandom(this.seed * 1000 + this.starts),
      self: host,
      failureDomain: failureDomainId(this.domainOf(host)),
      store,
      platform: source ?? this.platform.source(),
      transport: this.network.transportOf(identity),
      seeds: this.names.slice(0, 3),
      isLikelyLive: () => true,
    });
    const domain = this.domainOf(host);
    const started = {host, domain, store, distributor, refused, versions};
    this.hosts.set(host, started);
    void distributor.start();
    return started;
  }

  startAll(): VirtualHost[] {
    return this.names.map(host => this.start(host));
  }

  async stop(host: HostId): Promise<void> {
    this.network.detach(host);
    await this.hosts.get(host)!.distributor.close();
    this.hosts.delete(host);
  }

  async close(): Promise<void> {
    const hosts = [...this.hosts.values()];
    await Promise.all(hosts.map(host => host.distributor.close()));
  }

  /** Versions in force, each once. */
  get versionsInForce(): bigint[] {
    const versions = [...this.hosts.values()].map(
      host => host.store.current.version,
    );
    return [...new Set(versions)].sort();
  }

  /** Time until all running hosts have `version`; at most `limit`. */
  async timeUntil(version: bigint, limit: number): Promise<number> {
    const start = this.clock.now();
    const hasAll = () =>
      [...this.hosts.values()].every(
        host => host.store.current.version >= version,
      );
    while (!hasAll() && this.clock.now() - start < limit)
      await this.clock.advance(5);
    return this.clock.now() - start;
  }
}
