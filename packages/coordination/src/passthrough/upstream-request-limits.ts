/**
 * Holds the requests of all hosts to the limits that upstreams name in their
 * responses. Each host subtracts what the others report from its own token
 * bucket of an upstream, so that a host with many calls uses what the others
 * leave. See docs/design/request-limits.md.
 */

import type {Clock} from '../clock.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {RequestLimitReport} from '../generated/messages/persimmonwick/beat.js';
import type {HostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import {BoundedMap} from './bounded-map.js';
import {LimitedUpstream} from './limited-upstream.js';
import type {LimitStatement} from './limited-upstream.js';

/** An upstream named, changed or no longer names a limit. */
export interface RequestLimitChange {
  readonly upstream: string;
  /** Undefined if there is no limit any more. */
  readonly requestsPerSecond: number | undefined;
  readonly source: 'self' | 'peer';
  /** Age of the response. */
  readonly ageMilliseconds: number;
}

export interface UpstreamRequestLimitsParts {
  readonly clock: Clock;
  readonly self: HostId;
  /** All known hosts, including this one. A change replaces the array. */
  readonly hosts: () => readonly HostId[];
  /** Number of known hosts that are silent and may still send requests. */
  readonly silentHostCount: () => number;
  readonly onChange: (change: RequestLimitChange) => void;
  /** Called when peers should learn something soon. */
  readonly onLearned: () => void;
}

/** Upstreams that are remembered; beyond it the oldest are forgotten. */
const maximumUpstreams = 4096;

/** Hosts whose totals are remembered. */
const maximumPeers = 1024;

/** Upstreams in one heartbeat. */
export const maximumReportedLimits = 128;

/** An upstream with a limit is chosen as if it had this many times its load. */
const limitedPenalty = 2;

/**
 * Time after a response for which this holds. Without any call, the end of a
 * limit would not be noticed beside idle upstreams.
 */
const penaltyMilliseconds = 2000;

/** Time for which the end of a limit is reported. */
const endReportMilliseconds = 10_000;

/**
 * The age of a reported response lacks its transit. The end of a limit is
 * adopted only if it is later by more than this, the limit itself at once.
 */
const ageToleranceMilliseconds = 100;

/** Ages above this are reported as this. */
const maximumReportedAgeMilliseconds = 1e9;

const millisecondsPerSecond = 1000;

interface PeerTotals {
  readonly incarnation: bigint;
  /** By name and start of the upstream. */
  readonly sentByUpstream: BoundedMap<string, number>;
}

export class UpstreamRequestLimits {
  private readonly upstreams = new BoundedMap<string, LimitedUpstream>(
    maximumUpstreams,
  );
  private readonly peers = new BoundedMap<HostId, PeerTotals>(maximumPeers);
  /** Hosts that may send to each upstream; valid for one array of hosts. */
  private sendersCache = new Map<string, boolean>();
  private cachedHosts: readonly HostId[] = [];
  private readonly startedAt: number;

  constructor(private readonly parts: UpstreamRequestLimitsParts) {
    this.startedAt = parts.clock.now();
  }

  /** Records what a response of the process of `document` says. */
  recordStatement(
    {name, spec}: UpstreamDocument,
    requestsPerSecond: number | undefined,
  ): void {
    const {startedAt = 0} = spec;
    const known = this.upstreams.get(name);
    // Most upstreams never name a limit, and nothing is kept for them.
    if (known === undefined && requestsPerSecond === undefined) return;
    const at = this.parts.clock.now();
    if (this.state(name, startedAt, {requestsPerSecond, at}, 'self'))
      this.parts.onLearned();
  }

  isLimited(upstream: string): boolean {
    return this.upstreams.get(upstream)?.isLimited ?? false;
  }

  /** Factor of the cost of choosing an upstream. */
  penaltyOf(upstream: string): number {
    const limited = this.upstreams.get(upstream);
    if (limited === undefined || !limited.isLimited) return 1;
    const age = this.parts.clock.now() - limited.statement.at;
    return age < penaltyMilliseconds ? limitedPenalty : 1;
  }

  /**
   * Time until this host may send `cost` requests to one of `upstreams`, behind
   * as many other calls `ahead`; in milliseconds.
   */
  shortestWait(
    upstreams: readonly string[],
    cost: number,
    ahead: number,
  ): number {
    const known = upstreams.map(each => this.upstreams.get(each));
    const isUnlimited = known.some(each => each?.isLimited !== true);
    if (upstreams.length === 0 || isUnlimited) return 0;
    const now = this.parts.clock.now();
    const share = this.share();
    const senders = upstreams.flatMap((upstream, index) => {
      const limited = known[index]!;
      return this.isSender(upstream, limited.maximumSenders(cost))
        ? [limited]
        : [];
    });
    if (senders.length === 0) return Infinity;
    const sum = (numbers: readonly number[]) =>
      numbers.reduce((total, each) => total + each, 0);
    const rate = share * sum(senders.map(each => each.rate));
    const level = sum(
      senders.map(each => Math.max(0, each.levelAt(now, share))),
    );
    const missing = Math.max(0, ahead * cost - Math.max(0, level - 1));
    return (
      Math.min(...senders.map(each => each.waitFor(1, now, share))) +
      (missing / rate) * millisecondsPerSecond
    );
  }

  canSend(upstream: string, cost: number): boolean {
    return this.waitOf(upstream, cost) === 0;
  }

  /** Counts requests that are about to be sent. */
  acquire(upstream: string, cost: number): void {
    const limited = this.upstreams.get(upstream);
    if (limited === undefined || !limited.isLimited) return;
    limited.sentRequests += cost;
    limited.take(cost);
    this.parts.onLearned();
  }

  /** Acquires one request; returns false if none may be sent now. */
  tryAcquire(upstream: string): boolean {
    if (!this.canSend(upstream, 1)) return false;
    this.acquire(upstream, 1);
    return true;
  }

  /** Returns a request that was acquired and not sent. */
  refund(upstream: string): void {
    this.acquire(upstream, -1);
  }

  /**
   * Records what another host reports. `ageMilliseconds` is the uptime of its
   * process.
   */
  recordPeer(
    host: HostId,
    incarnation: bigint,
    ageMilliseconds: number,
    reports: readonly RequestLimitReport[],
  ): void {
    const {clock} = this.parts;
    const known = this.peers.get(host);
    const isSameProcess = known?.incarnation === incarnation;
    if (reports.length === 0 && !isSameProcess) return;
    const sentByUpstream = isSameProcess
      ? known.sentByUpstream
      : new BoundedMap<string, number>(maximumUpstreams);
    this.peers.set(host, {incarnation, sentByUpstream});
    // An older process reports what it sent before this one started.
    const isPast =
      known === undefined && ageMilliseconds > clock.now() - this.startedAt;
    for (const report of reports)
      this.recordReport(report, sentByUpstream, isPast);
  }

  /** What this host tells the others: the newest limits, and their ends. */
  report(): RequestLimitReport[] {
    const now = this.parts.clock.now();
    const reports: RequestLimitReport[] = [];
    for (const [upstream, limited] of this.upstreams.entries()) {
      const {requestsPerSecond, at} = limited.statement;
      const age = now - at;
      if (requestsPerSecond === undefined && age > endReportMilliseconds)
        continue;
      reports.push({
        upstream,
        startedAt: BigInt(limited.startedAt),
        requestsPerSecond: requestsPerSecond ?? 0,
        isLimited: requestsPerSecond !== undefined,
        ageMilliseconds: Math.round(
          Math.min(age, maximumReportedAgeMilliseconds),
        ),
        sentRequests: limited.sentRequests,
      });
    }
    return reports
      .sort((left, right) => left.ageMilliseconds - right.ageMilliseconds)
      .slice(0, maximumReportedLimits);
  }

  /**
   * Time until this host may send `cost` requests, in milliseconds; infinite if
   * only other hosts may.
   */
  private waitOf(upstream: string, cost: number): number {
    const limited = this.upstreams.get(upstream);
    if (limited === undefined || !limited.isLimited) return 0;
    if (!this.isSender(upstream, limited.maximumSenders(cost))) return Infinity;
    const now = this.parts.clock.now();
    return limited.waitFor(1, now, this.share());
  }

  private recordReport(
    report: RequestLimitReport,
    sentByUpstream: BoundedMap<string, number>,
    isPast: boolean,
  ): void {
    const {upstream, sentRequests} = report;
    const startedAt = Number(report.startedAt);
    const at = this.parts.clock.now() - report.ageMilliseconds;
    const known = this.upstreams.get(upstream);
    // A report of an earlier process is late.
    if (known !== undefined && startedAt < known.startedAt) return;
    const isNewProcess = known !== undefined && startedAt > known.startedAt;
    const tolerance = report.isLimited ? 0 : ageToleranceMilliseconds;
    if (isNewProcess || at > (known?.statement.at ?? -Infinity) + tolerance) {
      const requestsPerSecond = report.isLimited
        ? report.requestsPerSecond
        : undefined;
      this.state(upstream, startedAt, {requestsPerSecond, at}, 'peer');
    }
    const key = `${upstream} ${startedAt}`;
    const previous = sentByUpstream.get(key) ?? (isPast ? sentRequests : 0);
    sentByUpstream.set(key, sentRequests);
    this.upstreams.get(upstream)?.take(sentRequests - previous);
  }

  /** Returns whether the limit has changed. */
  private state(
    upstream: string,
    startedAt: number,
    statement: LimitStatement,
    source: 'self' | 'peer',
  ): boolean {
    const known = this.upstreams.get(upstream);
    const current = known?.startedAt === startedAt ? known : undefined;
    const before = current?.statement.requestsPerSecond;
    if (current === undefined)
      this.upstreams.set(upstream, new LimitedUpstream(startedAt, statement));
    else current.restate(statement);
    const {requestsPerSecond, at} = statement;
    if (before === requestsPerSecond) return false;
    const ageMilliseconds = this.parts.clock.now() - at;
    this.parts.onChange({upstream, requestsPerSecond, source, ageMilliseconds});
    return true;
  }

  /**
   * Fraction of the limit that remains after an equal part for each silent
   * host, which may be behind a network partition.
   */
  private share(): number {
    const {hosts, silentHostCount} = this.parts;
    const hostCount = Math.max(1, hosts().length);
    return Math.max(1 / hostCount, 1 - silentHostCount() / hostCount);
  }

  /**
   * Whether this host is among those that may send to an upstream. A large fleet
   * can't hold to a small limit if each host sends a request now and then.
   */
  private isSender(upstream: string, maximumSenders: number): boolean {
    const hosts = this.parts.hosts();
    if (hosts.length <= maximumSenders) return true;
    const isFull = this.sendersCache.size >= maximumUpstreams;
    if (hosts !== this.cachedHosts || isFull) {
      this.cachedHosts = hosts;
      this.sendersCache = new Map();
    }
    const key = `${upstream} ${maximumSenders}`;
    const known = this.sendersCache.get(key);
    if (known !== undefined) return known;
    const isSender = rankByRendezvous(upstream, hosts, host => host)
      .slice(0, maximumSenders)
      .includes(this.parts.self);
    this.sendersCache.set(key, isSender);
    return isSender;
  }
}
