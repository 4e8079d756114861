/**
 * Keeps the configuration of this host up to date. A few hosts of each failure
 * domain, the watchers, watch the platform; the others long-poll the watchers.
 * The store ignores versions that are not newer than the active one.
 */

import {setMaxListeners} from 'node:events';
import {untilAborted} from '../abort.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {randomBelow} from '../random.js';
import type {DistributionTiming} from './distribution-timing.js';
import {defaultDistributionTiming} from './distribution-timing.js';
import {PlatformReader} from './platform-reader.js';
import type {ConfigurationDistributorParts} from './distributor-parts.js';
import {PeerPuller} from './peer-puller.js';
import {choosePeer} from './choose-peer.js';
import {WatcherRanking} from './watcher-selection.js';

/**
 * Number of seeds that a host pulls from before it first reads the platform.
 */
const bootstrapPeerCount = 4;

/**
 * Number of concurrent long polls: enough for every watcher of this host's
 * failure domain, or for one watcher in each of eight other domains. Further
 * domains are not polled.
 */
const longPollCount = 8;

/** Interval at which an idle task checks whether its role has changed. */
const roleCheckIntervalMilliseconds = 500;

export class ConfigurationDistributor {
  private readonly timing: DistributionTiming;
  private readonly closing = new AbortController();
  private readonly unsubscribe: () => void;
  private readonly platformReader: PlatformReader;
  private readonly peerPuller: PeerPuller;
  private tasks: Promise<void>[] = [];
  private cachedRanking = new WatcherRanking(undefined);
  private pendingRefresh: Promise<void> | undefined;
  private fallbackReadAt = Infinity;

  constructor(private readonly parts: ConfigurationDistributorParts) {
    this.timing = {...defaultDistributionTiming, ...parts.timing};
    this.unsubscribe =
      parts.pauseDetector?.subscribe(() => void this.refresh()) ?? (() => {});
    this.peerPuller = new PeerPuller(parts, peer =>
      this.postponeFallbackAfterAnswer(peer),
    );
    // The concurrent tasks exceed the default limit of 10 abort listeners.
    setMaxListeners(2 * longPollCount + 8, this.closing.signal);
    this.platformReader = new PlatformReader(
      parts,
      this.timing.platformTimeoutMarginMilliseconds,
    );
  }

  /**
   * Starts the background tasks. Resolves with true once the pulls from the
   * seeds have ended and a version is active, and with false if the distributor
   * is closed first. Pulling from the seeds first protects a host whose
   * platform connection is stale from serving with an old version.
   */
  async start(): Promise<boolean> {
    this.postponeFallbackRead(this.timing.watcherTimeoutMilliseconds);
    const bootstrap = this.pullFromSeeds();
    this.tasks = [
      bootstrap.then(() => this.watchPlatform()),
      ...Array.from({length: longPollCount}, (_, pollIndex) =>
        bootstrap.then(() => this.runLongPoll(pollIndex)),
      ),
    ];
    await bootstrap;
    const {store} = this.parts;
    return store.waitForVersion(1n, Infinity, this.closing.signal);
  }

  async close(): Promise<void> {
    this.unsubscribe();
    this.closing.abort();
    await Promise.all(this.tasks);
  }

  /**
   * Whether this host watches the platform: it is a watcher of its failure
   * domain, or no membership is known yet.
   */
  get isWatcher(): boolean {
    const {self, failureDomain, store} = this.parts;
    if (store.current.membership === undefined) return true;
    return this.watchersIn(failureDomain).includes(self);
  }

  /**
   * Pulls from `host` if `version`, which it reported, is newer than the active
   * version.
   */
  pullIfNewer(version: bigint, host: HostId): void {
    if (this.parts.store.current.version >= version) return;
    if (!this.peerPuller.hasTransferInFlight(host)) void this.pullFrom(host);
  }

  /**
   * Pulls the version that a request of `host` was admitted under. Returns
   * false when the version is not active by `deadline`; the caller must not
   * execute the request then.
   */
  async catchUp(
    version: bigint,
    host: HostId,
    deadline: number,
  ): Promise<boolean> {
    const {store} = this.parts;
    if (store.current.version >= version) return true;
    void this.pullFrom(host);
    return store.waitForVersion(version, deadline, this.closing.signal);
  }

  /** False while a refresh after a pause of this host is pending. */
  get isFresh(): boolean {
    return this.pendingRefresh === undefined;
  }

  /** Resolves when no refresh is pending. */
  async whenFresh(): Promise<void> {
    while (this.pendingRefresh !== undefined) await this.pendingRefresh;
  }

  /**
   * Pulls from the watchers of all failure domains and from the platform. When
   * none of them answers, the host continues with its active version, like any
   * host that is disconnected.
   */
  async refresh(): Promise<void> {
    const {failureDomain, seeds, self} = this.parts;
    const {signal} = this.closing;
    const watchers = [failureDomain, ...this.ranking.domains].flatMap(domain =>
      this.watchersIn(domain),
    );
    const peers = watchers.length === 0 ? seeds : watchers;
    const pulls = [...new Set(peers)]
      .filter(peer => peer !== self)
      .map(peer => this.pullFrom(peer));
    const allReads = Promise.all([
      ...pulls,
      this.platformReader.read(0, signal),
    ]);
    const refresh = untilAborted(allReads, signal).then(() => undefined);
    this.pendingRefresh = refresh;
    await refresh;
    if (this.pendingRefresh === refresh) this.pendingRefresh = undefined;
  }

  private pullFrom(peer: HostId): Promise<boolean> {
    return this.peerPuller.pull(peer, 0, this.closing.signal);
  }

  private async pullFromSeeds(): Promise<void> {
    const {random, seeds, self} = this.parts;
    const others = seeds.filter(seed => seed !== self);
    const first = randomBelow(random, Math.max(1, others.length));
    const rotated = [...others.slice(first), ...others.slice(0, first)];
    await Promise.all(
      rotated.slice(0, bootstrapPeerCount).map(peer => this.pullFrom(peer)),
    );
  }

  private async watchPlatform(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(
      random.next() * this.timing.initialReadJitterMilliseconds,
      signal,
    );
    while (!signal.aborted) {
      if (!this.isWatcher && !this.isFallbackDue()) {
        await clock.sleep(roleCheckIntervalMilliseconds, signal);
        continue;
      }
      this.postponeFallbackRead(this.timing.fallbackIntervalMilliseconds);
      // Only watchers keep a watch open; other hosts return to their watchers.
      const wait = this.isWatcher ? this.timing.platformWaitMilliseconds : 0;
      if (!(await this.platformReader.read(wait, signal)))
        await this.waitBeforeRetry();
    }
  }

  private postponeFallbackAfterAnswer(peer: HostId): void {
    if (this.watchersIn(this.parts.failureDomain).includes(peer))
      this.postponeFallbackRead(this.timing.watcherTimeoutMilliseconds);
  }

  /** Postpones the next fallback read of the platform, with jitter. */
  private postponeFallbackRead(milliseconds: number): void {
    const {clock, random} = this.parts;
    this.fallbackReadAt = clock.now() + milliseconds * (1 + random.next());
  }

  /**
   * Runs one of the concurrent long polls. Each watcher of the domain has its
   * own task, because an unresponsive watcher must not delay changes.
   */
  private async runLongPoll(pollIndex: number): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    for (let round = 0; !signal.aborted; round += 1) {
      const peer = this.peerForPoll(pollIndex, round);
      if (peer === undefined) {
        await clock.sleep(roleCheckIntervalMilliseconds, signal);
        continue;
      }
      const wait = this.timing.peerWaitMilliseconds;
      if (!(await this.peerPuller.pullWhileLive(peer, wait, signal)))
        await this.waitBeforeRetry();
    }
  }

  private peerForPoll(pollIndex: number, round: number): HostId | undefined {
    const {failureDomain, seeds, self} = this.parts;
    const state = {
      ranking: this.ranking,
      self,
      failureDomain,
      seeds,
      isLive: (host: HostId) => this.isLive(host),
      isFallbackDue: this.isFallbackDue(),
    };
    return choosePeer(state, pollIndex, round);
  }

  private isLive(host: HostId): boolean {
    return host === this.parts.self || this.parts.isLikelyLive(host);
  }

  private watchersIn(domain: FailureDomainId): HostId[] {
    return this.ranking.watchersOf(domain, host => this.isLive(host));
  }

  private get ranking(): WatcherRanking {
    const {membership} = this.parts.store.current;
    if (this.cachedRanking.document !== membership)
      this.cachedRanking = new WatcherRanking(membership);
    return this.cachedRanking;
  }

  /**
   * Whether this host may bypass the watchers of its failure domain:
   * `fallbackReadAt` has passed, and no long poll to one of them is pending.
   */
  private isFallbackDue(): boolean {
    const watchers = this.watchersIn(this.parts.failureDomain);
    return (
      this.parts.clock.now() >= this.fallbackReadAt &&
      !watchers.some(host => this.peerPuller.hasPendingLongPoll(host))
    );
  }

  private async waitBeforeRetry(): Promise<void> {
    const {clock, random} = this.parts;
    const {minimumRetryIntervalMilliseconds, maximumRetryIntervalMilliseconds} =
      this.timing;
    const spread =
      maximumRetryIntervalMilliseconds - minimumRetryIntervalMilliseconds;
    await clock.sleep(
      minimumRetryIntervalMilliseconds + random.next() * spread,
      this.closing.signal,
    );
  }
}
