/**
 * The software versions that the list of upstreams has shown. While only one has
 * served since before a stream can have begun, it is the one that began it.
 */

import type {Clock} from '../clock.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import {canDecode} from './can-decode.js';
import {ageOf, beforeStart, currentMoment} from './moment.js';

export interface SoftwareVersionHistoryParts {
  readonly clock: Clock;
}

/** Receives each list that can be relied on, by name, and when its read began. */
export type ListListener = (
  upstreams: ReadonlyMap<string, UpstreamDocument>,
  readStartedAt: number,
) => void;

interface SeenVersion {
  readonly labels: Readonly<Record<string, string>>;
  readonly softwareVersion: string;
  readonly lastSeenAt: number;
}

/** Longer than a caller goes on taking up one stream. */
const historyMilliseconds = 120_000;

/**
 * Longest time between two reads of a history without a gap. An upstream stays
 * listed for longer than this, also one that only comes and goes.
 */
const maximumGapMilliseconds = 2000;

/** Longest wait for a read that starts after a call has arrived. */
const readTimeoutMilliseconds = 1200;

export class SoftwareVersionHistory {
  /** By name, start and version of the upstream. */
  private readonly seen = new Map<string, SeenVersion>();
  /** Clock time since which no version has been missed. */
  private completeSince: number;
  private lastReadStartedAt: number;
  /** The time of the last record, and of the last list of `subscribe`. */
  private lastRecord = beforeStart;
  private lastList = beforeStart;
  /** As described by the route table; undefined before the first one. */
  private routing: string | undefined;
  private readonly listListeners = new Set<ListListener>();

  constructor(private readonly parts: SoftwareVersionHistoryParts) {
    const now = parts.clock.now();
    // Not even a first start of the fleet is an exception: settings that call it
    // that are still there when the process starts again.
    this.completeSince = now;
    this.lastReadStartedAt = now;
    this.lastRecord = currentMoment(parts.clock);
  }

  /**
   * Records a complete list, whose read started at `readStartedAt`. `isCurrent` is
   * false for one that may lack the latest entries, after a restore of the store.
   */
  record(
    upstreams: Iterable<UpstreamDocument>,
    readStartedAt: number,
    isCurrent = true,
  ): void {
    const {clock} = this.parts;
    const now = clock.now();
    // The steady clock may have stood still since the last record.
    const gap = Math.max(
      now - this.lastReadStartedAt,
      ageOf(clock, this.lastRecord),
    );
    if (gap > maximumGapMilliseconds) this.completeSince = readStartedAt;
    this.lastReadStartedAt = readStartedAt;
    this.lastRecord = currentMoment(clock);
    const listed = new Map<string, UpstreamDocument>();
    for (const document of upstreams) {
      const {name, labels = {}, spec} = document;
      listed.set(name, document);
      const softwareVersion = spec.softwareVersion ?? '';
      const key = JSON.stringify([name, spec.startedAt ?? 0, softwareVersion]);
      this.seen.set(key, {labels, softwareVersion, lastSeenAt: now});
    }
    for (const [key, {lastSeenAt}] of this.seen)
      if (now - lastSeenAt > historyMilliseconds) this.seen.delete(key);
    if (!isCurrent) return;
    this.lastList = this.lastRecord;
    for (const listener of [...this.listListeners])
      listener(listed, readStartedAt);
  }

  /**
   * Records which pools the routes lead to. Begins anew if this has changed: the
   * upstreams of a pool that a route no longer leads to may have begun its streams.
   */
  recordRouting(routing: string): void {
    if (this.routing !== undefined && this.routing !== routing) this.restart();
    this.routing = routing;
  }

  /** Calls `listener` for each list from now on. */
  subscribe(listener: ListListener): () => void {
    this.listListeners.add(listener);
    return () => this.listListeners.delete(listener);
  }

  /** Whether the next list is expected in time, because the last one is recent. */
  get isListRecent(): boolean {
    return ageOf(this.parts.clock, this.lastList) <= maximumGapMilliseconds;
  }

  /**
   * Resolves with the next list whose read begins from now on; undefined if there
   * is none in time.
   */
  async nextList(): Promise<ReadonlyMap<string, UpstreamDocument> | undefined> {
    const {clock} = this.parts;
    const startedAt = clock.now();
    const read = new AbortController();
    let next: ReadonlyMap<string, UpstreamDocument> | undefined;
    const unsubscribe = this.subscribe((upstreams, readStartedAt) => {
      if (readStartedAt < startedAt) return;
      next ??= upstreams;
      read.abort();
    });
    await clock.sleep(readTimeoutMilliseconds, read.signal);
    unsubscribe();
    return next;
  }

  /** Begins anew, after lists that may have lacked upstreams. */
  restart(): void {
    this.completeSince = this.parts.clock.now();
  }

  /**
   * Resolves with the version that alone has served in `pool` since before any
   * stream can have begun that is taken up now; undefined if there are several or
   * if this is not known.
   */
  async findSoleVersion(pool: PoolDocument): Promise<string | undefined> {
    if (this.soleVersionOf(pool) === undefined) return undefined;
    // A version that another host has used already may be new to this one.
    const list = await this.nextList();
    return list === undefined ? undefined : this.soleVersionOf(pool);
  }

  private soleVersionOf(pool: PoolDocument): string | undefined {
    const now = this.parts.clock.now();
    if (now - this.completeSince < historyMilliseconds) return undefined;
    const versions = new Set<string>();
    for (const {labels, softwareVersion} of this.seen.values())
      if (canDecode(labels) && matchesSelector(pool.spec.upstreams, labels))
        versions.add(softwareVersion);
    const [sole] = versions;
    return versions.size === 1 ? sole : undefined;
  }
}
