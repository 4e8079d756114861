/**
 * Speeds of upstreams, learned by all hosts together. Load pattern: upstreams of
 * one failure domain take 0.7 or 1.7 times the time of others for the same work,
 * and each upstream is 2.5 times slower for spells of about 600 ms. Each of many
 * hosts sees a few calls a second, which is too few to learn the lasting
 * difference alone, and a spell is over before other hosts hear of it. Lasting
 * speeds are therefore computed from sums that hosts report to each other, and
 * spells from the calls of this host.
 */

import {hashText} from './hash-text.js';

/** Prefill is counted in tokens, decode in events, plain calls in calls. */
export type WorkKind = 'prefill' | 'decode' | 'plain';

/** Columns of equal length, as heartbeats carry them. */
export interface SpeedReport {
  /** Hashes of upstream and kind of work. */
  readonly speedKeys: number[];
  /** Units of work since the start of the process, modulo 2^32. */
  readonly speedWork: number[];
  /** Milliseconds spent on this work, modulo 2^32. */
  readonly speedMilliseconds: number[];
}

/** An upstream whose time is compared with that of the others. */
export type SpeedEstimate =
  | {readonly kind: 'unknown'}
  | {readonly kind: 'measured'; readonly millisecondsPerUnit: number};

/** Entries in one heartbeat, which keeps the columns below 160 bytes. */
export const maximumReportedSpeeds = 12;

/** Time after its last use for which an upstream is reported. */
const reportedUseMilliseconds = 10_000;

/**
 * Half-life of the sums. A spell of 600 ms is a small part of it, and a lasting
 * change of the speed is followed within about half a minute.
 */
const sumHalfLifeMilliseconds = 15_000;

/**
 * Half-life of an observed spell, about what is left of a spell of 600 ms when
 * the call that shows it has ended.
 */
const spellHalfLifeMilliseconds = 400;

/** Weight of one observed time in the moving average of a spell. */
const spellGain = 0.25;

/**
 * Longest time that is added to the sums during a spell, as a multiple of the
 * expected time. Spells would otherwise appear as a lasting difference.
 */
const maximumLastingRatio = 1.4;

/** A slowness that lasts longer than this is neither a spell nor its queue. */
const maximumSpellMilliseconds = 5000;

/**
 * Time below which, as a fraction of the expected time, the sums must contain
 * queues of the past, because no queue makes a call faster. They then lose some
 * of their weight.
 */
const inflatedRatio = 0.65;
const inflatedRetention = 0.85;

/** Age beyond which an earlier total of a host says nothing about the present. */
const maximumTotalAgeMilliseconds = 30_000;

/** Hosts beyond this number are not tracked. */
const maximumHosts = 1024;

/**
 * Upstreams and kinds of work that are tracked. Beyond it, a new one replaces the
 * one that has not been used longest.
 */
const maximumKeys = 1024;

/**
 * Calls that a plain service is assumed to handle at a time, because the platform
 * does not publish the number. Times of calls behind more than these are not
 * recorded: an upstream would appear slow because it is used much.
 */
export const plainSlots = 6;

const minimumFactor = 0.25;
const maximumFactor = 4;

/**
 * Work that must be measured until it outweighs the assumption that an upstream
 * is as fast as the others.
 */
const assumedWork: Readonly<Record<WorkKind, number>> = {
  prefill: 6000,
  decode: 100,
  plain: 2,
};

const uint32Range = 2 ** 32;

interface Sums {
  work: number;
  milliseconds: number;
  /** Clock time of the last change. */
  at: number;
}

interface OwnTotals extends Sums {
  reportedAt: number;
}

interface FirstTime {
  readonly perUnit: number;
  readonly at: number;
}

interface PeerTotals {
  readonly incarnation: bigint;
  readonly totals: Map<number, Sums>;
}

interface Spell {
  readonly factor: number;
  readonly at: number;
  /** Time since which all calls took long; undefined after one that did not. */
  readonly slowSince: number | undefined;
}

export class UpstreamSpeeds {
  private readonly keys = new Map<string, number>();
  /** Totals of this host since its start. */
  private readonly own = new Map<number, OwnTotals>();
  private readonly peers = new Map<string, PeerTotals>();
  /** Decaying sums of all hosts. */
  private readonly sums = new Map<number, Sums>();
  private readonly spells = new Map<number, Spell>();
  /**
   * First time of each upstream, for a unit of work. Nothing shows whether it was
   * in a spell, so the shorter one of the first two is used.
   */
  private readonly firstTimes = new Map<number, FirstTime>();

  /** Records work that an upstream completed for this host. */
  record(
    upstream: string,
    kind: WorkKind,
    work: number,
    milliseconds: number,
    now: number,
  ): void {
    if (!(work > 0 && milliseconds > 0)) return;
    const key = this.keyOf(upstream, kind);
    const estimate = this.estimate(upstream, kind);
    let lasting = milliseconds;
    if (estimate.kind === 'unknown') {
      const perUnit = milliseconds / work;
      const first = this.firstTimes.get(key);
      if (first === undefined) {
        setBounded(this.firstTimes, key, {perUnit, at: now});
        return;
      }
      lasting = Math.min(first.perUnit, perUnit) * work;
    }
    if (estimate.kind === 'measured') {
      const expected = estimate.millisecondsPerUnit * work;
      const slowSince = this.recordSpell(key, milliseconds / expected, now);
      if (now - slowSince <= maximumSpellMilliseconds)
        lasting = Math.min(milliseconds, maximumLastingRatio * expected);
    }
    const totals = this.own.get(key);
    if (totals !== undefined) {
      totals.work += work;
      totals.milliseconds += lasting;
      totals.at = now;
    } else {
      const reportedAt = -Infinity;
      const created = {work, milliseconds: lasting, at: now, reportedAt};
      setBounded(this.own, key, created);
    }
    this.add(key, work, lasting, now);
  }

  /**
   * Records the totals of another host. Lost reports are made up for by the next
   * one, and a repeated report changes nothing.
   */
  recordPeer(
    host: string,
    incarnation: bigint,
    ageMilliseconds: number,
    {speedKeys, speedWork, speedMilliseconds}: SpeedReport,
    now: number,
  ): void {
    const peer = this.peerOf(host, incarnation);
    if (peer === undefined) return;
    speedKeys.forEach((key, index) => {
      const work = speedWork[index]!;
      const milliseconds = speedMilliseconds[index]!;
      const before = peer.totals.get(key);
      setBounded(peer.totals, key, {work, milliseconds, at: now});
      const isRecent =
        before === undefined
          ? ageMilliseconds <= sumHalfLifeMilliseconds
          : now - before.at <= maximumTotalAgeMilliseconds;
      if (!isRecent) return;
      const addedWork = differenceOf(work, before?.work ?? 0);
      const added = differenceOf(milliseconds, before?.milliseconds ?? 0);
      if (addedWork > 0 && added > 0) this.add(key, addedWork, added, now);
    });
  }

  /** Forgets a host that is no longer known. */
  forgetPeer(host: string): void {
    this.peers.delete(host);
  }

  /** Totals of the upstreams in use, those first that were not reported longest. */
  report(now: number): SpeedReport {
    const entries = [...this.own]
      .filter(([, {at}]) => now - at <= reportedUseMilliseconds)
      .sort(([, left], [, right]) => left.reportedAt - right.reportedAt)
      .slice(0, maximumReportedSpeeds);
    for (const [, totals] of entries) totals.reportedAt = now;
    return {
      speedKeys: entries.map(([key]) => key),
      speedWork: entries.map(([, {work}]) => Math.round(work) % uint32Range),
      speedMilliseconds: entries.map(
        ([, {milliseconds}]) => Math.round(milliseconds) % uint32Range,
      ),
    };
  }

  /** Lasting time of an upstream for one unit of work. */
  estimate(upstream: string, kind: WorkKind): SpeedEstimate {
    const sums = this.sums.get(this.keyOf(upstream, kind));
    return sums === undefined || sums.work <= 0
      ? {kind: 'unknown'}
      : {
          kind: 'measured',
          millisecondsPerUnit: sums.milliseconds / sums.work,
        };
  }

  /** Mean time of several upstreams for one unit of work, if any is measured. */
  meanOf(upstreams: readonly string[], kind: WorkKind): SpeedEstimate {
    let sum = 0;
    let count = 0;
    for (const upstream of upstreams) {
      const estimate = this.estimate(upstream, kind);
      if (estimate.kind === 'unknown') continue;
      sum += estimate.millisecondsPerUnit;
      count += 1;
    }
    return count === 0
      ? {kind: 'unknown'}
      : {kind: 'measured', millisecondsPerUnit: sum / count};
  }

  /**
   * Lasting time of each upstream for the same work, as a multiple of their mean;
   * 1 without data.
   */
  lastingFactors(
    upstreams: readonly string[],
    kind: WorkKind,
  ): ReadonlyMap<string, number> {
    const mean = this.meanOf(upstreams, kind);
    return new Map(
      upstreams.map(upstream => {
        const key = this.keyOf(upstream, kind);
        const sums = this.sums.get(key);
        if (mean.kind === 'unknown' || sums === undefined) return [upstream, 1];
        const assumed = assumedWork[kind];
        const expected = mean.millisecondsPerUnit;
        const factor =
          (sums.milliseconds + assumed * expected) /
          ((sums.work + assumed) * expected);
        return [
          upstream,
          Math.min(maximumFactor, Math.max(minimumFactor, factor)),
        ];
      }),
    );
  }

  /**
   * Time of an upstream in its present spell, as a multiple of its own lasting
   * time; at least 1. Decays towards 1.
   */
  spellFactor(upstream: string, kind: WorkKind, now: number): number {
    return this.spellOf(this.keyOf(upstream, kind), now);
  }

  /**
   * Records a time as a multiple of the expected one. Returns the time since
   * which all calls took long, or the present.
   */
  private recordSpell(key: number, ratio: number, now: number): number {
    const before = this.spellOf(key, now);
    const factor = Math.max(1, before + (ratio - before) * spellGain);
    const slowSince =
      ratio > maximumLastingRatio
        ? (this.spells.get(key)?.slowSince ?? now)
        : undefined;
    setBounded(this.spells, key, {factor, at: now, slowSince});
    return slowSince ?? now;
  }

  private spellOf(key: number, now: number): number {
    const spell = this.spells.get(key);
    if (spell === undefined) return 1;
    const decay = decayAfter(now - spell.at, spellHalfLifeMilliseconds);
    return 1 + (spell.factor - 1) * decay;
  }

  private peerOf(host: string, incarnation: bigint): PeerTotals | undefined {
    const known = this.peers.get(host);
    if (known?.incarnation === incarnation) return known;
    if (known === undefined && this.peers.size >= maximumHosts)
      return undefined;
    const created = {incarnation, totals: new Map<number, Sums>()};
    this.peers.set(host, created);
    return created;
  }

  private add(
    key: number,
    work: number,
    milliseconds: number,
    now: number,
  ): void {
    const sums = this.sums.get(key);
    if (sums === undefined) {
      setBounded(this.sums, key, {work, milliseconds, at: now});
      return;
    }
    const ratio = milliseconds / work / (sums.milliseconds / sums.work);
    const decay =
      decayAfter(now - sums.at, sumHalfLifeMilliseconds) *
      (ratio < inflatedRatio ? inflatedRetention : 1);
    sums.work = sums.work * decay + work;
    sums.milliseconds = sums.milliseconds * decay + milliseconds;
    sums.at = now;
  }

  private keyOf(upstream: string, kind: WorkKind): number {
    const text = `${kind} ${upstream}`;
    const known = this.keys.get(text);
    if (known !== undefined) return known;
    const key = hashText(text);
    if (this.keys.size >= maximumKeys) this.keys.clear();
    this.keys.set(text, key);
    return key;
  }
}

function setBounded<Entry extends {readonly at: number}>(
  entries: Map<number, Entry>,
  key: number,
  entry: Entry,
): void {
  if (!entries.has(key) && entries.size >= maximumKeys) {
    const [oldest] = [...entries].reduce((left, right) =>
      right[1].at < left[1].at ? right : left,
    );
    entries.delete(oldest);
  }
  entries.set(key, entry);
}

/** Difference of two totals modulo 2^32; 0 for one that is no increase. */
function differenceOf(after: number, before: number): number {
  const difference = (after - before) >>> 0;
  return difference < uint32Range / 2 ? difference : 0;
}

function decayAfter(age: number, halfLifeMilliseconds: number): number {
  return 0.5 ** (Math.max(0, age) / halfLifeMilliseconds);
}
