/**
 * A bounded queue with weighted fairness between client accounts (start-time
 * fair queueing). The cost of both classes is counted in tokens. Targeted work
 * precedes deferrable work unless the targeted account is far ahead of the
 * account furthest behind. Deferrable work has a fixed minimum share.
 */

import type {AccountId} from '../ids.js';

/** Targeted work has a latency target; deferrable work can wait. */
export type ServiceClass = 'targeted' | 'deferrable';

/** Properties of a queued item that determine its order. */
export interface QueueItem {
  readonly account: AccountId;
  readonly serviceClass: ServiceClass;
  readonly costTokens: number;
  readonly weight: number;
}

/** Maximum numbers of queued items. */
export interface QueueLimits {
  readonly perAccount: number;
  readonly total: number;
}

/** Minimum share of the dispatched cost for queued deferrable work. */
export const minimumDeferrableShare = 0.1;
/**
 * Lead over the account furthest behind above which targeted work no longer
 * precedes deferrable work.
 */
const leadLimitTokens = 40_000;
/** Credit that an idle account accumulates for bursts. */
const burstCreditTokens = 10_000;

interface AccountQueue<Item> {
  readonly account: AccountId;
  readonly targeted: Item[];
  readonly deferrable: Item[];
  weight: number;
  /** Virtual finish time of the account's last dispatched item. */
  virtualFinishTime: number;
}

interface QueueHead<Item> {
  readonly accountQueue: AccountQueue<Item>;
  readonly item: Item;
}

export class FairQueue<Item extends QueueItem> {
  private readonly accountQueues = new Map<AccountId, AccountQueue<Item>>();
  /** Dispatched tokens per unit of weight. */
  private virtualTime = 0;
  private deferrableCreditTokens = 0;
  private itemCount = 0;

  constructor(private readonly limits: QueueLimits) {}

  get length(): number {
    return this.itemCount;
  }

  /** Adds `item`. Returns false when a limit is reached. */
  enqueue(item: Item): boolean {
    const accountQueue = this.accountQueueOf(item);
    if (lengthOf(accountQueue) >= this.limits.perAccount) return false;
    if (this.itemCount >= this.limits.total) return false;
    accountQueue.weight = item.weight;
    if (lengthOf(accountQueue) === 0)
      accountQueue.virtualFinishTime = Math.max(
        accountQueue.virtualFinishTime,
        this.creditedStartTime(accountQueue),
      );
    accountQueue[item.serviceClass].push(item);
    this.itemCount += 1;
    return true;
  }

  /** Returns the next item without removing it. */
  peek(): Item | undefined {
    return this.nextHead()?.item;
  }

  /** Removes and returns the next item. */
  dequeue(): Item | undefined {
    const head = this.nextHead();
    if (head === undefined) return undefined;
    const {accountQueue, item} = head;
    this.virtualTime = Math.max(this.virtualTime, this.minimumFinishTime());
    this.updateDeferrableCredit(item);
    accountQueue[item.serviceClass].shift();
    this.itemCount -= 1;
    accountQueue.virtualFinishTime += item.costTokens / item.weight;
    this.removeIdleAccounts();
    return item;
  }

  /** Removes `item` at any position. Returns false when it is not queued. */
  remove(item: Item): boolean {
    const items =
      this.accountQueues.get(item.account)?.[item.serviceClass] ?? [];
    const index = items.indexOf(item);
    if (index < 0) return false;
    items.splice(index, 1);
    this.itemCount -= 1;
    return true;
  }

  /** Estimated cost dispatched before a new targeted item of `account`. */
  costAheadTokens(account: AccountId, weight: number): number {
    const own = this.accountQueues.get(account);
    const ownCost = sumCost(own?.targeted ?? []);
    const ownStartTime =
      own?.virtualFinishTime ?? this.virtualTime - burstCreditTokens / weight;
    const ownFinishTime = ownStartTime + ownCost / weight;
    let cost = ownCost;
    for (const accountQueue of this.accountQueues.values()) {
      if (accountQueue === own) continue;
      const dueCost =
        Math.max(0, ownFinishTime - accountQueue.virtualFinishTime) *
        accountQueue.weight;
      cost += Math.min(dueCost, sumCost(accountQueue.targeted));
    }
    const hasDeferrable = this.nextOfClass('deferrable') !== undefined;
    return hasDeferrable ? cost / (1 - minimumDeferrableShare) : cost;
  }

  private nextHead(): QueueHead<Item> | undefined {
    const targeted = this.nextOfClass('targeted');
    const deferrable = this.nextOfClass('deferrable');
    if (targeted === undefined || deferrable === undefined)
      return targeted ?? deferrable;
    if (this.deferrableCreditTokens >= deferrable.item.costTokens)
      return deferrable;
    const {accountQueue} = targeted;
    const leadTokens =
      (accountQueue.virtualFinishTime - this.minimumFinishTime()) *
      accountQueue.weight;
    if (leadTokens <= leadLimitTokens) return targeted;
    return deferrable.accountQueue.virtualFinishTime <
      accountQueue.virtualFinishTime
      ? deferrable
      : targeted;
  }

  /** First item of a class, from the account with the earliest finish time. */
  private nextOfClass(serviceClass: ServiceClass): QueueHead<Item> | undefined {
    let best: QueueHead<Item> | undefined;
    for (const accountQueue of this.accountQueues.values()) {
      const item = accountQueue[serviceClass][0];
      if (item === undefined) continue;
      if (
        best === undefined ||
        accountQueue.virtualFinishTime < best.accountQueue.virtualFinishTime
      )
        best = {accountQueue, item};
    }
    return best;
  }

  /** Earliest finish time of all accounts with queued items. */
  private minimumFinishTime(): number {
    let minimum = Infinity;
    for (const accountQueue of this.accountQueues.values())
      if (lengthOf(accountQueue) > 0)
        minimum = Math.min(minimum, accountQueue.virtualFinishTime);
    return minimum === Infinity ? this.virtualTime : minimum;
  }

  private updateDeferrableCredit(item: Item): void {
    if (this.nextOfClass('deferrable') === undefined)
      this.deferrableCreditTokens = 0;
    else if (item.serviceClass === 'targeted')
      this.deferrableCreditTokens +=
        (item.costTokens * minimumDeferrableShare) /
        (1 - minimumDeferrableShare);
    else
      this.deferrableCreditTokens = Math.max(
        0,
        this.deferrableCreditTokens - item.costTokens,
      );
  }

  /** Virtual start time of an idle account, reduced by its credit. */
  private creditedStartTime({weight}: AccountQueue<Item>): number {
    return this.virtualTime - burstCreditTokens / weight;
  }

  private accountQueueOf({account, weight}: Item): AccountQueue<Item> {
    const existing = this.accountQueues.get(account);
    if (existing !== undefined) return existing;
    const accountQueue: AccountQueue<Item> = {
      account,
      targeted: [],
      deferrable: [],
      weight,
      virtualFinishTime: this.virtualTime - burstCreditTokens / weight,
    };
    this.accountQueues.set(account, accountQueue);
    return accountQueue;
  }

  /** Removes accounts with no queued items whose credit is fully restored. */
  private removeIdleAccounts(): void {
    for (const [account, accountQueue] of this.accountQueues)
      if (
        lengthOf(accountQueue) === 0 &&
        accountQueue.virtualFinishTime <= this.creditedStartTime(accountQueue)
      )
        this.accountQueues.delete(account);
  }
}

function lengthOf<Item>({targeted, deferrable}: AccountQueue<Item>): number {
  return targeted.length + deferrable.length;
}

function sumCost(items: readonly QueueItem[]): number {
  return items.reduce((sum, {costTokens}) => sum + costTokens, 0);
}
