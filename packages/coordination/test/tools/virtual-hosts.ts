/** Hosts that distribute a configuration over an in-memory network. */

import {Result} from 'true-myth';
import {
  ConfigurationDistributor,
  ConfigurationHandler,
  ConfigurationStore,
  InMemoryNetwork,
  PauseDetector,
  VirtualClock,
  failureDomainId,
  hostId,
  incarnation,
  seededRandom,
} from '../../src/index.js';
import type {
  Delivery,
  HostId,
  PeerError,
  PeerReplyBody,
  PeerTransport,
  PlatformSource,
  RefusedVersion,
} from '../../src/index.js';
import {PausableClock} from './pausable-clock.js';
import {VirtualPlatform} from './virtual-platform.js';

export const oneWayDelayMilliseconds = 1.5;

export interface StartedHost {
  readonly host: HostId;
  readonly domain: string;
  readonly clock: PausableClock;
  readonly pauses: PauseDetector;
  readonly store: ConfigurationStore;
  readonly distributor: ConfigurationDistributor;
  readonly refused: RefusedVersion[];
  readonly versions: bigint[];
}

/** Hosts `h0`, `h1`, ... assigned to failure domains `d0`, `d1`, ... in turn. */
export class VirtualHosts {
  readonly clock = new VirtualClock();
  readonly platform = new VirtualPlatform(this.clock);
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts = new Map<HostId, StartedHost>();
  /** Whether all messages from one host to another are lost. */
  isPartitioned: (from: HostId, to: HostId) => boolean = () => false;
  /** Hosts that no other host considers live. */
  readonly suspected = new Set<HostId>();
  private readonly connectionBreakers = new Map<HostId, Array<() => void>>();
  private startCount = 0;

  constructor(
    readonly hostCount: number,
    readonly domainCount: number,
    private readonly seed: number,
  ) {
    this.network.policy = (from, to): Delivery => ({
      delayMilliseconds: oneWayDelayMilliseconds,
      isDropped: this.isPartitioned(from, to),
      copyDelaysMilliseconds: [],
    });
  }

  get hostIds(): HostId[] {
    return Array.from({length: this.hostCount}, (_, index) =>
      hostId(`h${index}`),
    );
  }

  domainOf(host: HostId): string {
    return `d${Number(host.slice(1)) % this.domainCount}`;
  }

  membership() {
    return {
      kind: 'Membership',
      name: 'fleet',
      spec: {
        members: this.hostIds.map((host, index) => ({
          host,
          failureDomain: this.domainOf(host),
          address: `10.0.0.${index % 250}:${7000 + index}`,
        })),
      },
    };
  }

  /** Starts `host` without any configuration. Does not wait for its startup. */
  start(host: HostId, source?: PlatformSource): StartedHost {
    this.startCount += 1;
    const refused: RefusedVersion[] = [];
    const versions: bigint[] = [];
    const store = new ConfigurationStore({
      clock: this.clock,
      onRefused: refusal => refused.push(refusal),
      onApplied: applied => versions.push(applied.version),
    });
    const identity = {host, incarnation: incarnation(`i${this.startCount}`)};
    const handler = new ConfigurationHandler(store, this.clock);
    const clock = new PausableClock(this.clock);
    const pauses = new PauseDetector({clock});
    this.network.attach(host, async body => {
      await clock.waitUntilResumed();
      return body.$case === 'configuration'
        ? {$case: body.$case, value: await handler.handle(body.value)}
        : {$case: 'refusal', value: {code: 0}};
    });
    const transport = this.network.transportOf(identity);
    const platform = source ?? this.platform.source();
    const distributor = new ConfigurationDistributor({
      clock,
      pauseDetector: pauses,
      random: seededRandom(this.seed * 1000 + this.startCount),
      self: host,
      failureDomain: failureDomainId(this.domainOf(host)),
      store,
      platform: {watch: delayUntilResumed(clock, platform.watch)},
      transport: {
        exchange: delayUntilResumed(clock, (to, body, timeout) =>
          this.failWhenStopped(to, transport.exchange(to, body, timeout)),
        ),
      },
      seeds: this.hostIds.slice(0, 3),
      isLikelyLive: other => !this.suspected.has(other),
    });
    const domain = this.domainOf(host);
    const started = {
      host,
      domain,
      clock,
      pauses,
      store,
      distributor,
      refused,
      versions,
    };
    this.hosts.set(host, started);
    pauses.start();
    void distributor.start();
    return started;
  }

  startAll(): StartedHost[] {
    return this.hostIds.map(host => this.start(host));
  }

  /**
   * Stops `host`. Exchanges with it fail at once if `breaksConnections` is set
   * and stay open until they time out otherwise.
   */
  async stop(host: HostId, breaksConnections = true): Promise<void> {
    this.network.detach(host);
    if (breaksConnections)
      for (const breakConnection of this.connectionBreakers.get(host) ?? [])
        breakConnection();
    this.connectionBreakers.delete(host);
    const {distributor, pauses} = this.hosts.get(host)!;
    await Promise.all([distributor.close(), pauses.close()]);
    this.hosts.delete(host);
  }

  async close(): Promise<void> {
    await Promise.all([...this.hosts.keys()].map(host => this.stop(host)));
  }

  /**
   * Fails an exchange with a timeout error as soon as `host` is stopped and its
   * connections are broken.
   */
  private failWhenStopped(
    host: HostId,
    answer: ReturnType<PeerTransport['exchange']>,
  ): ReturnType<PeerTransport['exchange']> {
    const broken = new Promise<void>(resolve => {
      const breakers = this.connectionBreakers.get(host) ?? [];
      this.connectionBreakers.set(host, [...breakers, resolve]);
    });
    return Promise.race([
      answer,
      broken.then(() =>
        Result.err<PeerReplyBody, PeerError>({kind: 'timeout', host}),
      ),
    ]);
  }

  /** The distinct versions in force on running hosts. */
  get activeVersions(): bigint[] {
    const versions = [...this.hosts.values()].map(
      host => host.store.current.version,
    );
    return [...new Set(versions)].sort((left, right) =>
      left < right ? -1 : 1,
    );
  }

  /** Time until `version` is in force on all running hosts, up to a timeout. */
  async millisecondsUntilActive(
    version: bigint,
    timeoutMilliseconds: number,
  ): Promise<number> {
    const start = this.clock.now();
    const isInForceEverywhere = () =>
      [...this.hosts.values()].every(
        host => host.store.current.version >= version,
      );
    while (
      !isInForceEverywhere() &&
      this.clock.now() - start < timeoutMilliseconds
    )
      await this.clock.advance(5);
    return this.clock.now() - start;
  }
}

/** Withholds results from a paused host until it resumes. */
function delayUntilResumed<Parameters extends unknown[], Answer>(
  clock: PausableClock,
  operation: (...parameters: Parameters) => Promise<Answer>,
) {
  return async (...parameters: Parameters) => {
    const answer = await operation(...parameters);
    await clock.waitUntilResumed();
    return answer;
  };
}
