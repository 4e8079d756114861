/**
 * The live list of upstreams with what is known of each: own load, the load of
 * other hosts as they told it, and health as this host observed it.
 */

import type {Clock} from '../clock.js';
import type {
  Beat,
  UpstreamLoad,
} from '../generated/messages/persimmonwick/beat.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import {UpstreamHealth} from './upstream-health.js';

/** Load that calls put on an upstream. */
export interface Load {
  calls: number;
  memoryTokens: number;
  promptTokens: number;
}

/** Load of one call on an upstream. */
export interface HeldLoad {
  /** Changes the memory that the call takes. */
  setMemory(tokens: number): void;
  /** Takes the load off; does nothing when called again. */
  end(): void;
}

/** One upstream with what is known of it. */
export interface TrackedUpstream {
  document: UpstreamDocument;
  readonly health: UpstreamHealth;
  /** Load of this host. */
  readonly own: Load;
  /** Until when it counts as full, after it refused a reservation. */
  fullUntil: number;
  /** When this host last tried to reserve memory there. */
  triedAt: number;
}

/** What other hosts told is used for so long. */
const toldMilliseconds = 3000;

/** What each process of another host told, and when. */
interface Told {
  readonly at: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
}

export class UpstreamTable {
  private readonly upstreams = new Map<string, TrackedUpstream>();
  private readonly told = new Map<string, Told>();
  private current: ReadonlyMap<string, UpstreamDocument> = new Map();
  private readonly listeners = new Set<() => void>();
  private readonly unreachableListeners = new Set<
    (upstream: TrackedUpstream) => void
  >();

  constructor(private readonly clock: Clock) {}

  /** Takes a new list; returns what changed. */
  replace(documents: ReadonlyMap<string, UpstreamDocument>): {
    readonly joined: readonly UpstreamDocument[];
    readonly leaving: readonly UpstreamDocument[];
    readonly gone: readonly UpstreamDocument[];
  } {
    const before = this.current;
    const isLive = (document: UpstreamDocument | undefined) =>
      document !== undefined && document.spec.state !== 'leaving';
    const listed = [...documents.values()];
    const joined = listed.filter(each => !before.has(each.name));
    const leaving = listed.filter(
      each => !isLive(each) && isLive(before.get(each.name)),
    );
    const gone = [...before.values()].filter(each => !documents.has(each.name));
    for (const document of listed) this.track(document);
    for (const {name} of gone) this.dropIdle(name);
    this.current = documents;
    this.notifyRoom();
    return {joined, leaving, gone};
  }

  /** Upstreams of `pool` that take new work by the list. */
  liveOf(pool: PoolDocument): TrackedUpstream[] {
    return [...this.current.values()]
      .filter(
        document =>
          document.spec.state !== 'leaving' &&
          matchesSelector(pool.spec.upstreams, document.labels ?? {}),
      )
      .map(document => this.track(document));
  }

  get size(): number {
    return this.current.size;
  }

  /** Load that other hosts put on an upstream, as they last told it. */
  toldLoad(name: string): Load {
    const total = {calls: 0, memoryTokens: 0, promptTokens: 0};
    const oldest = this.clock.now() - toldMilliseconds;
    for (const {at, loads} of this.told.values()) {
      const load = loads.get(name);
      if (load === undefined || at < oldest) continue;
      total.calls += load.calls;
      total.memoryTokens += load.memoryTokens;
      total.promptTokens += load.promptTokens;
    }
    return total;
  }

  /** Takes what another host tells of its load. */
  recordHeartbeat(beat: Beat): void {
    if (beat.leaving) {
      this.told.delete(beat.host);
      return;
    }
    const loads = new Map(beat.loads.map(load => [load.upstream, load]));
    this.told.set(beat.host, {at: this.clock.now(), loads});
    this.notifyRoom();
  }

  /** Load of this host, to be told to others. */
  localLoads(): UpstreamLoad[] {
    return [...this.upstreams.values()]
      .filter(({own}) => own.calls > 0 || own.memoryTokens > 0)
      .map(({document, own}) => ({
        upstream: document.name,
        calls: own.calls,
        memoryTokens: Math.round(own.memoryTokens),
        promptTokens: Math.round(own.promptTokens),
      }));
  }

  /** Adds load to an upstream until the result is ended. */
  addLoad(upstream: TrackedUpstream, load: Partial<Load>): HeldLoad {
    const held = {calls: 0, memoryTokens: 0, promptTokens: 0, ...load};
    upstream.own.calls += held.calls;
    upstream.own.memoryTokens += held.memoryTokens;
    upstream.own.promptTokens += held.promptTokens;
    let isHeld = true;
    return {
      setMemory: tokens => {
        if (!isHeld) return;
        upstream.own.memoryTokens += tokens - held.memoryTokens;
        held.memoryTokens = tokens;
      },
      end: () => {
        if (!isHeld) return;
        isHeld = false;
        upstream.own.calls -= held.calls;
        upstream.own.memoryTokens -= held.memoryTokens;
        upstream.own.promptTokens -= held.promptTokens;
        this.dropIdle(upstream.document.name);
        this.notifyRoom();
      },
    };
  }

  /** Calls `listener` when load went down or the list changed. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Calls `listener` when a connection to an upstream could not be made. */
  subscribeUnreachable(
    listener: (upstream: TrackedUpstream) => void,
  ): () => void {
    this.unreachableListeners.add(listener);
    return () => this.unreachableListeners.delete(listener);
  }

  /** Listed upstreams of a failure domain. */
  inDomain(failureDomain: string): TrackedUpstream[] {
    return [...this.current.values()]
      .filter(({spec}) => spec.failureDomain === failureDomain)
      .map(document => this.track(document));
  }

  isListed({document}: TrackedUpstream): boolean {
    return this.current.has(document.name);
  }

  /** Tells those that wait that they may find room now. */
  notifyRoom(): void {
    for (const listener of [...this.listeners]) listener();
  }

  private track(document: UpstreamDocument): TrackedUpstream {
    const known = this.upstreams.get(document.name);
    if (known !== undefined) {
      known.document = document;
      return known;
    }
    const made: TrackedUpstream = {
      document,
      health: new UpstreamHealth(() => {
        for (const listener of this.unreachableListeners) listener(made);
      }),
      own: {calls: 0, memoryTokens: 0, promptTokens: 0},
      fullUntil: -Infinity,
      triedAt: -Infinity,
    };
    this.upstreams.set(document.name, made);
    return made;
  }

  private dropIdle(name: string): void {
    const known = this.upstreams.get(name);
    if (known !== undefined && known.own.calls === 0 && !this.current.has(name))
      this.upstreams.delete(name);
  }
}
