/** Hosts whose usage limiters exchange the tokens that they admitted. */

import {
  UsageLimiter,
  VirtualClock,
  accountId,
  hostId,
} from '../../src/index.js';
import type {AccountRate, LimitSlack} from '../../src/index.js';

interface UsageHost {
  limiter: UsageLimiter;
  incarnation: bigint;
  partition: number;
  startedAt: number;
}

/** The tokens of one admission, with its time. */
export interface AdmittedTokens {
  readonly at: number;
  readonly tokens: number;
}

const account = accountId('a');

export class UsageFleet {
  readonly clock = new VirtualClock();
  readonly admitted: AdmittedTokens[] = [];
  private readonly hosts: UsageHost[];

  constructor(
    count: number,
    readonly rate: AccountRate,
    readonly slack: LimitSlack,
  ) {
    this.hosts = Array.from({length: count}, () => ({
      limiter: undefined as unknown as UsageLimiter,
      incarnation: 1n,
      partition: 0,
      startedAt: 0,
    }));
    this.hosts.forEach((_, index) => this.restart(index));
  }

  /** Restarts the process of a host, which loses all state. */
  restart(index: number): void {
    const host = this.hosts[index]!;
    host.incarnation += 1n;
    host.startedAt = this.clock.now();
    host.limiter = new UsageLimiter({
      clock: this.clock,
      slack: this.slack,
      rateOf: () => this.rate,
      hostCount: () => this.hosts.length,
      silentHostCount: () =>
        this.hosts.filter(other => other.partition !== host.partition).length,
    });
  }

  /** Divides the hosts into partitions that cannot reach each other. */
  partition(partitionOf: (index: number) => number): void {
    this.hosts.forEach((host, index) => (host.partition = partitionOf(index)));
  }

  /** Every host reports its totals to all hosts that it can reach. */
  exchangeUsage(): void {
    this.hosts.forEach((from, index) => {
      const ageMilliseconds = this.clock.now() - from.startedAt;
      const usage = from.limiter.admittedTotals();
      for (const to of this.hosts)
        if (to !== from && to.partition === from.partition)
          to.limiter.recordUsage(
            hostId(`h-${index}`),
            from.incarnation,
            ageMilliseconds,
            usage,
          );
    });
  }

  /** Requests admission at one host and records the admitted tokens. */
  requestAdmission(index: number, tokens: number): boolean {
    const outcome = this.hosts[index]!.limiter.admit(account, tokens);
    if (outcome !== 'admitted') return false;
    this.admitted.push({at: this.clock.now(), tokens});
    return true;
  }

  /**
   * Time after which a refused call can be admitted; 0 if it can be admitted
   * now.
   */
  retryAfterOf(index: number, tokens: number): number {
    const {limiter} = this.hosts[index]!;
    const outcome = limiter.admit(account, tokens);
    if (outcome !== 'admitted') return outcome.retryAfterMilliseconds;
    limiter.refund(account, tokens);
    return 0;
  }

  /** Maximum number of tokens admitted in any window. */
  maximumTokensInWindow(milliseconds: number): number {
    let sum = 0;
    let maximumTokens = 0;
    let first = 0;
    for (const {at, tokens} of this.admitted) {
      sum += tokens;
      while (this.admitted[first]!.at < at - milliseconds) {
        sum -= this.admitted[first]!.tokens;
        first += 1;
      }
      maximumTokens = Math.max(maximumTokens, sum);
    }
    return maximumTokens;
  }

  /** Tokens that the configured slack allows in a window. */
  allowedTokensInWindow(milliseconds: number): number {
    const {tokensPerSecond, burstTokens} = this.rate;
    const allowed = (tokensPerSecond * milliseconds) / 1000 + burstTokens;
    return allowed * (1 + this.slack.excess) + this.slack.tokens;
  }
}
