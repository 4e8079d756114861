/**
 * Enforces the rate and burst of client accounts across all hosts, within a
 * configured slack in each time window. Hosts report to each other the totals
 * that they admitted, and each host subtracts the reported tokens from its own
 * token bucket. Admission needs no message and therefore adds no latency. Part
 * of the slack covers usage that has not been reported yet. A silent host
 * counts as using an equal share of the rate, because a host behind a network
 * partition continues to admit calls.
 */

import type {Clock} from '../clock.js';
import type {AccountUsage} from '../generated/messages/persimmonwick/beat.js';
import type {AccountId, HostId} from '../ids.js';
import {accountId} from '../ids.js';

/** Rate and burst of an account, in tokens. */
export interface AccountRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** Amount by which admissions may exceed rate and burst in any window. */
export interface LimitSlack {
  readonly windowMilliseconds: number;
  /** Fraction of the rate and burst, such as 0.25. */
  readonly excess: number;
  readonly tokens: number;
}

/** Why a call was not admitted. */
export interface RateExceeded {
  /**
   * Tokens left in the bucket of this host, after the usage reported by other
   * hosts.
   */
  readonly level: number;
  /** Fraction of the rate that this host may use. */
  readonly share: number;
  readonly retryAfterMilliseconds: number;
}

export interface UsageLimiterParts {
  readonly clock: Clock;
  readonly slack: LimitSlack;
  /** Rate configured for an account; undefined if the account has no limit. */
  readonly rateOf: (account: AccountId) => AccountRate | undefined;
  /** Number of known hosts that are silent and may still admit calls. */
  readonly silentHostCount: () => number;
  /** Number of known hosts, including this one. */
  readonly hostCount: () => number;
}

/** Fraction of the slack that is added to the refill of a window. */
const refillSlackFraction = 0.3;

/**
 * Fraction of the slack that is added to the burst. What remains of the slack
 * covers usage that is not yet reported.
 */
const burstSlackFraction = 0.15;

/**
 * Minimum number of hosts that a new process assumes to start at the same time.
 */
const assumedStartingHosts = 8;

const millisecondsPerSecond = 1000;

interface ReportedProcess {
  readonly incarnation: bigint;
  readonly totalsByAccount: Map<string, number>;
}

interface AccountBucket {
  levelTokens: number;
  updatedAt: number;
  /** Total tokens that this host admitted. */
  admittedTokens: number;
}

export class UsageLimiter {
  private readonly accounts = new Map<AccountId, AccountBucket>();
  /** Latest totals of the current process of each other host. */
  private readonly reportedProcesses = new Map<HostId, ReportedProcess>();
  private readonly startedAt: number;

  constructor(private readonly parts: UsageLimiterParts) {
    this.startedAt = parts.clock.now();
  }

  /** Admits a call that costs `tokens`, or returns why not. */
  admit(account: AccountId, tokens: number): 'admitted' | RateExceeded {
    const rate = this.parts.rateOf(account);
    if (rate === undefined) return 'admitted';
    const bucket = this.refillBucket(account, rate);
    if (bucket.levelTokens < tokens) {
      const share = this.localShare();
      const missingTokens = tokens - bucket.levelTokens;
      const refillRate = Math.max(1, this.refillTokensPerSecond(rate) * share);
      return {
        level: bucket.levelTokens,
        share,
        retryAfterMilliseconds:
          (missingTokens / refillRate) * millisecondsPerSecond,
      };
    }
    bucket.levelTokens -= tokens;
    bucket.admittedTokens += tokens;
    return 'admitted';
  }

  /** Refunds the tokens of a call that did not run. */
  refund(account: AccountId, tokens: number): void {
    const bucket = this.accounts.get(account);
    if (bucket === undefined) return;
    bucket.levelTokens += tokens;
    bucket.admittedTokens -= tokens;
  }

  /** Totals admitted by this host, for its heartbeats. */
  admittedTotals(): AccountUsage[] {
    return [...this.accounts].map(([account, {admittedTokens}]) => ({
      account,
      admittedTokens,
    }));
  }

  /**
   * Records the totals reported by another host. `ageMilliseconds` is the
   * uptime of its process.
   */
  recordUsage(
    host: HostId,
    incarnation: bigint,
    ageMilliseconds: number,
    usage: readonly AccountUsage[],
  ): void {
    const previousReport = this.reportedProcesses.get(host);
    const isSameProcess = previousReport?.incarnation === incarnation;
    const totalsByAccount = isSameProcess
      ? previousReport.totalsByAccount
      : new Map<string, number>();
    this.reportedProcesses.set(host, {
      incarnation,
      totalsByAccount,
    });
    const localAgeMilliseconds = this.parts.clock.now() - this.startedAt;
    // Tokens that an older process admitted before its first report are not
    // subtracted, because the low initial level of this host's buckets already
    // covers them.
    const predatesThisProcess =
      previousReport === undefined && ageMilliseconds > localAgeMilliseconds;
    for (const {account, admittedTokens} of usage) {
      const previousTokens =
        totalsByAccount.get(account) ??
        (predatesThisProcess ? admittedTokens : 0);
      totalsByAccount.set(account, admittedTokens);
      const rate = this.parts.rateOf(accountId(account));
      if (rate === undefined) continue;
      const bucket = this.refillBucket(accountId(account), rate);
      bucket.levelTokens -= admittedTokens - previousTokens;
    }
  }

  private refillBucket(account: AccountId, rate: AccountRate): AccountBucket {
    const now = this.parts.clock.now();
    const share = this.localShare();
    const bucket =
      this.accounts.get(account) ?? this.createBucket(account, rate);
    const seconds = (now - bucket.updatedAt) / millisecondsPerSecond;
    const refillTokens = seconds * this.refillTokensPerSecond(rate) * share;
    bucket.levelTokens = Math.min(
      this.capacityOf(rate) * share,
      bucket.levelTokens + refillTokens,
    );
    bucket.updatedAt = now;
    return bucket;
  }

  /**
   * Creates the bucket of an account that was not used before. The bucket
   * starts nearly empty at the start of the process, because an earlier process
   * may just have used the burst and other hosts may have started at the same
   * time.
   */
  private createBucket(
    account: AccountId,
    {burstTokens}: AccountRate,
  ): AccountBucket {
    const hosts = Math.max(assumedStartingHosts, this.parts.hostCount());
    const levelTokens = burstTokens / hosts;
    const bucket = {
      levelTokens,
      updatedAt: this.startedAt,
      admittedTokens: 0,
    };
    this.accounts.set(account, bucket);
    return bucket;
  }

  private capacityOf({burstTokens}: AccountRate): number {
    const {excess, tokens} = this.parts.slack;
    return (
      burstTokens * (1 + excess * burstSlackFraction) +
      tokens * burstSlackFraction
    );
  }

  /** Tokens per second. */
  private refillTokensPerSecond({tokensPerSecond}: AccountRate): number {
    const {excess, tokens, windowMilliseconds} = this.parts.slack;
    const windowSeconds = windowMilliseconds / millisecondsPerSecond;
    return (
      tokensPerSecond * (1 + excess * refillSlackFraction) +
      (tokens * refillSlackFraction) / windowSeconds
    );
  }

  /**
   * Fraction of the tokens that remains after an equal share for each silent
   * host.
   */
  private localShare(): number {
    const {silentHostCount, hostCount} = this.parts;
    return 1 - silentHostCount() / Math.max(1, hostCount());
  }
}
