/** Estimates the level of a holder from its last reply. */

import type {HostId} from '../ids.js';
import {levelFreshnessMilliseconds} from './constants.js';

/** Rate and burst of an account over all hosts. */
export interface AccountLimits {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** Estimated tokens of a holder, used to choose holders and amounts. */
export class HolderEstimate {
  private levelTokens = 0;
  private levelReportedAt = -Infinity;

  constructor(
    readonly host: HostId,
    readonly isInOwnDomain: boolean,
    private readonly fraction: number,
    private readonly limits: AccountLimits,
  ) {}

  /** Records the level that the holder reported. */
  recordLevel(levelTokens: number, now: number): void {
    this.levelTokens = levelTokens;
    this.levelReportedAt = now;
  }

  /** Number of tokens that the holder probably has. */
  expectedTokens(now: number): number {
    const {tokensPerSecond, burstTokens} = this.limits;
    const capacity = burstTokens * this.fraction;
    if (this.levelReportedAt === -Infinity) return capacity;
    const refilledTokens =
      ((now - this.levelReportedAt) / 1_000) * tokensPerSecond;
    return Math.min(
      capacity,
      this.levelTokens + refilledTokens * this.fraction,
    );
  }

  /**
   * The expected tokens while the reported level is fresh, otherwise the
   * capacity of the holder.
   */
  maximumTokens(now: number): number {
    if (this.hasFreshLevel(now)) return this.expectedTokens(now);
    return this.limits.burstTokens * this.fraction;
  }

  hasFreshLevel(now: number): boolean {
    return now - this.levelReportedAt < levelFreshnessMilliseconds;
  }
}
