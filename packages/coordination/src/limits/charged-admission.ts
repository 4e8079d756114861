/** An admitted request and the sources of its tokens. */

import type {Admission} from './admission.js';
import {InvalidTokensError} from './admission.js';
import type {BorrowedPart} from './borrowed-tokens.js';

/** Own tokens of a charge, and functions that return unused tokens. */
export interface TokenSources {
  readonly ownTokens: number;
  readonly refundOwn: (unusedTokens: number) => void;
  readonly returnBorrowedTokens: (
    part: BorrowedPart,
    unusedTokens: number,
  ) => void;
}

/** Returns unused tokens to their sources, own tokens first. */
export class ChargedAdmission implements Admission {
  private isSettled = false;

  constructor(
    readonly chargedTokens: number,
    private readonly borrowedParts: readonly BorrowedPart[],
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
    for (const part of this.borrowedParts) {
      const tokens = Math.min(remainingTokens, part.tokens);
      if (tokens > 0) this.sources.returnBorrowedTokens(part, tokens);
      remainingTokens -= tokens;
    }
  }
}
