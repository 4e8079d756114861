/** A holder as a borrower knows it, from its last answer. */

import type {HostId} from '../ids.js';
import {freshMilliseconds} from './constants.js';

/** What an account may spend over all hosts. */
export interface AccountLimits {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** An estimate of what a holder has; it guides whom to ask and how much. */
export class KnownHolder {
  private levelTokens = 0;
  private learnedAt = -Infinity;

  constructor(
    readonly host: HostId,
    readonly isNear: boolean,
    private readonly fraction: number,
    private readonly limits: AccountLimits,
  ) {}

  /** Takes on what the holder said it has left. */
  learn(levelTokens: number, now: number): void {
    this.levelTokens = levelTokens;
    this.learnedAt = now;
  }

  /** Tokens that the holder probably has. */
  expected(now: number): number {
    const {tokensPerSecond, burstTokens} = this.limits;
    const capacity = burstTokens * this.fraction;
    if (this.learnedAt === -Infinity) return capacity;
    const refilled = ((now - this.learnedAt) / 1_000) * tokensPerSecond;
    return Math.min(capacity, this.levelTokens + refilled * this.fraction);
  }

  /** Tokens that the holder may have for all that is known. */
  potential(now: number): number {
    if (this.isFresh(now)) return this.expected(now);
    return this.limits.burstTokens * this.fraction;
  }

  isFresh(now: number): boolean {
    return now - this.learnedAt < freshMilliseconds;
  }
}
