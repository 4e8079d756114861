/**
 * Statistics by client account and class, in bounded memory. A fixed number of
 * accounts is tracked separately; all others share one entry. A new account
 * evicts the least recently used one, whose statistics are then added to the
 * shared entry. Only an account that has been idle for a minimum time is
 * evicted, because many busy accounts would otherwise evict each other
 * continuously.
 */

import type {AccountId, Clock} from '@persimmonwick/coordination';
import {accountId} from '@persimmonwick/coordination';
import type {RequestClass} from './request-observer.js';
import {RequestStatistics} from './request-statistics.js';

/** The account name of the shared entry. */
export const otherAccounts = accountId('other accounts');

/** Statistics of one account and class. */
export interface AccountEntry {
  readonly account: AccountId;
  readonly serviceClass: RequestClass;
  readonly statistics: RequestStatistics;
}

interface TrackedAccount {
  lastUsedAt: number;
  readonly classes: Map<RequestClass, RequestStatistics>;
}

const defaultMaximumAccounts = 128;
const minimumIdleMilliseconds = 60_000;

export class AccountTable {
  /** Ordered by last use, the least recently used account first. */
  private readonly tracked = new Map<AccountId, TrackedAccount>();
  private readonly otherStatistics = new Map<RequestClass, RequestStatistics>();

  constructor(
    private readonly clock: Clock,
    private readonly maximumAccounts = defaultMaximumAccounts,
  ) {}

  /**
   * Returns the statistics of `account`, or the shared ones if the table is full.
   * Marks the account as used and may evict an idle one.
   */
  statisticsOf(
    account: AccountId,
    serviceClass: RequestClass,
  ): RequestStatistics {
    const tracked = this.trackAccount(account);
    const classes = tracked?.classes ?? this.otherStatistics;
    const existing = classes.get(serviceClass);
    if (existing !== undefined) return existing;
    const statistics = new RequestStatistics();
    classes.set(serviceClass, statistics);
    return statistics;
  }

  *entries(): Generator<AccountEntry> {
    for (const [account, {classes}] of this.tracked)
      for (const [serviceClass, statistics] of classes)
        yield {account, serviceClass, statistics};
    for (const [serviceClass, statistics] of this.otherStatistics)
      yield {account: otherAccounts, serviceClass, statistics};
  }

  private trackAccount(account: AccountId): TrackedAccount | undefined {
    const now = this.clock.now();
    const existing = this.tracked.get(account);
    if (existing === undefined && !this.evictIfFull(now)) return undefined;
    const tracked = existing ?? {lastUsedAt: now, classes: new Map()};
    tracked.lastUsedAt = now;
    this.tracked.delete(account);
    this.tracked.set(account, tracked);
    return tracked;
  }

  /** Evicts an idle account if the table is full. Returns false if none is idle. */
  private evictIfFull(now: number): boolean {
    if (this.tracked.size < this.maximumAccounts) return true;
    const [leastRecentlyUsed] = this.tracked;
    if (leastRecentlyUsed === undefined) return false;
    const [account, {lastUsedAt, classes}] = leastRecentlyUsed;
    if (now - lastUsedAt < minimumIdleMilliseconds) return false;
    for (const [serviceClass, statistics] of classes) {
      const target =
        this.otherStatistics.get(serviceClass) ?? new RequestStatistics();
      target.add(statistics);
      this.otherStatistics.set(serviceClass, target);
    }
    this.tracked.delete(account);
    return true;
  }
}
