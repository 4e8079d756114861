/**
 * Keeps client accounts to their rate and burst over all hosts, within a stated
 * slack in each window of time. Hosts tell each other what they admitted; each
 * takes what it has heard off one bucket of its own. Admission needs no message,
 * so it costs no time; a part of the slack is left for what has not been heard
 * of yet. Hosts that are silent count as using an equal share, since a host that
 * is cut off goes on admitting.
 */

import type {Clock} from '../clock.js';
import type {AccountUsage} from '../generated/messages/persimmonwick/beat.js';
import type {AccountId, HostId} from '../ids.js';
import {accountId} from '../ids.js';

/** Rate of an account, in tokens. */
export interface AccountRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** How far admissions may exceed rate and burst in any window. */
export interface LimitSlack {
  readonly windowMilliseconds: number;
  /** Part of the rate and burst, as 0.25. */
  readonly excess: number;
  readonly tokens: number;
}

/** Why a call is not admitted. */
export interface OverRate {
  /** Tokens that are left for all hosts, as this host believes. */
  readonly level: number;
  /** Part of the rate that this host may use. */
  readonly share: number;
  readonly retryAfterMilliseconds: number;
}

export interface UsageLimiterParts {
  readonly clock: Clock;
  readonly slack: LimitSlack;
  /** Rate of an account in force; undefined for one without a limit. */
  readonly rateOf: (account: AccountId) => AccountRate | undefined;
  /** Known hosts that have been silent, which may still admit calls. */
  readonly silentHostCount: () => number;
  /** All known hosts, this one included. */
  readonly hostCount: () => number;
}

/** Part of the excess and of the slack that the refill of a window uses. */
const refillSlackPart = 0.3;

/** Part of them that is added to the burst; the rest covers what is unheard. */
const burstSlackPart = 0.15;

/** Hosts that a new process assumes to start with it, at least. */
const startingHosts = 8;

const millisecondsPerSecond = 1000;

interface HeardProcess {
  readonly incarnation: bigint;
  readonly totals: Map<string, number>;
}

interface AccountUse {
  level: number;
  updatedAt: number;
  /** Total that this host admitted. */
  admitted: number;
}

export class UsageLimiter {
  private readonly accounts = new Map<AccountId, AccountUse>();
  /** Newest totals of the process of each other host. */
  private readonly heard = new Map<HostId, HeardProcess>();
  private readonly startedAt: number;

  constructor(private readonly parts: UsageLimiterParts) {
    this.startedAt = parts.clock.now();
  }

  /** Admits a call of `tokens`, or tells why not. */
  admit(account: AccountId, tokens: number): 'admitted' | OverRate {
    const rate = this.parts.rateOf(account);
    if (rate === undefined) return 'admitted';
    const use = this.refilled(account, rate);
    if (use.level < tokens) {
      const share = this.ownPart();
      const missing = tokens - use.level;
      const refill = Math.max(1, this.refillOf(rate) * share);
      return {
        level: use.level,
        share,
        retryAfterMilliseconds: (missing / refill) * millisecondsPerSecond,
      };
    }
    use.level -= tokens;
    use.admitted += tokens;
    return 'admitted';
  }

  /** Gives back the tokens of a call that did not run. */
  giveBack(account: AccountId, tokens: number): void {
    const use = this.accounts.get(account);
    if (use === undefined) return;
    use.level += tokens;
    use.admitted -= tokens;
  }

  /** What this host admitted, to be told to the others. */
  admittedTotals(): AccountUsage[] {
    return [...this.accounts].map(([account, {admitted}]) => ({
      account,
      admittedTokens: admitted,
    }));
  }

  /**
   * Takes what another host told of accounts; `ageMilliseconds` is how long its
   * process runs.
   */
  recordUsage(
    host: HostId,
    incarnation: bigint,
    ageMilliseconds: number,
    usage: readonly AccountUsage[],
  ): void {
    const known = this.heard.get(host);
    const isSame = known?.incarnation === incarnation;
    const totalsByAccount = isSame ? known.totals : new Map<string, number>();
    this.heard.set(host, {incarnation, totals: totalsByAccount});
    const ownAge = this.parts.clock.now() - this.startedAt;
    // What an older process admitted before this host first heard of it is not
    // in the low level with which this host began.
    const isPast = known === undefined && ageMilliseconds > ownAge;
    for (const {account, admittedTokens} of usage) {
      const before =
        totalsByAccount.get(account) ?? (isPast ? admittedTokens : 0);
      totalsByAccount.set(account, admittedTokens);
      const rate = this.parts.rateOf(accountId(account));
      if (rate === undefined) continue;
      const use = this.refilled(accountId(account), rate);
      use.level -= admittedTokens - before;
    }
  }

  private refilled(account: AccountId, rate: AccountRate): AccountUse {
    const now = this.parts.clock.now();
    const share = this.ownPart();
    const use = this.accounts.get(account) ?? this.open(account, rate);
    const seconds = (now - use.updatedAt) / millisecondsPerSecond;
    const refill = seconds * this.refillOf(rate) * share;
    use.level = Math.min(this.capacityOf(rate) * share, use.level + refill);
    use.updatedAt = now;
    return use;
  }

  /**
   * An account that was not used before. It has filled since the process began,
   * from little: processes before this one may have used the burst just before,
   * and other hosts may have started at the same moment.
   */
  private open(account: AccountId, {burstTokens}: AccountRate): AccountUse {
    const hosts = Math.max(startingHosts, this.parts.hostCount());
    const level = burstTokens / hosts;
    const made = {level, updatedAt: this.startedAt, admitted: 0};
    this.accounts.set(account, made);
    return made;
  }

  private capacityOf({burstTokens}: AccountRate): number {
    const {excess, tokens} = this.parts.slack;
    return (
      burstTokens * (1 + excess * burstSlackPart) + tokens * burstSlackPart
    );
  }

  /** Tokens for each second. */
  private refillOf({tokensPerSecond}: AccountRate): number {
    const {excess, tokens, windowMilliseconds} = this.parts.slack;
    const windowSeconds = windowMilliseconds / millisecondsPerSecond;
    return (
      tokensPerSecond * (1 + excess * refillSlackPart) +
      (tokens * refillSlackPart) / windowSeconds
    );
  }

  /** Part of the tokens that is left beside hosts that can't be heard. */
  private ownPart(): number {
    const {silentHostCount: silentHosts, hostCount} = this.parts;
    return 1 - silentHosts() / Math.max(1, hostCount());
  }
}
