/**
 * Decides when a host may send a request to a cold upstream. Load pattern: an
 * upstream that has just started, or has become cold again, crashes well above a
 * small rate, while all hosts send to it because it is idle, also hosts that are
 * cut off from each other. Each host uses an equal part of what all hosts
 * together may send, without reports of the others.
 */

import type {UpstreamDocument} from '../generated/documents.js';

/** How far requests may exceed the rate of a cold upstream in any second. */
export interface ColdTolerance {
  /** Multiple of the rate. */
  readonly factor: number;
  /** Requests in addition. */
  readonly requests: number;
}

/** What the pool of an upstream says about cold upstreams. */
export interface ColdRule {
  /** Requests of all hosts together. */
  readonly requestsPerSecond: number;
  /** Time for which an upstream is cold after its start. */
  readonly coldMilliseconds: number;
  /** Requests that one call sends to the upstream. */
  readonly requestsPerCall: number;
}

/** Part of a cold upstream's rate that each sender may use. */
export interface ColdPart {
  /** Hosts that send; 0 if the bound has no room for a call. */
  readonly senders: number;
  /** Requests of one sender in any second, and on average. */
  readonly requestsInSecond: number;
  readonly requestsPerSecond: number;
}

/** Why an upstream counts as cold. */
export type ColdSource = 'entry' | 'response' | 'start' | 'unknown';

/** An upstream became cold. */
export interface ColdChange {
  readonly upstream: string;
  readonly source: ColdSource;
  /** Time for which it is expected to be cold. */
  readonly milliseconds: number;
}

/** What limits one host at one upstream at one time. */
export interface ColdShare {
  readonly part: ColdPart;
  /** Time until `requests` may be sent, in milliseconds. */
  waitFor(requests: number): number;
  /** Requests that may be sent now without regard to the last second. */
  readonly level: number;
}

/** Part of the bound that hosts plan to use; the rest covers jitter. */
const usedFraction = 0.9;

/** The second in which requests are counted, and some jitter of their transit. */
const windowMilliseconds = 1250;

/** Covers differences between the clocks of hosts and upstreams. */
const endMarginMilliseconds = 250;

/** Time for which the limit rises after an upstream has become warm. */
const warmingMilliseconds = 2000;

/** Time in which the rising limit doubles. */
const doublingMilliseconds = 500;

/** A cold upstream is chosen as if it had this many times its load. */
const coldPenalty = 4;

/** Calls whose run is not sent by then no longer hold their request. */
const pendingLifetimeMilliseconds = 30_000;

/** Time after which a call asks again that waits for the run of another one. */
const pendingRetryMilliseconds = 100;

/** Requests whose times are kept; more than any part allows in a second. */
const maximumSentTimes = 1024;

const millisecondsPerSecond = 1000;

/** Divides the requests that a cold upstream bears among `hostCount` hosts. */
export function coldPartOf(
  {requestsPerSecond, requestsPerCall}: ColdRule,
  {factor, requests}: ColdTolerance,
  hostCount: number,
  growth = 1,
): ColdPart {
  const bound = (requestsPerSecond * factor + requests) * growth;
  const usable = Math.max(
    bound * usedFraction,
    Math.min(bound, requestsPerCall),
  );
  const senders = Math.min(hostCount, Math.floor(usable / requestsPerCall));
  if (senders === 0)
    return {senders, requestsInSecond: 0, requestsPerSecond: 0};
  const rate = Math.min(requestsPerSecond * growth, usable);
  return {
    senders,
    requestsInSecond: Math.floor(usable / senders),
    requestsPerSecond: rate / senders,
  };
}

/** One process of an upstream that may be cold. */
export class ColdUpstream {
  /** Clock times until which the process is cold, by what says so. */
  private readonly coldUntil = new Map<ColdSource, number>();
  /** The newest entry. */
  private entry: {readonly key: string; readonly reports: number} | undefined;
  /** Times of the newest requests. */
  private sentTimes: number[] = [];
  /** Times at which requests were acquired that are still to be sent. */
  private pendingTimes: number[] = [];
  private level = 0;
  private updatedAt = -Infinity;

  constructor(
    readonly startedAt: number | undefined,
    private rule: ColdRule,
  ) {}

  /**
   * Records the entry of the upstream in the list. An entry that is read again
   * says nothing new. `wallNow` is the Unix time in milliseconds.
   */
  recordEntry(
    {spec}: UpstreamDocument,
    rule: ColdRule,
    now: number,
    wallNow: number,
  ): ColdSource | undefined {
    const {startedAt, reports = 0, coldLeftMilliseconds} = spec;
    this.rule = rule;
    const key = `${reports} ${coldLeftMilliseconds}`;
    const previous = this.entry;
    if (key === previous?.key) return undefined;
    // An entry with an older number of reports is a copy.
    if (reports < (previous?.reports ?? 0)) return undefined;
    this.entry = {key, reports};
    const {coldMilliseconds} = rule;
    return this.updateUntil(now, () => {
      if (coldLeftMilliseconds !== undefined) {
        this.coldUntil.delete('unknown');
        this.setLeft('entry', coldLeftMilliseconds, now);
      }
      if (previous !== undefined) return;
      if (startedAt !== undefined) {
        const left = startedAt + coldMilliseconds - wallNow;
        this.setLeft('start', Math.min(left, coldMilliseconds), now);
      } else if (coldLeftMilliseconds === undefined)
        this.setLeft('unknown', coldMilliseconds, now);
    });
  }

  /** Records what a response of this process says. */
  recordResponse(
    coldLeftMilliseconds: number,
    now: number,
  ): ColdSource | undefined {
    return this.updateUntil(now, () => {
      this.coldUntil.delete('unknown');
      this.setLeft('response', coldLeftMilliseconds, now);
    });
  }

  /** Whether the limit applies; it still rises for some time when it is warm. */
  isLimited(now: number): boolean {
    return now < this.endsAt + warmingMilliseconds;
  }

  /** Time for which the upstream is expected to be cold. */
  coldLeft(now: number): number {
    return Math.max(0, this.endsAt - now);
  }

  /** Factor of the cost of choosing the upstream; falls to 1 as it warms up. */
  penalty(now: number): number {
    const warmFor = now - this.endsAt;
    if (warmFor >= warmingMilliseconds) return 1;
    const progress = Math.max(0, warmFor) / warmingMilliseconds;
    return coldPenalty + (1 - coldPenalty) * progress;
  }

  /** What this host may send, if it is one of the senders. */
  shareOf(tolerance: ColdTolerance, hostCount: number, now: number): ColdShare {
    const warmFor = Math.max(0, now - this.endsAt);
    const growth = 2 ** (warmFor / doublingMilliseconds);
    const part = coldPartOf(this.rule, tolerance, hostCount, growth);
    const seconds = Math.max(0, now - this.updatedAt) / millisecondsPerSecond;
    const {requestsInSecond, requestsPerSecond} = part;
    this.level = Math.min(
      requestsInSecond,
      this.level + seconds * requestsPerSecond,
    );
    this.updatedAt = now;
    const {level} = this;
    return {
      part,
      level,
      waitFor: requests => this.waitFor(part, requests, now),
    };
  }

  /** Counts requests, of which `later` are to be sent later. */
  acquire(requests: number, later: number, now: number): void {
    for (let sent = 0; sent < requests - later; sent += 1) this.recordSent(now);
    for (let each = 0; each < later; each += 1) this.pendingTimes.push(now);
    this.level -= requests;
  }

  /** Records that an acquired request is sent now. */
  sendAcquired(now: number): void {
    this.pendingTimes.shift();
    this.recordSent(now);
  }

  /** Returns an acquired request that is not sent. */
  refund(): void {
    if (this.pendingTimes.shift() !== undefined) this.level += 1;
  }

  private get endsAt(): number {
    return Math.max(-Infinity, ...this.coldUntil.values());
  }

  private setLeft(source: ColdSource, milliseconds: number, now: number): void {
    if (milliseconds <= 0) this.coldUntil.delete(source);
    else this.coldUntil.set(source, now + milliseconds + endMarginMilliseconds);
  }

  /** Returns the source that made the upstream cold, if it was warm before. */
  private updateUntil(now: number, update: () => void): ColdSource | undefined {
    const wasCold = now < this.endsAt;
    update();
    if (wasCold || now >= this.endsAt) return undefined;
    // The bucket of a new limit is empty.
    this.level = 0;
    this.updatedAt = now;
    const latest = this.endsAt;
    return [...this.coldUntil].find(([, until]) => until === latest)?.[0];
  }

  private recordSent(now: number): void {
    this.sentTimes.push(now);
    if (this.sentTimes.length > maximumSentTimes)
      this.sentTimes = this.sentTimes.slice(maximumSentTimes / 2);
  }

  private waitFor(
    {requestsInSecond, requestsPerSecond}: ColdPart,
    requests: number,
    now: number,
  ): number {
    if (requests > requestsInSecond) return Infinity;
    this.pendingTimes = this.pendingTimes.filter(
      time => time > now - pendingLifetimeMilliseconds,
    );
    this.sentTimes = this.sentTimes.filter(
      time => time > now - windowMilliseconds,
    );
    const free = requestsInSecond - this.pendingTimes.length - requests;
    const missing = Math.max(0, requests - this.level);
    const levelWait = (missing / requestsPerSecond) * millisecondsPerSecond;
    if (free < 0) return Math.max(levelWait, pendingRetryMilliseconds);
    // The request before which no more than `free` remain in the window.
    const blocking = this.sentTimes.at(-1 - free);
    const windowWait =
      blocking === undefined ? 0 : blocking + windowMilliseconds - now;
    return Math.max(levelWait, windowWait);
  }
}
