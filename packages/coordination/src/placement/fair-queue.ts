/**
 * A bounded queue that is fair between client accounts by weight, in tokens of
 * cost over both classes (start-time fair queueing). Targeted work goes before
 * deferrable work while its account is not far ahead of its fair share, and
 * deferrable work keeps a fixed least share.
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
export interface QueueLimits {
  readonly perAccount: number;
  readonly total: number;
}

/** Share of dispatched cost that waiting deferrable work gets at least. */
export const minimumDeferrableShare = 0.1;
/** Cost that targeted work may take ahead of its account's fair share. */
const leadTokens = 40_000;
/** Cost that an idle account may save up, so that its bursts are served. */
const creditTokens = 10_000;

interface AccountLine<Item> {
  readonly account: AccountId;
  readonly targeted: Item[];
  readonly deferrable: Item[];
  weight: number;
  /** Virtual time up to which the account has been served. */
  servedUntil: number;
}

interface Choice<Item> {
  readonly line: AccountLine<Item>;
  readonly item: Item;
}

export class FairQueue<Item extends QueueItem> {
  private readonly lines = new Map<AccountId, AccountLine<Item>>();
  private virtualTime = 0;
  private deferrableCredit = 0;
  private size = 0;

  constructor(private readonly bounds: QueueLimits) {}

  get length(): number {
    return this.size;
  }

  /** Adds `item`; false when a bound is reached. */
  push(item: Item): boolean {
    const line = this.lineOf(item);
    if (lengthOf(line) >= this.bounds.perAccount) return false;
    if (this.size >= this.bounds.total) return false;
    line.weight = item.weight;
    if (lengthOf(line) === 0)
      line.servedUntil = Math.max(line.servedUntil, this.creditedTime(line));
    line[item.service].push(item);
    this.size += 1;
    return true;
  }

  /** The item that goes next. */
  peek(): Item | undefined {
    return this.next()?.item;
  }

  /** Takes the item that goes next. */
  take(): Item | undefined {
    const choice = this.next();
    if (choice === undefined) return undefined;
    const {line, item} = choice;
    this.virtualTime = Math.max(this.virtualTime, this.leastServed());
    this.settleCredit(item);
    line[item.service].shift();
    this.size -= 1;
    line.servedUntil += item.costTokens / item.weight;
    this.forgetIdle();
    return item;
  }

  /** Takes `item` out of turn; false when it is not queued. */
  remove(item: Item): boolean {
    const items = this.lines.get(item.account)?.[item.service] ?? [];
    const index = items.indexOf(item);
    if (index < 0) return false;
    items.splice(index, 1);
    this.size -= 1;
    return true;
  }

  /** Cost that goes before a new targeted item of `account`. */
  costAhead(account: AccountId, weight: number): number {
    const own = this.lines.get(account);
    const ownCost = sumCost(own?.targeted ?? []);
    const since = own?.servedUntil ?? this.virtualTime - creditTokens / weight;
    const until = since + ownCost / weight;
    let cost = ownCost;
    for (const line of this.lines.values()) {
      if (line === own) continue;
      const due = Math.max(0, until - line.servedUntil) * line.weight;
      cost += Math.min(due, sumCost(line.targeted));
    }
    const isShared = this.least('deferrable') !== undefined;
    return isShared ? cost / (1 - minimumDeferrableShare) : cost;
  }

  private next(): Choice<Item> | undefined {
    const targeted = this.least('targeted');
    const deferrable = this.least('deferrable');
    if (targeted === undefined || deferrable === undefined)
      return targeted ?? deferrable;
    if (this.deferrableCredit >= deferrable.item.costTokens) return deferrable;
    const {line} = targeted;
    const lead = (line.servedUntil - this.leastServed()) * line.weight;
    if (lead <= leadTokens) return targeted;
    return deferrable.line.servedUntil < line.servedUntil
      ? deferrable
      : targeted;
  }

  /** The head of a class whose account was served least. */
  private least(service: ServiceClass): Choice<Item> | undefined {
    let best: Choice<Item> | undefined;
    for (const line of this.lines.values()) {
      const item = line[service][0];
      if (item === undefined) continue;
      if (best === undefined || line.servedUntil < best.line.servedUntil)
        best = {line, item};
    }
    return best;
  }

  /** Virtual time of the waiting account that was served least. */
  private leastServed(): number {
    let least = Infinity;
    for (const line of this.lines.values())
      if (lengthOf(line) > 0) least = Math.min(least, line.servedUntil);
    return least === Infinity ? this.virtualTime : least;
  }

  private settleCredit(item: Item): void {
    if (this.least('deferrable') === undefined) this.deferrableCredit = 0;
    else if (item.service === 'targeted')
      this.deferrableCredit +=
        (item.costTokens * minimumDeferrableShare) /
        (1 - minimumDeferrableShare);
    else
      this.deferrableCredit = Math.max(
        0,
        this.deferrableCredit - item.costTokens,
      );
  }

  /** Virtual time that an account with nothing queued starts from. */
  private creditedTime({weight}: AccountLine<Item>): number {
    return this.virtualTime - creditTokens / weight;
  }

  private lineOf({account, weight}: Item): AccountLine<Item> {
    const known = this.lines.get(account);
    if (known !== undefined) return known;
    const line: AccountLine<Item> = {
      account,
      targeted: [],
      deferrable: [],
      weight,
      servedUntil: this.virtualTime - creditTokens / weight,
    };
    this.lines.set(account, line);
    return line;
  }

  /** Forgets accounts that have nothing queued and no lead to work off. */
  private forgetIdle(): void {
    for (const [account, line] of this.lines)
      if (lengthOf(line) === 0 && line.servedUntil <= this.creditedTime(line))
        this.lines.delete(account);
  }
}

function lengthOf<Item>({targeted, deferrable}: AccountLine<Item>): number {
  return targeted.length + deferrable.length;
}

function sumCost(items: readonly QueueItem[]): number {
  return items.reduce((sum, {costTokens}) => sum + costTokens, 0);
}
