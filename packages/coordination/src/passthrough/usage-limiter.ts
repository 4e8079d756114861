/**
 * Keeps client accounts to their rate and burst over all hosts, within a stated
 * slack. Hosts tell each other what they admitted; each takes what it has heard
 * off one bucket of its own. Admission needs no message, so it costs no time;
 * the slack covers what has not been heard of yet. Hosts that are silent count
 * as using an equal share, since a host that is cut off goes on admitting.
 */

import type {Clock} from '../clock.js';
import type {AccountId, HostId} from '../ids.js';

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

/** Part of the slack that is added to the burst; the rest covers lag. */
const usedSlackPart = 0.3;

const millisecondsPerSecond = 1000;

interface AccountUse {
  level: number;
  updatedAt: number;
  /** Total that this host admitted. */
  admitted: number;
  rate: AccountRate;
}

export class UsageLimiter {
  private readonly accounts = new Map<AccountId, AccountUse>();
  /** Newest total of each process by account. */
  private readonly heard = new Map<string, Map<string, number>>();

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
  totals(): {readonly account: AccountId; readonly admittedTokens: number}[] {
    return [...this.accounts]
      .filter(([, use]) => use.admitted > 0)
      .map(([account, use]) => ({account, admittedTokens: use.admitted}));
  }

  /** Takes the total of a process of another host. */
  noteTotal(
    host: HostId,
    incarnation: bigint,
    account: AccountId,
    admittedTokens: number,
  ): void {
    const process = `${host} ${incarnation}`;
    const totals = this.heard.get(process) ?? new Map<string, number>();
    this.heard.set(process, totals);
    const before = totals.get(account);
    totals.set(account, admittedTokens);
    const use = this.accounts.get(account);
    if (use === undefined) return;
    // What was admitted before this host first heard of it is long past.
    if (before !== undefined) use.level -= admittedTokens - before;
  }

  /** Forgets the totals of all processes of `host`. */
  forget(host: HostId): void {
    for (const process of [...this.heard.keys()])
      if (process.startsWith(`${host} `)) this.heard.delete(process);
  }

  private useOf(account: AccountId, rate: AccountRate): AccountUse {
    const now = this.parts.clock.now();
    const capacity = this.capacityOf(rate) * this.ownPart();
    const known = this.accounts.get(account);
    if (known === undefined) {
      const made = {level: capacity, updatedAt: now, admitted: 0, rate};
      this.accounts.set(account, made);
      return made;
    }
    const seconds = (now - known.updatedAt) / millisecondsPerSecond;
    const refill = seconds * rate.tokensPerSecond * this.ownPart();
    known.level = Math.min(capacity, known.level + refill);
    known.updatedAt = now;
    known.rate = rate;
    return known;
  }

  private capacityOf({burstTokens}: AccountRate): number {
    const {excess, tokens} = this.parts.slack;
    return burstTokens * (1 + excess) + tokens * usedSlackPart;
  }

  /** Part of the rate that is left beside hosts that can't be heard. */
  private ownPart(): number {
    const {silentHosts, hostCount} = this.parts;
    return 1 - silentHosts() / Math.max(1, hostCount());
  }
}
