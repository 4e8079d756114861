/**
 * The list of upstreams with the state of each: the load of this host, the load
 * reported by other hosts, and the health observed by this host.
 */

import type {Clock} from '../clock.js';
import type {
  Beat,
  UpstreamLoad,
} from '../generated/messages/persimmonwick/beat.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import {ReportedLoads} from './reported-loads.js';
import type {Load} from './reported-loads.js';
import {UpstreamHealth} from './upstream-health.js';

/** Handle of the load of one call on an upstream. */
export interface LoadHandle {
  /** Sets the memory that the call uses. */
  setMemoryTokens(tokens: number): void;
  /** Removes the load. Further calls have no effect. */
  release(): void;
}

/** An upstream with its load and health. */
export interface TrackedUpstream {
  document: UpstreamDocument;
  readonly health: UpstreamHealth;
  /** Load of this host. */
  readonly localLoad: Load;
  /**
   * Clock time until which the upstream counts as full after it refused a
   * reservation.
   */
  reservationBackoffUntil: number;
  /** Clock time at which this host last tried to reserve memory there. */
  lastReservationAttemptAt: number;
}

export class UpstreamTable {
  private readonly upstreams = new Map<string, TrackedUpstream>();
  private readonly reportedLoads: ReportedLoads;
  private listedUpstreams: ReadonlyMap<string, UpstreamDocument> = new Map();
  private readonly capacityListeners = new Set<() => void>();
  private readonly unreachableListeners = new Set<
    (upstream: TrackedUpstream) => void
  >();

  constructor(clock: Clock) {
    this.reportedLoads = new ReportedLoads(clock);
  }

  /** Replaces the list and returns the changes. */
  replace(documents: ReadonlyMap<string, UpstreamDocument>): {
    readonly joined: readonly UpstreamDocument[];
    readonly leaving: readonly UpstreamDocument[];
    readonly gone: readonly UpstreamDocument[];
  } {
    const before = this.listedUpstreams;
    const isLive = (document: UpstreamDocument | undefined) =>
      document !== undefined && document.spec.state !== 'leaving';
    const listed = [...documents.values()];
    const joined = listed.filter(each => !before.has(each.name));
    const leaving = listed.filter(
      each => !isLive(each) && isLive(before.get(each.name)),
    );
    const gone = [...before.values()].filter(each => !documents.has(each.name));
    for (const document of listed) this.track(document);
    for (const {name} of gone) this.removeIfIdle(name);
    this.listedUpstreams = documents;
    this.notifyCapacity();
    return {joined, leaving, gone};
  }

  /** Listed upstreams of `pool` that are not leaving. */
  acceptingOf(pool: PoolDocument): TrackedUpstream[] {
    return [...this.listedUpstreams.values()]
      .filter(
        document =>
          document.spec.state !== 'leaving' &&
          matchesSelector(pool.spec.upstreams, document.labels ?? {}),
      )
      .map(document => this.track(document));
  }

  get size(): number {
    return this.listedUpstreams.size;
  }

  /** Total load of other hosts on an upstream, by their latest reports. */
  reportedLoad(name: string): Readonly<Load> {
    return this.reportedLoads.totalOf(name);
  }

  /** Records the load reported by another host. */
  recordHeartbeat(heartbeat: Beat): void {
    const {host, leaving, loads} = heartbeat;
    const isCapacityFreed = leaving
      ? this.reportedLoads.remove(host)
      : this.reportedLoads.replace(host, loads);
    // Most heartbeats free nothing, and each notification wakes the queues.
    if (isCapacityFreed) this.notifyCapacity();
  }

  /** Load of this host, for its heartbeats. */
  localLoads(): UpstreamLoad[] {
    return [...this.upstreams.values()]
      .filter(
        ({localLoad}) => localLoad.calls > 0 || localLoad.memoryTokens > 0,
      )
      .map(({document, localLoad}) => ({
        upstream: document.name,
        calls: localLoad.calls,
        memoryTokens: Math.round(localLoad.memoryTokens),
        promptTokens: Math.round(localLoad.promptTokens),
      }));
  }

  /** Adds load to an upstream until the returned handle is released. */
  addLoad(upstream: TrackedUpstream, load: Partial<Load>): LoadHandle {
    const callLoad = {calls: 0, memoryTokens: 0, promptTokens: 0, ...load};
    upstream.localLoad.calls += callLoad.calls;
    upstream.localLoad.memoryTokens += callLoad.memoryTokens;
    upstream.localLoad.promptTokens += callLoad.promptTokens;
    let isActive = true;
    return {
      setMemoryTokens: tokens => {
        if (!isActive) return;
        upstream.localLoad.memoryTokens += tokens - callLoad.memoryTokens;
        callLoad.memoryTokens = tokens;
      },
      release: () => {
        if (!isActive) return;
        isActive = false;
        upstream.localLoad.calls -= callLoad.calls;
        upstream.localLoad.memoryTokens -= callLoad.memoryTokens;
        upstream.localLoad.promptTokens -= callLoad.promptTokens;
        this.removeIfIdle(upstream.document.name);
        this.notifyCapacity();
      },
    };
  }

  /** Calls `listener` when capacity may have become available. */
  subscribeCapacity(listener: () => void): () => void {
    this.capacityListeners.add(listener);
    return () => this.capacityListeners.delete(listener);
  }

  /** Calls `listener` when an upstream is recorded as unreachable. */
  subscribeUnreachable(
    listener: (upstream: TrackedUpstream) => void,
  ): () => void {
    this.unreachableListeners.add(listener);
    return () => this.unreachableListeners.delete(listener);
  }

  /** Listed upstreams of a failure domain. */
  inFailureDomain(failureDomain: string): TrackedUpstream[] {
    return [...this.listedUpstreams.values()]
      .filter(({spec}) => spec.failureDomain === failureDomain)
      .map(document => this.track(document));
  }

  isListed({document}: TrackedUpstream): boolean {
    return this.listedUpstreams.has(document.name);
  }

  /** Notifies the listeners that capacity may be available. */
  notifyCapacity(): void {
    for (const listener of [...this.capacityListeners]) listener();
  }

  private track(document: UpstreamDocument): TrackedUpstream {
    const existing = this.upstreams.get(document.name);
    if (existing !== undefined) {
      existing.document = document;
      return existing;
    }
    const created: TrackedUpstream = {
      document,
      health: new UpstreamHealth(() => {
        for (const listener of this.unreachableListeners) listener(created);
      }),
      localLoad: {calls: 0, memoryTokens: 0, promptTokens: 0},
      reservationBackoffUntil: -Infinity,
      lastReservationAttemptAt: -Infinity,
    };
    this.upstreams.set(document.name, created);
    return created;
  }

  private removeIfIdle(name: string): void {
    const existing = this.upstreams.get(name);
    if (
      existing !== undefined &&
      existing.localLoad.calls === 0 &&
      !this.listedUpstreams.has(name)
    )
      this.upstreams.delete(name);
  }
}
