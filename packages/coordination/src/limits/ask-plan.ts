/** Whom to ask for tokens, and for how many. */

import type {KnownHolder} from './known-holder.js';

/** One holder to ask. */
export interface PlannedAsk {
  readonly holder: KnownHolder;
  readonly tokens: number;
}

/** Tokens that `holders` may have together. */
export function potentialOf(
  holders: readonly KnownHolder[],
  now: number,
): number {
  return holders.reduce((sum, holder) => sum + holder.potential(now), 0);
}

/**
 * Asks as few holders as probably have `tokens`, the fullest first, and only
 * those of the own failure domain where they suffice. What nobody is expected
 * to have is asked of those not heard of lately.
 */
export function planAsks(
  holders: readonly KnownHolder[],
  tokens: number,
  now: number,
): PlannedAsk[] {
  const near = holders.filter(holder => holder.isNear);
  const nearTokens = near.reduce((sum, one) => sum + one.expected(now), 0);
  const fullestFirst = (nearTokens >= tokens ? near : [...holders]).sort(
    (left, right) => right.expected(now) - left.expected(now),
  );
  const parts = new Map<KnownHolder, number>();
  let missing = tokens;
  for (const holder of fullestFirst) {
    const part = Math.min(missing, holder.expected(now));
    if (part <= 0) break;
    parts.set(holder, part);
    missing -= part;
  }
  const stale = fullestFirst.filter(holder => !holder.isFresh(now));
  if (missing > tokens * roundingError)
    for (const holder of stale)
      parts.set(holder, (parts.get(holder) ?? 0) + missing / stale.length);
  return [...parts].map(([holder, part]) => ({holder, tokens: part}));
}

/** Part of a sum that rounding may leave over. */
export const roundingError = 1e-12;
