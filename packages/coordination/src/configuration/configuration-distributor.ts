/**
 * Brings published versions to this host: a few hosts of each failure domain
 * watch the platform, the others ask them. Whatever is offered, the store
 * moves forward only.
 */

import {untilAborted} from '../abort.js';
import type {PauseDetector} from '../fleet/pause-detector.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';
import type {DistributionTiming} from './distribution-timing.js';
import {defaultDistributionTiming} from './distribution-timing.js';
import {PlatformReader} from './platform-reader.js';
import type {PlatformReaderParts} from './platform-reader.js';
import {pullConfiguration} from './pull-configuration.js';
import {domainsOf, membersOf, watchersOf} from './watcher-choice.js';

export interface ConfigurationDistributorParts extends PlatformReaderParts {
  readonly random: RandomSource;
  readonly self: HostId;
  readonly failureDomain: FailureDomainId;
  readonly transport: PeerTransport;
  /** Hosts to ask before a membership is known. */
  readonly seeds: readonly HostId[];
  readonly isLikelyLive: (host: HostId) => boolean;
  /** After a pause the view is refreshed before it counts as fresh. */
  readonly pauses?: PauseDetector;
  readonly timing?: Partial<DistributionTiming>;
}

/** Peers that a starting host asks before it reads the platform. */
const startPeers = 4;

/** Time between two looks at whether this host has to watch. */
const turnMilliseconds = 500;

export class ConfigurationDistributor {
  private readonly timing: DistributionTiming;
  private readonly closing = new AbortController();
  private readonly unsubscribe: () => void;
  private readonly reader: PlatformReader;
  private readonly pulling = new Set<HostId>();
  private tasks: Promise<void>[] = [];
  private refreshing: Promise<void> | undefined;
  private fallbackAt = Infinity;
  private round = 0;

  constructor(private readonly parts: ConfigurationDistributorParts) {
    this.timing = {...defaultDistributionTiming, ...parts.timing};
    this.unsubscribe =
      parts.pauses?.subscribe(() => void this.refresh()) ?? (() => {});
    this.reader = new PlatformReader(
      parts,
      this.timing.platformGraceMilliseconds,
    );
  }

  /**
   * Starts the tasks. Resolves when peers were asked and a version is in force,
   * so that a host that serves from then on is not behind a platform reader
   * that is stale; false when it was closed before.
   */
  async start(): Promise<boolean> {
    this.deferFallback(this.timing.watcherSilenceMilliseconds);
    const asked = this.askPeersAtStart();
    this.tasks = [
      asked.then(() => this.watchPlatform()),
      asked.then(() => this.followPeers()),
    ];
    await asked;
    const {store} = this.parts;
    return store.waitForVersion(1n, Infinity, this.closing.signal);
  }

  async close(): Promise<void> {
    this.unsubscribe();
    this.closing.abort();
    await Promise.all(this.tasks);
  }

  /** True when this host is one that watches for its failure domain. */
  get isWatcher(): boolean {
    const {self, failureDomain, store} = this.parts;
    if (store.current.membership === undefined) return true;
    return this.watchersIn(failureDomain).includes(self);
  }

  /** Reads from `host` at once when it is known to have a newer version. */
  noteVersion(version: bigint, host: HostId): void {
    if (this.parts.store.current.version >= version) return;
    if (!this.pulling.has(host)) void this.pull(host, 0);
  }

  /**
   * Catches up with the version that admitted a request of `host`; false when
   * that fails by `deadline`, and then the request must not run here.
   */
  async catchUp(
    version: bigint,
    host: HostId,
    deadline: number,
  ): Promise<boolean> {
    const {store} = this.parts;
    if (store.current.version >= version) return true;
    void this.pull(host, 0);
    return store.waitForVersion(version, deadline, this.closing.signal);
  }

  /** False while the view may be old, after a pause of this host. */
  get isFresh(): boolean {
    return this.refreshing === undefined;
  }

  /** Resolves when the view is fresh, or as fresh as can be had. */
  async whenFresh(): Promise<void> {
    while (this.refreshing !== undefined) await this.refreshing;
  }

  /**
   * Asks peers and the platform for what was missed. When nobody answers, the
   * host goes on with what it has, like any host that is cut off.
   */
  async refresh(): Promise<void> {
    const {failureDomain, seeds, self, store} = this.parts;
    const {signal} = this.closing;
    const watchers = [failureDomain, ...domainsOf(store.current)].flatMap(
      domain => this.watchersIn(domain),
    );
    const peers = watchers.length === 0 ? seeds : watchers;
    const questions = [...new Set(peers)]
      .filter(peer => peer !== self)
      .map(peer => this.pull(peer, 0));
    const answers = Promise.all([...questions, this.reader.read(0, signal)]);
    const refreshing = untilAborted(answers, signal).then(() => undefined);
    this.refreshing = refreshing;
    await refreshing;
    if (this.refreshing === refreshing) this.refreshing = undefined;
  }

  private async askPeersAtStart(): Promise<void> {
    const {random, seeds, self} = this.parts;
    const peers = seeds.filter(seed => seed !== self);
    const first = randomBelow(random, Math.max(1, peers.length));
    const order = [...peers.slice(first), ...peers.slice(0, first)];
    await Promise.all(
      order.slice(0, startPeers).map(peer => this.pull(peer, 0)),
    );
  }

  private async watchPlatform(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(
      random.next() * this.timing.firstReadSpreadMilliseconds,
      signal,
    );
    while (!signal.aborted) {
      if (!this.isWatcher && clock.now() < this.fallbackAt) {
        await clock.sleep(turnMilliseconds, signal);
        continue;
      }
      this.deferFallback(this.timing.fallbackIntervalMilliseconds);
      // Only watchers hold a watch open: others go back to their watchers.
      const wait = this.isWatcher ? this.timing.platformWaitMilliseconds : 0;
      if (!(await this.reader.read(wait, signal)))
        await this.pauseBeforeRetry();
    }
  }

  /** Puts the next read by a host that is no watcher off, with jitter. */
  private deferFallback(milliseconds: number): void {
    const {clock, random} = this.parts;
    this.fallbackAt = clock.now() + milliseconds * (1 + random.next());
  }

  private async followPeers(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      const peers = this.peersOfRound();
      const answers = await Promise.all(
        peers.map(peer => this.pull(peer, this.timing.peerWaitMilliseconds)),
      );
      if (peers.length === 0) await clock.sleep(turnMilliseconds, signal);
      else if (!answers.some(Boolean)) await this.pauseBeforeRetry();
    }
  }

  /**
   * Others ask the watchers of their failure domain in turn; a watcher asks one
   * watcher of each other domain, in case its own reader of the platform is
   * behind or down. Without watchers that answer any member will do.
   */
  private peersOfRound(): HostId[] {
    const {clock, failureDomain, seeds, self, store} = this.parts;
    this.round += 1;
    const pick = (hosts: readonly HostId[]) => {
      const others = hosts.filter(host => host !== self);
      const picked = others[this.round % others.length];
      return picked === undefined ? [] : [picked];
    };
    if (store.current.membership === undefined) return pick(seeds);
    if (this.isWatcher)
      return domainsOf(store.current)
        .filter(domain => domain !== failureDomain)
        .flatMap(domain => pick(this.watchersIn(domain)));
    const watchers = pick(this.watchersIn(failureDomain));
    if (watchers.length > 0 && clock.now() < this.fallbackAt) return watchers;
    const members = membersOf(store.current).map(each => hostId(each.host));
    return [...watchers, ...pick(members)];
  }

  private watchersIn(domain: FailureDomainId): HostId[] {
    const {self, store, isLikelyLive} = this.parts;
    const isLive = (host: HostId) => host === self || isLikelyLive(host);
    return watchersOf(store.current, domain, isLive);
  }

  /** True when the peer answered and is not behind. */
  private async pull(peer: HostId, waitMilliseconds: number): Promise<boolean> {
    const {failureDomain, store, transport} = this.parts;
    const {version} = store.current;
    this.pulling.add(peer);
    const answer = await untilAborted(
      pullConfiguration(transport, peer, version, waitMilliseconds),
      this.closing.signal,
    );
    this.pulling.delete(peer);
    if (answer === undefined || answer.isErr) return false;
    if (this.watchersIn(failureDomain).includes(peer))
      this.deferFallback(this.timing.watcherSilenceMilliseconds);
    const outcome = store.apply(answer.value, {kind: 'peer', host: peer});
    if (outcome.kind === 'refused' || outcome.kind === 'gap') return false;
    return answer.value.to >= version;
  }

  private async pauseBeforeRetry(): Promise<void> {
    const {clock, random} = this.parts;
    const {retryMinimumMilliseconds, retryMaximumMilliseconds} = this.timing;
    const spread = retryMaximumMilliseconds - retryMinimumMilliseconds;
    await clock.sleep(
      retryMinimumMilliseconds + random.next() * spread,
      this.closing.signal,
    );
  }
}
