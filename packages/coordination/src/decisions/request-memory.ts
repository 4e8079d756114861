/**
 * How much of the bodies of requests a process holds, and which body is given up when
 * others wait for memory.
 *
 * Load pattern: many callers send large bodies at once, and some of them stop short of
 * the end and stay connected. Each body is bounded, and their sum is not.
 */

/** Bytes of a body that are received before more memory is granted for it. */
export const smallGrantBytes = 16 * 1024;

/** Part of the budget that bodies above `smallGrantBytes` leave to smaller ones. */
const smallFraction = 0.25;

/** Growth of the memory for a body whose length is not known. */
const growthFactor = 4;

/** Checks without progress after which a body is given up if others wait. */
const maximumIdleChecks = 5;

/** Checks that a body waits for memory before it is refused. */
const maximumWaitingChecks = 10;

/** Memory that is set aside for bodies, whether received or not. */
export interface GrantedTotal {
  readonly budgetBytes: number;
  readonly smallBytes: number;
  readonly largeBytes: number;
}

export interface GrantedBody {
  readonly grantedBytes: number;
  /** The length of the body, or the largest that is accepted. */
  readonly largestBytes: number;
  readonly hasLength: boolean;
}

/** A body that is not complete. */
export interface OpenBody {
  /** Checks since it got the memory that it waits for, or made progress. */
  readonly idleChecks: number;
  /** Clock time of the last progress, in milliseconds. */
  readonly progressAt: number;
}

export type BodySize = 'small' | 'large';

/** The part of the budget from which memory is granted. */
export function sizeOf(grantedBytes: number): BodySize {
  return grantedBytes > smallGrantBytes ? 'large' : 'small';
}

/**
 * Returns the memory that the body needs next, in all. A body with a length gets
 * memory to its end, so that bodies which are received can all be completed.
 */
export function nextGrantOf({
  grantedBytes,
  largestBytes,
  hasLength,
}: GrantedBody): number {
  if (grantedBytes < smallGrantBytes)
    return Math.min(largestBytes, smallGrantBytes);
  return hasLength
    ? largestBytes
    : Math.min(largestBytes, grantedBytes * growthFactor);
}

/** Returns whether `nextBytes` may be set aside for a body in place of its grant. */
export function canGrant(
  {budgetBytes, smallBytes, largeBytes}: GrantedTotal,
  grantedBytes: number,
  nextBytes: number,
): boolean {
  const size = sizeOf(nextBytes);
  const others = {small: smallBytes, large: largeBytes};
  others[sizeOf(grantedBytes)] -= grantedBytes;
  // A body of any accepted size is received while there is no other one.
  if (others[size] === 0) return true;
  const largest = budgetBytes * (size === 'large' ? 1 - smallFraction : 1);
  return (
    others[size] + nextBytes <= largest &&
    others.small + others.large + nextBytes <= budgetBytes
  );
}

/**
 * Returns the body to give up so that another one need not wait: the one without
 * progress for longest.
 */
export function chooseStalled<Body extends OpenBody>(
  receiving: Iterable<Body>,
): Body | undefined {
  let chosen: Body | undefined;
  for (const body of receiving) {
    if (body.idleChecks < maximumIdleChecks) continue;
    if (chosen === undefined || body.progressAt < chosen.progressAt)
      chosen = body;
  }
  return chosen;
}

/** Returns whether a body that waits for memory is refused. */
export function isWaitOver({idleChecks}: OpenBody): boolean {
  return idleChecks >= maximumWaitingChecks;
}
