/** Hosts with usage limiters that tell each other what they admitted. */

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
  part: number;
  startedAt: number;
}

/** One admission, with its time and tokens. */
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
      part: 0,
      startedAt: 0,
    }));
    this.hosts.forEach((_, index) => this.restart(index));
  }

  /** The host forgets everything. */
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
        this.hosts.filter(other => other.part !== host.part).length,
    });
  }

  /** Puts hosts into parts that don't hear each other. */
  divide(partOf: (index: number) => number): void {
    this.hosts.forEach((host, index) => (host.part = partOf(index)));
  }

  /** Every host tells all that hear it. */
  beat(): void {
    this.hosts.forEach((from, index) => {
      const age = this.clock.now() - from.startedAt;
      const usage = from.limiter.admittedTotals();
      for (const to of this.hosts)
        if (to !== from && to.part === from.part)
          to.limiter.recordUsage(
            hostId(`h-${index}`),
            from.incarnation,
            age,
            usage,
          );
    });
  }

  /** Asks one host; notes the tokens that it admits. */
  ask(index: number, tokens: number): boolean {
    const outcome = this.hosts[index]!.limiter.admit(account, tokens);
    if (outcome !== 'admitted') return false;
    this.admitted.push({at: this.clock.now(), tokens});
    return true;
  }

  /** Time after which a refused call may be admitted; 0 when it may be now. */
  waitOf(index: number, tokens: number): number {
    const {limiter} = this.hosts[index]!;
    const outcome = limiter.admit(account, tokens);
    if (outcome !== 'admitted') return outcome.retryAfterMilliseconds;
    limiter.giveBack(account, tokens);
    return 0;
  }

  /** The most tokens that were admitted in any window. */
  mostInWindow(milliseconds: number): number {
    let sum = 0;
    let most = 0;
    let first = 0;
    for (const {at, tokens} of this.admitted) {
      sum += tokens;
      while (this.admitted[first]!.at < at - milliseconds) {
        sum -= this.admitted[first]!.tokens;
        first += 1;
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  /** What the stated slack allows in a window. */
  bound(milliseconds: number): number {
    const {tokensPerSecond, burstTokens} = this.rate;
    const owed = (tokensPerSecond * milliseconds) / 1000 + burstTokens;
    return owed * (1 + this.slack.excess) + this.slack.tokens;
  }
}
