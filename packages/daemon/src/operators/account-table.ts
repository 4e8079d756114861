/**
 * Statistics by client account and class, in bounded memory. A fixed number of
 * accounts have their own; all others share one account named `other`. An
 * account takes the place of the one that has been idle longest, whose numbers
 * then count for `other`, and only when that one has been idle for a while, so
 * that many busy accounts don't push each other out all the time.
 */

import type {AccountId, Clock} from '@persimmonwick/coordination';
import {accountId} from '@persimmonwick/coordination';
import type {ServiceClass} from './request-observer.js';
import {RequestStatistics} from './request-statistics.js';

/** The account that stands for those without statistics of their own. */
export const otherAccounts = accountId('other accounts');

/** Statistics with their account and class. */
export interface AccountEntry {
  readonly account: AccountId;
  readonly serviceClass: ServiceClass;
  readonly statistics: RequestStatistics;
}

interface TrackedAccount {
  usedAt: number;
  readonly classes: Map<ServiceClass, RequestStatistics>;
}

const defaultMaximumAccounts = 128;
const idleMilliseconds = 60_000;

export class AccountTable {
  /** In the order of their last use, the longest idle first. */
  private readonly tracked = new Map<AccountId, TrackedAccount>();
  private readonly others = new Map<ServiceClass, RequestStatistics>();

  constructor(
    private readonly clock: Clock,
    private readonly maximumAccounts = defaultMaximumAccounts,
  ) {}

  /** The statistics that a request of `account` counts for. */
  statisticsOf(
    account: AccountId,
    serviceClass: ServiceClass,
  ): RequestStatistics {
    const tracked = this.touch(account);
    const classes = tracked?.classes ?? this.others;
    const known = classes.get(serviceClass);
    if (known !== undefined) return known;
    const statistics = new RequestStatistics();
    classes.set(serviceClass, statistics);
    return statistics;
  }

  *entries(): Generator<AccountEntry> {
    for (const [account, {classes}] of this.tracked)
      for (const [serviceClass, statistics] of classes)
        yield {account, serviceClass, statistics};
    for (const [serviceClass, statistics] of this.others)
      yield {account: otherAccounts, serviceClass, statistics};
  }

  private touch(account: AccountId): TrackedAccount | undefined {
    const usedAt = this.clock.now();
    const known = this.tracked.get(account);
    if (known === undefined && !this.makeRoom(usedAt)) return undefined;
    const tracked = known ?? {usedAt, classes: new Map()};
    tracked.usedAt = usedAt;
    this.tracked.delete(account);
    this.tracked.set(account, tracked);
    return tracked;
  }

  private makeRoom(now: number): boolean {
    if (this.tracked.size < this.maximumAccounts) return true;
    const [longestIdle] = this.tracked;
    if (longestIdle === undefined) return false;
    const [account, {usedAt, classes}] = longestIdle;
    if (now - usedAt < idleMilliseconds) return false;
    for (const [serviceClass, statistics] of classes) {
      const others = this.others.get(serviceClass) ?? new RequestStatistics();
      others.add(statistics);
      this.others.set(serviceClass, others);
    }
    this.tracked.delete(account);
    return true;
  }
}
