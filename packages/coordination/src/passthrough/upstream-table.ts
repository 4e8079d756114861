/**
 * The list of upstreams with the state of each: the load of this host, the load
 * reported by other hosts, and the health observed by this host.
 */

import type {Clock} from '../clock.js';
import type {
  Beat,
  UpstreamLoad,
} from '../generated/messages/persimmonwick/beat.js';
import {
  Evacuations,
  decideEligibility,
  usableDomainsOf,
} from '../decisions/upstream-eligibility.js';
import type {
  Eligibility,
  EvacuationChange,
  Exclusion,
} from '../decisions/upstream-eligibility.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import type {RunningCalls} from '../decisions/memory-forecast.js';
import {matchesSelector} from '../labels.js';
import {canDecode} from './can-decode.js';
import {ReportedLoads} from './reported-loads.js';
import type {Load} from './reported-loads.js';
import {encodeRunningCalls, withUnknownCalls} from './running-calls.js';
import {UpstreamHealth} from './upstream-health.js';
import {UpstreamLifetimes} from './upstream-lifetimes.js';

/** Handle of the load of one call on an upstream. */
export interface LoadHandle {
  /**
   * Sets the memory that the call uses. `remainingTokens`, by which it is expected
   * to grow, is recorded only for a call that was added with such a value.
   */
  setMemoryTokens(tokens: number, remainingTokens?: number): void;
  /** Removes the load. Further calls have no effect. */
  release(): void;
}

/** Load of one call. */
interface CallLoad extends Load {
  /** Undefined for a call that is not part of memory forecasts. */
  remainingTokens: number | undefined;
}

/** An upstream with its load and health. */
export interface TrackedUpstream {
  document: UpstreamDocument;
  readonly health: UpstreamHealth;
  /** Load of this host. */
  readonly localLoad: Load;
  /** Calls of this host that are part of memory forecasts. */
  readonly forecastCalls: Set<RunningCalls>;
  /**
   * Clock time until which the upstream counts as full after it refused a
   * reservation.
   */
  reservationBackoffUntil: number;
  /** Clock time at which this host last tried to reserve memory there. */
  lastReservationAttemptAt: number;
  /** Clock time until which the upstream asked to be sent nothing. */
  pausedUntil: number;
  /** Requests sent during this pause. */
  requestsInPause: number;
}

/**
 * Longest pause that an upstream may ask for. A longer one is more likely a wrong
 * value than a wish, and would take the upstream out of use for good.
 */
export const maximumPauseMilliseconds = 60_000;

/**
 * Requests that may reach an upstream in its pause: those that finish or free
 * what was begun before it.
 */
const requestsAllowedInPause = 2;

/** What decides which failure domains may serve a call. */
export interface PlacedCall {
  readonly id: string;
  /** Regions in which the call may be served; undefined if all are allowed. */
  readonly allowedRegions: ReadonlySet<string> | undefined;
}

/** Which upstreams of a pool may serve a call. */
export interface PoolRestriction {
  /** Number of upstreams that may serve it. */
  readonly eligible: number;
  /** Why others may not, or may serve only a part of the calls. */
  readonly reasons: ReadonlySet<Exclusion | 'returning'>;
}

/** Returns the region of a failure domain; undefined if none is configured. */
export type RegionLookup = (failureDomain: string) => string | undefined;

/** Why nothing may be sent to the process of an upstream that was chosen before. */
export type UpstreamDeparture =
  | 'upstream-leaving'
  | 'upstream-gone'
  /** Another process runs under its name. */
  | 'upstream-replaced'
  | 'domain-evacuated';

/** Changes of a list of upstreams. */
export interface UpstreamChanges {
  readonly joined: readonly UpstreamDocument[];
  readonly leaving: readonly UpstreamDocument[];
  readonly gone: readonly UpstreamDocument[];
}

export class UpstreamTable {
  private readonly upstreams = new Map<string, TrackedUpstream>();
  private readonly reportedLoads: ReportedLoads;
  private listedUpstreams = new Map<string, UpstreamDocument>();
  private readonly lifetimes = new UpstreamLifetimes();
  private readonly evacuations = new Evacuations();
  /**
   * Results of `exclusionOf` by the allowed regions, since the list, the
   * evacuations or the regions last changed.
   */
  private exclusions = new WeakMap<
    PoolDocument,
    Map<string, Exclusion | undefined>
  >();
  private readonly capacityListeners = new Set<() => void>();
  private readonly unreachableListeners = new Set<
    (upstream: TrackedUpstream) => void
  >();
  private readonly silenceListeners = new Set<
    (upstream: TrackedUpstream) => void
  >();

  constructor(
    private readonly clock: Clock,
    private readonly regionOf: RegionLookup = () => undefined,
  ) {
    this.reportedLoads = new ReportedLoads(clock);
  }

  /**
   * Replaces the list and returns the changes. Entries of processes that are
   * known to be gone are left out.
   */
  replace(documents: ReadonlyMap<string, UpstreamDocument>): UpstreamChanges {
    const before = this.listedUpstreams;
    const isLive = (document: UpstreamDocument | undefined) =>
      document !== undefined && document.spec.state !== 'leaving';
    const listed = [...documents.values()].flatMap(
      document => this.lifetimes.admit(document) ?? [],
    );
    const after = new Map(listed.map(document => [document.name, document]));
    const joined = listed.filter(each => !before.has(each.name));
    const leaving = listed.filter(
      each => !isLive(each) && isLive(before.get(each.name)),
    );
    const gone = [...before.values()].filter(each => !after.has(each.name));
    this.listedUpstreams = after;
    this.forgetExclusions();
    for (const document of listed) this.track(document);
    for (const document of leaving) this.lifetimes.recordLeaving(document);
    for (const document of gone) {
      this.lifetimes.recordGone(document);
      this.removeIfIdle(document.name);
    }
    this.notifyCapacity();
    return {joined, leaving, gone};
  }

  /** Replaces the set of evacuated failure domains and returns the changes. */
  replaceEvacuations(domains: ReadonlySet<string>): EvacuationChange {
    const change = this.evacuations.replace(domains, this.clock.now());
    this.forgetExclusions();
    // Calls that wait may now be excluded, or may use more upstreams.
    if (change.begun.length + change.ended.length > 0) this.notifyCapacity();
    return change;
  }

  get evacuatedDomains(): ReadonlySet<string> {
    return this.evacuations.domains;
  }

  /** Must be called when the regions of failure domains have changed. */
  forgetExclusions(): void {
    this.exclusions = new WeakMap();
  }

  /** Returns whether nothing may be sent to the upstream of `document`. */
  isEvacuated({spec}: UpstreamDocument): boolean {
    return this.evacuations.has(spec.failureDomain);
  }

  /**
   * Decides whether what is in `failureDomain` may serve `call`, or any call if it
   * is absent.
   */
  eligibilityOf(failureDomain: string, call?: PlacedCall): Eligibility {
    return decideEligibility({
      isEvacuated: this.evacuations.has(failureDomain),
      region: this.regionOf(failureDomain),
      allowedRegions: call?.allowedRegions,
    });
  }

  /** Returns whether `call` may use fewer upstreams of a pool than other calls. */
  isChoiceRestricted({allowedRegions}: PlacedCall): boolean {
    return (
      allowedRegions !== undefined ||
      this.evacuations.isAnyReturning(this.clock.now())
    );
  }

  /**
   * Returns why no upstream of `pool` that runs calls may serve `call`; undefined
   * if one may, or if neither an evacuation nor a region is the reason.
   */
  exclusionOf(pool: PoolDocument, call: PlacedCall): Exclusion | undefined {
    const {allowedRegions} = call;
    if (allowedRegions === undefined && this.evacuatedDomains.size === 0)
      return undefined;
    // Each dispatch of a queue asks for all calls that wait.
    const cache = this.exclusions.get(pool) ?? new Map();
    this.exclusions.set(pool, cache);
    const key = JSON.stringify([...(allowedRegions ?? [null])]);
    if (!cache.has(key)) cache.set(key, this.findExclusion(pool, call));
    return cache.get(key);
  }

  private findExclusion(
    pool: PoolDocument,
    call: PlacedCall,
  ): Exclusion | undefined {
    const {eligible, reasons} = this.restrictionOf(pool, call);
    if (eligible > 0) return undefined;
    if (reasons.has('evacuated')) return 'evacuated';
    // Also if no upstream is listed: a call with regions does not wait for one.
    return call.allowedRegions === undefined ? undefined : 'region';
  }

  /** Which upstreams of `pool` that run calls may serve `call`. */
  restrictionOf(pool: PoolDocument, call: PlacedCall): PoolRestriction {
    const now = this.clock.now();
    const reasons = new Set<Exclusion | 'returning'>();
    let eligible = 0;
    for (const {spec, labels = {}} of this.notLeavingOf(pool)) {
      if (!canDecode(labels)) continue;
      const eligibility = this.eligibilityOf(spec.failureDomain, call);
      if (eligibility.kind === 'excluded') {
        reasons.add(eligibility.reason);
        continue;
      }
      eligible += 1;
      if (this.evacuations.returnProgressOf(spec.failureDomain, now) < 1)
        reasons.add('returning');
    }
    return {eligible, reasons};
  }

  /**
   * Returns whether this host can connect to no upstream of `pool` that runs
   * calls and may serve `call`, although some are listed.
   */
  isOutOfReach(pool: PoolDocument, call?: PlacedCall): boolean {
    const now = this.clock.now();
    const running = this.liveOf(pool, call).filter(({document}) =>
      canDecode(document.labels ?? {}),
    );
    return (
      running.length > 0 &&
      running.every(({health}) => health.isUnreachable(now))
    );
  }

  /**
   * Listed upstreams of `pool` that are neither leaving nor paused and may serve
   * `call`. While a failure domain returns from an evacuation, its upstreams are
   * left out for a part of the calls.
   */
  acceptingOf(pool: PoolDocument, call?: PlacedCall): TrackedUpstream[] {
    const now = this.clock.now();
    const live = this.liveOf(pool, call);
    const usable =
      call !== undefined && this.evacuations.isAnyReturning(now)
        ? this.withoutReturning(live, call, now)
        : live;
    return usable.filter(({pausedUntil}) => pausedUntil <= now);
  }

  private withoutReturning(
    upstreams: readonly TrackedUpstream[],
    {id}: PlacedCall,
    now: number,
  ): TrackedUpstream[] {
    const sizes = new Map<string, number>();
    for (const {document} of upstreams) {
      const {failureDomain} = document.spec;
      sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
    }
    const domains = [...sizes].map(([failureDomain, size]) => ({
      failureDomain,
      upstreams: size,
      returnProgress: this.evacuations.returnProgressOf(failureDomain, now),
    }));
    const usable = usableDomainsOf(domains, id);
    return upstreams.filter(({document}) =>
      usable.has(document.spec.failureDomain),
    );
  }

  /**
   * Time until the first pause of the eligible upstreams of `pool` ends, in
   * milliseconds; undefined if one of them is not paused, or if there is none.
   */
  remainingPauseOf(
    pool: PoolDocument,
    isEligible: (upstream: TrackedUpstream) => boolean = () => true,
  ): number | undefined {
    const ends = this.liveOf(pool)
      .filter(isEligible)
      .map(({pausedUntil}) => pausedUntil);
    if (ends.length === 0) return undefined;
    const remaining = Math.min(...ends) - this.clock.now();
    return remaining > 0 ? remaining : undefined;
  }

  /**
   * Records that the process of `document` announced that it is leaving. Returns
   * whether this was not known.
   */
  recordLeaving(document: UpstreamDocument): boolean {
    const listed = this.listedUpstreams.get(document.name);
    if (listed === undefined || listed.spec.state === 'leaving') return false;
    if (listed.spec.startedAt !== document.spec.startedAt) return false;
    this.lifetimes.recordLeaving(listed);
    const leaving = this.lifetimes.admit(listed);
    if (leaving === undefined) return false;
    this.listedUpstreams.set(leaving.name, leaving);
    this.forgetExclusions();
    this.track(leaving);
    return true;
  }

  /**
   * Records that the process of `document` asked to be sent nothing for some
   * time. Returns the pause that applies, or undefined if it is over already.
   */
  recordPause(
    document: UpstreamDocument,
    milliseconds: number,
  ): number | undefined {
    const upstream = this.upstreams.get(document.name);
    if (upstream === undefined) return undefined;
    if (upstream.document.spec.startedAt !== document.spec.startedAt)
      return undefined;
    const pause = Math.min(milliseconds, maximumPauseMilliseconds);
    const until = this.clock.now() + pause;
    if (!(until > upstream.pausedUntil)) return undefined;
    if (upstream.pausedUntil <= this.clock.now()) upstream.requestsInPause = 0;
    upstream.pausedUntil = until;
    return pause;
  }

  /**
   * Returns whether a request that finishes or frees earlier work may be sent,
   * and counts it against the pause of the upstream.
   */
  acquireRequest(document: UpstreamDocument): boolean {
    if (this.isEvacuated(document)) return false;
    const upstream = this.upstreams.get(document.name);
    if (upstream === undefined || upstream.pausedUntil <= this.clock.now())
      return true;
    if (upstream.requestsInPause >= requestsAllowedInPause) return false;
    upstream.requestsInPause += 1;
    return true;
  }

  get size(): number {
    return this.listedUpstreams.size;
  }

  /** Total load of other hosts on an upstream, by their latest reports. */
  reportedLoad(name: string): Readonly<Load> {
    return this.reportedLoads.totalOf(name);
  }

  /** Calls of all hosts on an engine, for the forecast of its memory. */
  runningCalls({
    document,
    forecastCalls,
    localLoad,
  }: TrackedUpstream): RunningCalls[] {
    return [
      ...withUnknownCalls([...forecastCalls], localLoad),
      ...this.reportedLoads.runningCalls(document.name),
    ];
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
    const loaded = [...this.upstreams.values()].filter(
      ({localLoad}) => localLoad.calls > 0 || localLoad.memoryTokens > 0,
    );
    const runningCalls = encodeRunningCalls(
      loaded.map(({forecastCalls}) => [...forecastCalls]),
    );
    return loaded.map(({document, localLoad}, index) => ({
      upstream: document.name,
      calls: localLoad.calls,
      memoryTokens: Math.round(localLoad.memoryTokens),
      promptTokens: Math.round(localLoad.promptTokens),
      runningCalls: runningCalls[index]!,
    }));
  }

  /** Adds load to an upstream until the returned handle is released. */
  addLoad(upstream: TrackedUpstream, load: Partial<CallLoad>): LoadHandle {
    const callLoad: CallLoad = {
      calls: 0,
      memoryTokens: 0,
      promptTokens: 0,
      remainingTokens: undefined,
      ...load,
    };
    const updateForecast = (remainingTokens: number | undefined) => {
      if (forecast !== undefined) upstream.forecastCalls.delete(forecast);
      forecast =
        remainingTokens === undefined
          ? undefined
          : {
              calls: callLoad.calls,
              memoryTokens: callLoad.memoryTokens,
              remainingTokens,
            };
      if (forecast !== undefined) upstream.forecastCalls.add(forecast);
    };
    let forecast: RunningCalls | undefined;
    updateForecast(callLoad.remainingTokens);
    upstream.localLoad.calls += callLoad.calls;
    upstream.localLoad.memoryTokens += callLoad.memoryTokens;
    upstream.localLoad.promptTokens += callLoad.promptTokens;
    let isActive = true;
    return {
      setMemoryTokens: (tokens, remainingTokens) => {
        if (!isActive) return;
        upstream.localLoad.memoryTokens += tokens - callLoad.memoryTokens;
        callLoad.memoryTokens = tokens;
        if (forecast !== undefined)
          updateForecast(remainingTokens ?? forecast.remainingTokens);
      },
      release: () => {
        if (!isActive) return;
        isActive = false;
        updateForecast(undefined);
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

  /** Calls `listener` when an upstream becomes suspect by its silence. */
  subscribeSilence(listener: (upstream: TrackedUpstream) => void): () => void {
    this.silenceListeners.add(listener);
    return () => this.silenceListeners.delete(listener);
  }

  /**
   * Returns why nothing may be sent any more to the process of `document`, which
   * was listed when it was chosen; undefined if it may.
   */
  departureOf(document: UpstreamDocument): UpstreamDeparture | undefined {
    const listed = this.listedUpstreams.get(document.name);
    if (listed === undefined) return 'upstream-gone';
    const {startedAt, state} = listed.spec;
    const {startedAt: chosenStart} = document.spec;
    if (
      startedAt !== undefined &&
      chosenStart !== undefined &&
      startedAt !== chosenStart
    )
      return 'upstream-replaced';
    if (state === 'leaving') return 'upstream-leaving';
    return this.isEvacuated(listed) ? 'domain-evacuated' : undefined;
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

  /**
   * Listed upstreams of `pool` that are not leaving and may serve `call`, or any
   * call if it is absent.
   */
  liveOf(pool: PoolDocument, call?: PlacedCall): TrackedUpstream[] {
    return this.notLeavingOf(pool)
      .filter(
        ({spec}) =>
          this.eligibilityOf(spec.failureDomain, call).kind === 'eligible',
      )
      .map(document => this.track(document));
  }

  /** Listed upstreams of `pool` that are not leaving, also evacuated ones. */
  notLeavingOf(pool: PoolDocument): UpstreamDocument[] {
    return [...this.listedUpstreams.values()].filter(
      document =>
        document.spec.state !== 'leaving' &&
        matchesSelector(pool.spec.upstreams, document.labels ?? {}),
    );
  }

  private track(document: UpstreamDocument): TrackedUpstream {
    const existing = this.upstreams.get(document.name);
    if (existing !== undefined) {
      const isSameProcess =
        existing.document.spec.startedAt === document.spec.startedAt;
      if (!isSameProcess) {
        existing.pausedUntil = -Infinity;
        existing.reservationBackoffUntil = -Infinity;
        existing.health.reset();
      }
      existing.document = document;
      return existing;
    }
    const created: TrackedUpstream = {
      document,
      health: new UpstreamHealth(
        () => {
          for (const listener of this.unreachableListeners) listener(created);
        },
        () => {
          for (const listener of this.silenceListeners) listener(created);
        },
      ),
      localLoad: {calls: 0, memoryTokens: 0, promptTokens: 0},
      forecastCalls: new Set(),
      reservationBackoffUntil: -Infinity,
      lastReservationAttemptAt: -Infinity,
      pausedUntil: -Infinity,
      requestsInPause: 0,
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
