/** Divides an amount of tokens into grant requests to holders of an account. */

import type {HolderEstimate} from './holder-estimate.js';

/** Tokens to request from one holder. */
export interface PlannedGrantRequest {
  readonly holder: HolderEstimate;
  readonly tokens: number;
}

/** Tokens that `holders` may have together. */
export function totalMaximumTokens(
  holders: readonly HolderEstimate[],
  now: number,
): number {
  return holders.reduce((sum, holder) => sum + holder.maximumTokens(now), 0);
}

/**
 * Plans requests to as few holders as are expected to have `tokens`, those with
 * the most tokens first, and only to holders in the own failure domain if these
 * suffice. The rest that no holder is expected to have is split evenly among
 * the holders without a fresh level.
 */
export function planGrantRequests(
  holders: readonly HolderEstimate[],
  tokens: number,
  now: number,
): PlannedGrantRequest[] {
  const ownDomain = holders.filter(holder => holder.isInOwnDomain);
  const ownDomainTokens = ownDomain.reduce(
    (sum, holder) => sum + holder.expectedTokens(now),
    0,
  );
  const fullestFirst = (
    ownDomainTokens >= tokens ? ownDomain : [...holders]
  ).sort((left, right) => right.expectedTokens(now) - left.expectedTokens(now));
  const parts = new Map<HolderEstimate, number>();
  let missing = tokens;
  for (const holder of fullestFirst) {
    const part = Math.min(missing, holder.expectedTokens(now));
    if (part <= 0) break;
    parts.set(holder, part);
    missing -= part;
  }
  const stale = fullestFirst.filter(holder => !holder.hasFreshLevel(now));
  if (missing > tokens * roundingError)
    for (const holder of stale)
      parts.set(holder, (parts.get(holder) ?? 0) + missing / stale.length);
  return [...parts].map(([holder, part]) => ({holder, tokens: part}));
}

/** Part of a sum that rounding may leave over. */
export const roundingError = 1e-12;
