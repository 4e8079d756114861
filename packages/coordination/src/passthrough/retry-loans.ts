/**
 * Moves unused retries from hosts that can spare them to one whose calls fail. The
 * lender gives a retry up before it answers, so that a lost, late or repeated
 * datagram can only lose retries: the sum over all hosts never grows.
 */

import type {Clock} from '../clock.js';
import {hashText} from '../decisions/hash-text.js';
import type {
  RetryLoanMessage,
  SpareRetryReport,
} from '../generated/messages/persimmonwick/beat.js';
import type {FailureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {FleetMember} from './fleet-member.js';

export interface RetryLoansParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: FailureDomainId;
  readonly members: () => readonly FleetMember[];
  /** Whether a known host has this address. */
  readonly isMember: (address: string) => boolean;
  /** Sends a datagram, which may be lost. */
  readonly send: (address: string, message: RetryLoanMessage) => void;
  /** Gives up to `amount` retries of the pool with this key up; returns how many. */
  readonly lend: (poolKey: number, amount: number) => number;
}

/** A question to several hosts. */
interface PendingLoan {
  /** Hundredths asked of each host that has not answered. */
  readonly asked: Map<string, number>;
  readonly answered: AbortController;
  readonly poolKey: number;
  granted: number;
}

/** Messages carry retries in hundredths. */
const hundredthsPerRetry = 100;

/** Pools in one heartbeat. */
export const maximumReportedSpares = 16;

/** Hosts that are asked for one loan. */
const maximumLenders = 4;

/** Time for which answers are awaited. A retry waits for it. */
const answerMilliseconds = 60;

/** Loans that a host awaits at a time. */
const maximumPendingLoans = 8;

const maximumNumber = 2 ** 32;

/** Key of a pool in messages. */
export function poolKeyOf(pool: string): number {
  return hashText(pool);
}

/** Encodes what a host can spare, by the names of pools. */
export function encodeSpares(
  spares: Iterable<readonly [pool: string, amount: number]>,
): SpareRetryReport[] {
  return [...spares]
    .map(([pool, amount]) => ({
      poolKey: poolKeyOf(pool),
      hundredths: Math.floor(amount * hundredthsPerRetry),
    }))
    .filter(({hundredths}) => hundredths > 0)
    .slice(0, maximumReportedSpares);
}

export class RetryLoans {
  /** Hundredths that other hosts can spare, by key of the pool and address. */
  private readonly spares = new Map<number, Map<string, number>>();
  private readonly pending = new Map<number, PendingLoan>();
  private lastNumber: number;

  constructor(private readonly parts: RetryLoansParts) {
    // Answers to an earlier process of this host have other numbers.
    this.lastNumber = Math.floor(parts.random.next() * maximumNumber);
  }

  /** Records what the host at `address` can spare. */
  recordPeer(address: string, report: readonly SpareRetryReport[]): void {
    for (const byAddress of this.spares.values()) byAddress.delete(address);
    for (const {poolKey, hundredths} of report)
      this.sparesOf(poolKey).set(address, hundredths);
  }

  /** Returns whether others are known to have `amount` retries to spare. */
  canBorrow(pool: string, amount: number): boolean {
    if (this.pending.size >= maximumPendingLoans) return false;
    let missing = toHundredths(amount);
    for (const hundredths of this.sparesOf(poolKeyOf(pool)).values()) {
      missing -= hundredths;
      if (missing <= 0) return true;
    }
    return false;
  }

  /** Borrows up to `amount` retries; resolves with how many were granted. */
  async borrow(pool: string, amount: number): Promise<number> {
    const {clock, send} = this.parts;
    const poolKey = poolKeyOf(pool);
    const lenders = this.chooseLenders(poolKey, toHundredths(amount));
    if (lenders.length === 0) return 0;
    this.lastNumber = (this.lastNumber + 1) % maximumNumber;
    const number = this.lastNumber;
    const loan: PendingLoan = {
      asked: new Map(),
      answered: new AbortController(),
      poolKey,
      granted: 0,
    };
    this.pending.set(number, loan);
    let missing = toHundredths(amount);
    for (const {address, hundredths: spare} of lenders) {
      const hundredths = Math.min(spare, missing);
      missing -= hundredths;
      loan.asked.set(address, hundredths);
      this.reduceSpare(address, poolKey, hundredths);
      const value = {number, poolKey, hundredths};
      send(address, {content: {$case: 'request', value}});
    }
    await clock.sleep(answerMilliseconds, loan.answered.signal);
    this.pending.delete(number);
    return loan.granted / hundredthsPerRetry;
  }

  /** Processes a message of the host at `address`. */
  receive(address: string, {content}: RetryLoanMessage): void {
    switch (content?.$case) {
      case 'request': {
        const {number, poolKey, hundredths} = content.value;
        if (!this.parts.isMember(address)) return;
        const amount = hundredths / hundredthsPerRetry;
        const granted = Math.floor(
          this.parts.lend(poolKey, amount) * hundredthsPerRetry + rounding,
        );
        const value = {number, hundredths: granted};
        this.parts.send(address, {content: {$case: 'reply', value}});
        return;
      }
      case 'reply':
        this.recordReply(address, content.value);
        return;
      case undefined:
    }
  }

  private recordReply(
    address: string,
    {number, hundredths}: {number: number; hundredths: number},
  ): void {
    const loan = this.pending.get(number);
    const asked = loan?.asked.get(address);
    if (loan === undefined || asked === undefined) return;
    loan.asked.delete(address);
    loan.granted += Math.min(asked, hundredths);
    // It has less than its last heartbeat said.
    if (hundredths < asked) this.sparesOf(loan.poolKey).delete(address);
    if (loan.asked.size === 0) loan.answered.abort();
  }

  /** Hosts that together can spare most of `amount`, those of this domain first. */
  private chooseLenders(
    poolKey: number,
    amount: number,
  ): readonly {address: string; hundredths: number}[] {
    const {members, failureDomain, random} = this.parts;
    const live = new Map(
      members().flatMap(each =>
        each.isLive ? [[each.address, each] as const] : [],
      ),
    );
    const known = this.sparesOf(poolKey);
    for (const address of [...known.keys()])
      if (!live.has(address)) known.delete(address);
    const candidates = [...known].map(([address, hundredths]) => {
      const isRemote = live.get(address)!.failureDomain !== failureDomain;
      const order = (isRemote ? 1 : 0) - Math.min(hundredths, amount) / amount;
      return {address, hundredths, order: order + random.next() / 2};
    });
    candidates.sort((left, right) => left.order - right.order);
    const chosen: {address: string; hundredths: number}[] = [];
    let missing = amount;
    for (const each of candidates) {
      if (missing <= 0 || chosen.length >= maximumLenders) break;
      chosen.push(each);
      missing -= each.hundredths;
    }
    return chosen;
  }

  private reduceSpare(
    address: string,
    poolKey: number,
    hundredths: number,
  ): void {
    const known = this.sparesOf(poolKey);
    const left = (known.get(address) ?? 0) - hundredths;
    if (left > 0) known.set(address, left);
    else known.delete(address);
  }

  private sparesOf(poolKey: number): Map<string, number> {
    const known = this.spares.get(poolKey);
    if (known !== undefined) return known;
    const created = new Map<string, number>();
    this.spares.set(poolKey, created);
    return created;
  }
}

/** Keeps an exact number of hundredths from being rounded down. */
const rounding = 1e-6;

function toHundredths(amount: number): number {
  return Math.ceil(amount * hundredthsPerRetry - rounding);
}
