/**
 * Keeps client accounts to their rate and burst over all hosts, within a stated
 * slack. Hosts tell each other what they admitted; each takes what it has heard
 * off one bucket of its own. Admission needs no message, so it costs no time;
 * the slack covers what has not been heard of yet. Hosts that are silent count
 * as using an equal share, since a host that is cut off goes on admitting.
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

/** How far admissions may exceed rate and burst in a window. */
export interface LimitSlack {
  /** Part of the rate and burst, as 0.25. */
  readonly excess: number;
  readonly tokens: number;
}

export interface UsageLimiterParts {
  readonly clock: Clock;
  readonly slack: LimitSlack;
  /** Known hosts that have been silent, which may still admit calls. */
  readonly silentHosts: () => number;
  /** All known hosts, this one included. */
  readonly hostCount: () => number;
}

/** Part of the slack that admissions use; the rest covers what is unheard. */
const usedSlackPart = 0.6;

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
  /** Newest levels of accounts that this host has not used yet. */
  private readonly levelsTold = new Map<AccountId, number>();

  constructor(private readonly parts: UsageLimiterParts) {}

  /**
   * Admits a call of `tokens`; otherwise tells after how many milliseconds it
   * might be admitted.
   */
  admit(
    account: AccountId,
    rate: AccountRate,
    tokens: number,
  ): 'admitted' | {readonly retryAfterMilliseconds: number} {
    const use = this.useOf(account, rate);
    if (use.level < tokens)
      return {
        retryAfterMilliseconds:
          ((tokens - use.level) / Math.max(1, rate.tokensPerSecond)) *
          millisecondsPerSecond,
      };
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

  /** Totals that this host admitted, to be told to the others. */
  totals(): AccountUsage[] {
    return [...this.accounts].map(([account, {admitted, level}]) => ({
      account,
      admittedTokens: admitted,
      levelTokens: level,
    }));
  }

  /** Takes what a process of another host told of an account. */
  noteUsage(host: HostId, incarnation: bigint, usage: AccountUsage): void {
    const account = accountId(usage.account);
    const {admittedTokens, levelTokens} = usage;
    const known = this.heard.get(host);
    const isNewHost = known === undefined;
    const heard =
      known?.incarnation === incarnation
        ? known
        : {incarnation, totals: new Map<string, number>()};
    this.heard.set(host, heard);
    const before = heard.totals.get(account) ?? (isNewHost ? undefined : 0);
    heard.totals.set(account, admittedTokens);
    const use = this.accounts.get(account);
    if (use === undefined) this.levelsTold.set(account, levelTokens);
    // What was admitted before this host first heard of the process is part
    // of the level that others told.
    else if (before !== undefined) use.level -= admittedTokens - before;
    else if (admittedTokens > 0) use.level = Math.min(use.level, levelTokens);
  }

  /** Forgets what `host` told. */
  forget(host: HostId): void {
    this.heard.delete(host);
  }

  private useOf(account: AccountId, rate: AccountRate): AccountUse {
    const now = this.parts.clock.now();
    const capacity = this.capacityOf(rate) * this.ownPart();
    const known = this.accounts.get(account);
    if (known === undefined) {
      const level = Math.min(
        this.levelsTold.get(account) ?? Infinity,
        rate.burstTokens / Math.max(startingHosts, this.parts.hostCount()),
      );
      // Processes before this one may have used the burst just now, and others
      // may start at the same moment.
      const made = {level, updatedAt: now, admitted: 0};
      this.accounts.set(account, made);
      return made;
    }
    const seconds = (now - known.updatedAt) / millisecondsPerSecond;
    const refill = seconds * this.refillOf(rate) * this.ownPart();
    known.level = Math.min(capacity, known.level + refill);
    known.updatedAt = now;
    return known;
  }

  private capacityOf({burstTokens}: AccountRate): number {
    const {excess, tokens} = this.parts.slack;
    return burstTokens * (1 + excess * usedSlackPart) + tokens * usedSlackPart;
  }

  private refillOf({tokensPerSecond}: AccountRate): number {
    return tokensPerSecond * (1 + this.parts.slack.excess * usedSlackPart);
  }

  /** Part of the rate that is left beside hosts that can't be heard. */
  private ownPart(): number {
    const {silentHosts, hostCount} = this.parts;
    return 1 - silentHosts() / Math.max(1, hostCount());
  }
}
