/**
 * Holds the requests of all hosts to the limits of upstreams. A limit has two
 * sources. One that an upstream names in its responses: each host subtracts what
 * the others report from its own token bucket of the upstream, so that a host
 * with many calls uses what the others leave. And the rate of a cold upstream, of
 * which each host uses an equal part. See docs/design/request-limits.md.
 */

import type {Clock} from '../clock.js';
import {ColdUpstream} from '../decisions/cold-upstreams.js';
import type {
  ColdChange,
  ColdRule,
  ColdShare,
  ColdSource,
  ColdTolerance,
} from '../decisions/cold-upstreams.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {RequestLimitReport} from '../generated/messages/persimmonwick/beat.js';
import type {HostId} from '../ids.js';
import {BoundedMap} from './bounded-map.js';
import {KnownHosts} from './known-hosts.js';
import {LimitedUpstream} from './limited-upstream.js';
import type {LimitStatement} from './limited-upstream.js';
import {SenderChoice} from './sender-choice.js';

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
  /** Number of other hosts that the settings name; 0 if absent. */
  readonly seedCount?: () => number;
  readonly coldTolerance?: () => ColdTolerance;
  readonly onCold?: (change: ColdChange) => void;
}

/** An upstream of a pool that states a rate for cold ones. */
export interface ColdRuleEntry {
  readonly document: UpstreamDocument;
  readonly rule: ColdRule;
}

/** Requests may not exceed the rate of a cold upstream. */
const noTolerance: ColdTolerance = {factor: 1, requests: 0};

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

/** What one source of a limit lets this host send. */
interface LimitState {
  readonly waitMilliseconds: number;
  readonly requestsPerSecond: number;
  readonly level: number;
}

const unlimitedState: LimitState = {
  waitMilliseconds: 0,
  requestsPerSecond: Infinity,
  level: Infinity,
};

/** Only other hosts may send. */
const blockedState: LimitState = {
  waitMilliseconds: Infinity,
  requestsPerSecond: 0,
  level: 0,
};

export class UpstreamRequestLimits {
  private readonly upstreams = new BoundedMap<string, LimitedUpstream>(
    maximumUpstreams,
  );
  private readonly peers = new BoundedMap<HostId, PeerTotals>(maximumPeers);
  /** Upstreams of pools that state a rate for cold ones. */
  private readonly cold = new BoundedMap<string, ColdUpstream>(
    maximumUpstreams,
  );
  private readonly senders: SenderChoice;
  private readonly coldSenders: SenderChoice;
  private readonly knownHosts: KnownHosts;
  private readonly startedAt: number;

  constructor(private readonly parts: UpstreamRequestLimitsParts) {
    const {self, clock, seedCount = () => 0} = parts;
    this.startedAt = clock.now();
    this.senders = new SenderChoice(self);
    this.coldSenders = new SenderChoice(self);
    this.knownHosts = new KnownHosts({self, seedCount}, this.startedAt);
  }

  /**
   * Records the listed upstreams of pools that state a rate for cold ones.
   * Upstreams that are missing keep their state, because the list may be of an
   * earlier time.
   */
  recordColdRules(entries: readonly ColdRuleEntry[]): void {
    const {clock} = this.parts;
    const now = clock.now();
    for (const {document, rule} of entries) {
      const {name, spec} = document;
      const known = this.cold.get(name);
      const cold =
        known !== undefined && known.startedAt === spec.startedAt
          ? known
          : new ColdUpstream(spec.startedAt, rule);
      this.cold.set(name, cold);
      const source = cold.recordEntry(document, rule, now, clock.wallNow());
      this.reportCold(name, cold, source);
    }
  }

  /** Records for how long a response says that its process is still cold. */
  recordCold({name, spec}: UpstreamDocument, milliseconds: number): void {
    const cold = this.cold.get(name);
    if (cold === undefined || cold.startedAt !== spec.startedAt) return;
    const source = cold.recordResponse(milliseconds, this.parts.clock.now());
    this.reportCold(name, cold, source);
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
    return this.isNamed(upstream) || this.coldOf(upstream) !== undefined;
  }

  /** Factor of the cost of choosing an upstream. */
  penaltyOf(upstream: string): number {
    const cold = this.coldOf(upstream)?.penalty(this.parts.clock.now()) ?? 1;
    return Math.max(cold, this.namedPenaltyOf(upstream));
  }

  private namedPenaltyOf(upstream: string): number {
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
    const isUnlimited = upstreams.some(each => !this.isLimited(each));
    if (upstreams.length === 0 || isUnlimited) return 0;
    const states = upstreams
      .map(each => this.stateOf(each, cost))
      .filter(({waitMilliseconds}) => waitMilliseconds < Infinity);
    if (states.length === 0) return Infinity;
    const sum = (numbers: readonly number[]) =>
      numbers.reduce((total, each) => total + each, 0);
    const rate = sum(states.map(each => each.requestsPerSecond));
    const level = sum(states.map(each => Math.max(0, each.level)));
    const missing = Math.max(0, ahead * cost - Math.max(0, level - 1));
    return (
      Math.min(...states.map(each => each.waitMilliseconds)) +
      (missing / rate) * millisecondsPerSecond
    );
  }

  canSend(upstream: string, cost: number): boolean {
    return this.stateOf(upstream, cost).waitMilliseconds === 0;
  }

  /**
   * Counts requests that are about to be sent. Of them, `later` are sent later,
   * when `sendAcquired` is called.
   */
  acquire(upstream: string, cost: number, later = 0): void {
    this.cold.get(upstream)?.acquire(cost, later, this.parts.clock.now());
    this.acquireNamed(upstream, cost);
  }

  /** Records that a request is sent that was acquired to be sent later. */
  sendAcquired(upstream: string): void {
    this.cold.get(upstream)?.sendAcquired(this.parts.clock.now());
  }

  private acquireNamed(upstream: string, cost: number): void {
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

  /** Returns a request that was acquired to be sent later, and is not sent. */
  refund(upstream: string): void {
    this.cold.get(upstream)?.refund();
    this.acquireNamed(upstream, -1);
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
    this.knownHosts.observe(this.parts.hosts(), clock.now());
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

  private isNamed(upstream: string): boolean {
    return this.upstreams.get(upstream)?.isLimited ?? false;
  }

  /** Undefined if no limit applies because the upstream is or was cold. */
  private coldOf(upstream: string): ColdUpstream | undefined {
    const cold = this.cold.get(upstream);
    return cold?.isLimited(this.parts.clock.now()) === true ? cold : undefined;
  }

  /** What both sources of limits let this host send: the smaller. */
  private stateOf(upstream: string, cost: number): LimitState {
    const named = this.namedStateOf(upstream, cost);
    const cold = this.coldStateOf(upstream, cost);
    return {
      waitMilliseconds: Math.max(named.waitMilliseconds, cold.waitMilliseconds),
      requestsPerSecond: Math.min(
        named.requestsPerSecond,
        cold.requestsPerSecond,
      ),
      level: Math.min(named.level, cold.level),
    };
  }

  private namedStateOf(upstream: string, cost: number): LimitState {
    const limited = this.upstreams.get(upstream);
    if (limited === undefined || !limited.isLimited) return unlimitedState;
    const hosts = this.parts.hosts();
    const maximumSenders = limited.maximumSenders(cost);
    if (!this.senders.isSender(upstream, hosts, maximumSenders))
      return blockedState;
    const now = this.parts.clock.now();
    const share = this.share();
    return {
      waitMilliseconds: limited.waitFor(1, now, share),
      requestsPerSecond: limited.rate * share,
      level: limited.levelAt(now, share),
    };
  }

  private coldStateOf(upstream: string, cost: number): LimitState {
    const {clock, hosts, coldTolerance} = this.parts;
    const cold = this.coldOf(upstream);
    if (cold === undefined) return unlimitedState;
    const now = clock.now();
    this.knownHosts.observe(hosts(), now);
    const {assumedCount} = this.knownHosts;
    const tolerance = coldTolerance?.() ?? noTolerance;
    const share = cold.shareOf(tolerance, assumedCount, now);
    if (!this.isColdSender(upstream, share)) return blockedState;
    return {
      waitMilliseconds: Math.max(
        this.knownHosts.settlesIn(now),
        share.waitFor(cost),
      ),
      requestsPerSecond: share.part.requestsPerSecond,
      level: share.level,
    };
  }

  /**
   * Whether this host is among the senders. If it knows fewer hosts than there
   * are, it expects an equal part of the senders among the others.
   */
  private isColdSender(upstream: string, {part}: ColdShare): boolean {
    const {all, assumedCount} = this.knownHosts;
    if (part.senders >= assumedCount) return true;
    const senders = Math.floor((part.senders * all.length) / assumedCount);
    return this.coldSenders.isSender(upstream, all, senders);
  }

  private reportCold(
    upstream: string,
    cold: ColdUpstream,
    source: ColdSource | undefined,
  ): void {
    if (source === undefined) return;
    const milliseconds = cold.coldLeft(this.parts.clock.now());
    this.parts.onCold?.({upstream, source, milliseconds});
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
}
