/**
 * Work that arrives at the hosts of each failure domain, as the hosts report it.
 * Load pattern: the work of each domain swings by half within 17 s. Arrivals show
 * this at once, and unlike loads they don't depend on where hosts send their
 * calls, so that decisions based on them can't make each other oscillate.
 */

import {hashText} from './hash-text.js';
import type {WorkKind} from './upstream-speeds.js';

/** Columns of equal length, as heartbeats carry them. */
export interface DemandReport {
  /** Hashes of pool and kind of work; always with `demandMarkerKey`. */
  readonly demandKeys: number[];
  /** Units of work since the start of the process, modulo 2^32. */
  readonly demandWork: number[];
}

/** Row of each host that reports its demand, which may be none. */
export const demandMarkerKey = 0;

/** Rows in one heartbeat, with the marker. */
export const maximumReportedDemands = 9;

/**
 * Age up to which a report is used: three heartbeats of a fleet of 87 hosts, so
 * that one may be missing.
 */
const reportLifetimeMilliseconds = 4000;

/**
 * Time constant of the moving average. Longer ones lag behind the swing, and
 * shorter ones follow the chance of single calls.
 */
const smoothingMilliseconds = 1500;

/**
 * Time for which a host must have reported until the demand of its domain counts
 * as known. Before, the moving average is too low, and speeds rest on few calls.
 */
const learningMilliseconds = 6000;

/** Two reports closer than this give no useful rate. */
const minimumSpanMilliseconds = 200;

/** Hosts beyond this number are not tracked. */
const maximumHosts = 1024;

const uint32Range = 2 ** 32;

interface HostDemand {
  readonly domain: string;
  readonly incarnation: bigint;
  readonly firstReportedAt: number;
  reportedAt: number;
  readonly rows: Map<number, {work: number; at: number; rate?: number}>;
}

export class DomainDemand {
  private readonly totals = new Map<number, number>();
  private readonly hosts = new Map<string, HostDemand>();

  constructor(
    private readonly self: string,
    private readonly ownDomain: string,
  ) {}

  /** Records work that arrived at this host. */
  record(pool: string, kind: WorkKind, work: number): void {
    const key = keyOf(pool, kind);
    const total = this.totals.get(key);
    if (total === undefined && this.totals.size + 1 >= maximumReportedDemands)
      return;
    this.totals.set(key, (total ?? 0) + work);
  }

  report(now: number): DemandReport {
    const rows = [[demandMarkerKey, 0] as const, ...this.totals];
    const report = {
      demandKeys: rows.map(([key]) => key),
      demandWork: rows.map(([, work]) => Math.round(work) % uint32Range),
    };
    this.recordHost(this.self, this.ownDomain, 0n, report, now);
    return report;
  }

  /** Records the totals of a host. Lost and repeated reports do no harm. */
  recordHost(
    host: string,
    domain: string,
    incarnation: bigint,
    {demandKeys, demandWork}: DemandReport,
    now: number,
  ): void {
    if (!demandKeys.includes(demandMarkerKey)) return;
    let demand = this.hosts.get(host);
    if (demand?.incarnation !== incarnation || demand.domain !== domain) {
      if (demand === undefined && this.hosts.size >= maximumHosts) return;
      const rows: HostDemand['rows'] = new Map();
      const firstReportedAt = now;
      demand = {domain, incarnation, firstReportedAt, reportedAt: now, rows};
      this.hosts.set(host, demand);
    }
    demand.reportedAt = now;
    const {rows} = demand;
    if (rows.size > maximumReportedDemands) rows.clear();
    demandKeys.forEach((key, index) => {
      const work = demandWork[index]!;
      const before = rows.get(key);
      if (before === undefined) {
        rows.set(key, {work, at: now});
        return;
      }
      const span = now - before.at;
      if (span < minimumSpanMilliseconds) return;
      const added = (work - before.work) >>> 0;
      const observed =
        added < uint32Range / 2 ? (added * 1000) / span : (before.rate ?? 0);
      const old = before.rate ?? observed;
      const weight = 1 - Math.exp(-span / smoothingMilliseconds);
      rows.set(key, {work, at: now, rate: old + (observed - old) * weight});
    });
  }

  forgetHost(host: string): void {
    this.hosts.delete(host);
  }

  /**
   * Units of work a second that arrive at each domain. A domain of which no host
   * has reported lately and for some time is absent, because its demand is not known.
   */
  rates(pool: string, kind: WorkKind, now: number): Map<string, number> {
    const key = keyOf(pool, kind);
    const rates = new Map<string, number>();
    const known = new Set<string>();
    for (const host of this.hosts.values()) {
      const {domain, firstReportedAt, reportedAt, rows} = host;
      if (now - reportedAt > reportLifetimeMilliseconds) continue;
      if (now - firstReportedAt >= learningMilliseconds) known.add(domain);
      const rate = rows.get(key)?.rate ?? 0;
      rates.set(domain, (rates.get(domain) ?? 0) + rate);
    }
    for (const domain of [...rates.keys()])
      if (!known.has(domain)) rates.delete(domain);
    return rates;
  }
}

function keyOf(pool: string, kind: WorkKind): number {
  return hashText(`${kind} ${pool}`);
}
