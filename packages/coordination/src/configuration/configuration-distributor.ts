/**
 * Brings published versions to this host: a few hosts of each failure domain
 * watch the platform, the others ask them. Whatever is offered, the store
 * moves forward only.
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
import {WatcherOrder} from './watcher-selection.js';

/** Peers that a starting host asks before it reads the platform. */
const startPeers = 4;

/**
 * Questions to peers that are open at once: enough for one to each watcher of
 * the own failure domain, or to one watcher of each other domain.
 */
const openQuestions = 8;

/** Time between two looks at whether this host has to watch. */
const turnMilliseconds = 500;

export class ConfigurationDistributor {
  private readonly timing: DistributionTiming;
  private readonly closing = new AbortController();
  private readonly unsubscribe: () => void;
  private readonly reader: PlatformReader;
  private readonly puller: PeerPuller;
  private tasks: Promise<void>[] = [];
  private knownOrder = new WatcherOrder(undefined);
  private refreshing: Promise<void> | undefined;
  private fallbackAt = Infinity;

  constructor(private readonly parts: ConfigurationDistributorParts) {
    this.timing = {...defaultDistributionTiming, ...parts.timing};
    this.unsubscribe =
      parts.pauseDetector?.subscribe(() => void this.refresh()) ?? (() => {});
    this.puller = new PeerPuller(parts, peer => this.noteAnswer(peer));
    setMaxListeners(2 * openQuestions + 8, this.closing.signal);
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
      ...Array.from({length: openQuestions}, (_, slot) =>
        asked.then(() => this.followPeer(slot)),
      ),
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
  recordPeerVersion(version: bigint, host: HostId): void {
    if (this.parts.store.current.version >= version) return;
    if (!this.puller.isAsking(host)) void this.ask(host);
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
    void this.ask(host);
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
    const {failureDomain, seeds, self} = this.parts;
    const {signal} = this.closing;
    const watchers = [failureDomain, ...this.order.domains].flatMap(domain =>
      this.watchersIn(domain),
    );
    const peers = watchers.length === 0 ? seeds : watchers;
    const questions = [...new Set(peers)]
      .filter(peer => peer !== self)
      .map(peer => this.ask(peer));
    const answers = Promise.all([...questions, this.reader.read(0, signal)]);
    const refreshing = untilAborted(answers, signal).then(() => undefined);
    this.refreshing = refreshing;
    await refreshing;
    if (this.refreshing === refreshing) this.refreshing = undefined;
  }

  private ask(peer: HostId): Promise<boolean> {
    return this.puller.pull(peer, 0, this.closing.signal);
  }

  private async askPeersAtStart(): Promise<void> {
    const {random, seeds, self} = this.parts;
    const peers = seeds.filter(seed => seed !== self);
    const first = randomBelow(random, Math.max(1, peers.length));
    const order = [...peers.slice(first), ...peers.slice(0, first)];
    await Promise.all(order.slice(0, startPeers).map(peer => this.ask(peer)));
  }

  private async watchPlatform(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(
      random.next() * this.timing.firstReadSpreadMilliseconds,
      signal,
    );
    while (!signal.aborted) {
      if (!this.isWatcher && !this.areWatchersSilent()) {
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

  private noteAnswer(peer: HostId): void {
    if (this.watchersIn(this.parts.failureDomain).includes(peer))
      this.deferFallback(this.timing.watcherSilenceMilliseconds);
  }

  /** Puts the next read by a host that is no watcher off, with jitter. */
  private deferFallback(milliseconds: number): void {
    const {clock, random} = this.parts;
    this.fallbackAt = clock.now() + milliseconds * (1 + random.next());
  }

  /**
   * Keeps one question open. There is one task for each watcher of the domain,
   * so that one that stands still holds nobody back.
   */
  private async followPeer(slot: number): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    for (let round = 0; !signal.aborted; round += 1) {
      const peer = this.peerOf(slot, round);
      if (peer === undefined) {
        await clock.sleep(turnMilliseconds, signal);
        continue;
      }
      const wait = this.timing.peerWaitMilliseconds;
      if (!(await this.puller.pullWhileLive(peer, wait, signal)))
        await this.pauseBeforeRetry();
    }
  }

  private peerOf(slot: number, round: number): HostId | undefined {
    const {failureDomain, seeds, self} = this.parts;
    const choice = {
      order: this.order,
      self,
      failureDomain,
      seeds,
      isLive: (host: HostId) => this.isLive(host),
      areWatchersSilent: this.areWatchersSilent(),
    };
    return choosePeer(choice, slot, round);
  }

  private isLive(host: HostId): boolean {
    return host === this.parts.self || this.parts.isLikelyLive(host);
  }

  private watchersIn(domain: FailureDomainId): HostId[] {
    return this.order.watchersOf(domain, host => this.isLive(host));
  }

  private get order(): WatcherOrder {
    const {membership} = this.parts.store.current;
    if (this.knownOrder.document !== membership)
      this.knownOrder = new WatcherOrder(membership);
    return this.knownOrder;
  }

  /** True while no watcher of the domain answers or holds a question open. */
  private areWatchersSilent(): boolean {
    const watchers = this.watchersIn(this.parts.failureDomain);
    return (
      this.parts.clock.now() >= this.fallbackAt &&
      !watchers.some(host => this.puller.isHeldBy(host))
    );
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
