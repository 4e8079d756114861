/** One admitted request and where its tokens came from. */

import type {Admission} from './admission.js';
import {InvalidTokensError} from './admission.js';
import type {BorrowedPart} from './borrowed-tokens.js';

/** Where unused tokens go back to. */
export interface TokenSources {
  readonly ownTokens: number;
  readonly refundOwn: (unusedTokens: number) => void;
  readonly giveBack: (part: BorrowedPart, unusedTokens: number) => void;
}

/** Gives unused tokens back to where they came from, own ones first. */
export class ChargedAdmission implements Admission {
  private isSettled = false;

  constructor(
    readonly chargedTokens: number,
    private readonly parts: readonly BorrowedPart[],
    private readonly sources: TokenSources,
  ) {}

  settle(usedTokens: number): void {
    if (!(Number.isFinite(usedTokens) && usedTokens >= 0))
      throw new InvalidTokensError(usedTokens);
    if (this.isSettled) return;
    this.isSettled = true;
    let unused = Math.max(0, this.chargedTokens - usedTokens);
    const own = Math.min(unused, this.sources.ownTokens);
    if (own > 0) this.sources.refundOwn(own);
    unused -= own;
    for (const part of this.parts) {
      const tokens = Math.min(unused, part.tokens);
      if (tokens > 0) this.sources.giveBack(part, tokens);
      unused -= tokens;
    }
  }
}
