/**
 * A bounded queue that is fair between client accounts by weight, in tokens of
 * cost (start-time fair queueing). Targeted work goes before deferrable work,
 * which keeps a fixed least share.
 */

import type {AccountId} from '../ids.js';

/** Whether work has a latency target or may wait. */
export type ServiceClass = 'targeted' | 'deferrable';

/** What the queue needs to know of an entry. */
export interface QueueItem {
  readonly account: AccountId;
  readonly service: ServiceClass;
  readonly costTokens: number;
  readonly weight: number;
}

/** Bounds of a queue. */
export interface QueueBounds {
  readonly perAccount: number;
  readonly total: number;
}

/** Share of dispatched cost that waiting deferrable work gets at least. */
export const deferrableShare = 0.1;

interface Tagged<Item> {
  readonly item: Item;
  readonly start: number;
}

interface AccountLine<Item> {
  lastFinish: number;
  readonly entries: Array<Tagged<Item>>;
}

class ClassQueue<Item extends QueueItem> {
  readonly lines = new Map<AccountId, AccountLine<Item>>();
  private virtualTime = 0;

  push(item: Item): void {
    const line = this.lines.get(item.account) ?? {lastFinish: 0, entries: []};
    this.lines.set(item.account, line);
    const start = Math.max(this.virtualTime, line.lastFinish);
    line.lastFinish = start + item.costTokens / item.weight;
    line.entries.push({item, start});
  }

  peek(): Tagged<Item> | undefined {
    let first: Tagged<Item> | undefined;
    for (const {entries} of this.lines.values()) {
      const head = entries[0];
      if (head === undefined) continue;
      if (first === undefined || head.start < first.start) first = head;
    }
    return first;
  }

  take(entry: Tagged<Item>): void {
    this.virtualTime = Math.max(this.virtualTime, entry.start);
    this.lines.get(entry.item.account)!.entries.shift();
    for (const [account, line] of this.lines)
      if (line.entries.length === 0 && line.lastFinish <= this.virtualTime)
        this.lines.delete(account);
  }

  remove(item: Item): boolean {
    const line = this.lines.get(item.account);
    const index = line?.entries.findIndex(entry => entry.item === item) ?? -1;
    if (line === undefined || index < 0) return false;
    line.entries.splice(index, 1);
    // What was never served must not count against the account: the entries
    // behind the removed one move up by its cost.
    const credit = item.costTokens / item.weight;
    for (let behind = index; behind < line.entries.length; behind += 1) {
      const entry = line.entries[behind]!;
      line.entries[behind] = {...entry, start: entry.start - credit};
    }
    line.lastFinish -= credit;
    return true;
  }

  /** Cost that goes before a new entry of `account`. */
  costAhead(account: AccountId): number {
    const line = this.lines.get(account);
    const start = Math.max(this.virtualTime, line?.lastFinish ?? 0);
    let cost = 0;
    for (const {entries} of this.lines.values())
      for (const entry of entries)
        if (entry.start <= start) cost += entry.item.costTokens;
    return cost;
  }
}

export class FairQueue<Item extends QueueItem> {
  private readonly targeted = new ClassQueue<Item>();
  private readonly deferrable = new ClassQueue<Item>();
  private readonly lengths = new Map<AccountId, number>();
  private deferrableCredit = 0;
  private size = 0;

  constructor(private readonly bounds: QueueBounds) {}

  get length(): number {
    return this.size;
  }

  /** Adds `item`; false when a bound is reached. */
  push(item: Item): boolean {
    const length = this.lengths.get(item.account) ?? 0;
    if (length >= this.bounds.perAccount) return false;
    if (this.size >= this.bounds.total) return false;
    this.queueOf(item).push(item);
    this.count(item, 1);
    return true;
  }

  /** The item that goes next. */
  peek(): Item | undefined {
    return this.next()?.item;
  }

  /** Takes the item that goes next. */
  take(): Item | undefined {
    const entry = this.next();
    if (entry === undefined) return undefined;
    this.queueOf(entry.item).take(entry);
    this.count(entry.item, -1);
    this.settleCredit(entry.item);
    return entry.item;
  }

  /** Takes `item` out of turn; false when it is not queued. */
  remove(item: Item): boolean {
    if (!this.queueOf(item).remove(item)) return false;
    this.count(item, -1);
    return true;
  }

  /** Cost that goes before a new targeted item of `account`. */
  costAhead(account: AccountId): number {
    return this.targeted.costAhead(account) / (1 - this.deferrablePart());
  }

  private next(): Tagged<Item> | undefined {
    const targeted = this.targeted.peek();
    const deferrable = this.deferrable.peek();
    if (targeted === undefined || deferrable === undefined)
      return targeted ?? deferrable;
    const isDue = this.deferrableCredit >= deferrable.item.costTokens;
    return isDue ? deferrable : targeted;
  }

  private settleCredit(item: Item): void {
    if (this.deferrable.peek() === undefined && item.service === 'targeted')
      this.deferrableCredit = 0;
    else if (item.service === 'targeted')
      this.deferrableCredit +=
        (item.costTokens * deferrableShare) / (1 - deferrableShare);
    else
      this.deferrableCredit = Math.max(
        0,
        this.deferrableCredit - item.costTokens,
      );
  }

  private deferrablePart(): number {
    return this.deferrable.peek() === undefined ? 0 : deferrableShare;
  }

  private queueOf(item: Item): ClassQueue<Item> {
    switch (item.service) {
      case 'targeted':
        return this.targeted;
      case 'deferrable':
        return this.deferrable;
    }
  }

  private count(item: Item, change: 1 | -1): void {
    this.size += change;
    const length = (this.lengths.get(item.account) ?? 0) + change;
    if (length === 0) this.lengths.delete(item.account);
    else this.lengths.set(item.account, length);
  }
}
