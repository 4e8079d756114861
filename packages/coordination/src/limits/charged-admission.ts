/** An admitted request and the sources of its tokens. */

import type {Admission} from './admission.js';
import {InvalidTokensError} from './admission.js';
import type {BorrowedCharge} from './borrowed-tokens.js';

/** Own tokens of a charge, and functions that give unused tokens back. */
export interface TokenSources {
  readonly ownTokens: number;
  readonly refundOwn: (unusedTokens: number) => void;
  readonly returnBorrowedTokens: (
    charge: BorrowedCharge,
    unusedTokens: number,
  ) => void;
}

/** Gives unused tokens back to their sources, own tokens first. */
export class ChargedAdmission implements Admission {
  private isSettled = false;

  constructor(
    readonly chargedTokens: number,
    private readonly borrowedCharges: readonly BorrowedCharge[],
    private readonly sources: TokenSources,
  ) {}

  settle(usedTokens: number): void {
    if (!(Number.isFinite(usedTokens) && usedTokens >= 0))
      throw new InvalidTokensError(usedTokens);
    if (this.isSettled) return;
    this.isSettled = true;
    let remainingTokens = Math.max(0, this.chargedTokens - usedTokens);
    const refundedTokens = Math.min(remainingTokens, this.sources.ownTokens);
    if (refundedTokens > 0) this.sources.refundOwn(refundedTokens);
    remainingTokens -= refundedTokens;
    for (const charge of this.borrowedCharges) {
      const tokens = Math.min(remainingTokens, charge.tokens);
      if (tokens > 0) this.sources.returnBorrowedTokens(charge, tokens);
      remainingTokens -= tokens;
    }
  }
}
