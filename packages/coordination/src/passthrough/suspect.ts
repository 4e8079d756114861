/** What is known about a trait of requests that may crash upstreams. */

import type {UpstreamLoss} from './upstream-loss.js';

/**
 * Lost upstreams after which a trait is quarantined, if the first and the last loss
 * are far enough apart. Upstreams that are lost at once may have another cause in
 * common.
 */
const quarantineLosses = 2;
const separateLossesMilliseconds = 150;

/**
 * More losses than this may be one wide failure, which hosts notice within this
 * time of each other.
 */
const maximumSeparateLosses = 4;
const wideFailureMilliseconds = 1000;

/**
 * Losses after which a trait is quarantined although they were simultaneous, if
 * nothing else may be their cause.
 */
const simultaneousQuarantineLosses = 8;

/** Duration of a quarantine after the last loss. */
export const quarantineMilliseconds = 600_000;

export interface Suspect {
  readonly losses: UpstreamLoss[];
  lastLossAt: number;
  /**
   * Other traits that may be the cause instead, because they were in all losses.
   * A request without one of them is still forwarded: its outcome tells them
   * apart. Each observation can only remove entries.
   */
  companions: string[];
  areCompanionsKnown: boolean;
  /** Whether the losses were enough; kept after the quarantine has lapsed. */
  isConvicted: boolean;
  isQuarantined: boolean;
}

export function newSuspect(): Suspect {
  return {
    losses: [],
    lastLossAt: -Infinity,
    companions: [],
    areCompanionsKnown: false,
    isConvicted: false,
    isQuarantined: false,
  };
}

export function restrictCompanions(
  suspect: Suspect,
  companions: readonly string[],
): void {
  suspect.companions = suspect.areCompanionsKnown
    ? suspect.companions.filter(each => companions.includes(each))
    : [...companions];
  suspect.areCompanionsKnown = true;
}

/** Removes the losses until `time`. They are in the order of their times. */
export function removeBefore(losses: UpstreamLoss[], time: number): void {
  while (losses.length > 0 && losses[0]!.at <= time) losses.shift();
}

/**
 * `losses` are in the order of their times. `hasAlternative` says whether
 * another trait was in one of them.
 */
export function areEnough(
  losses: readonly UpstreamLoss[],
  hasAlternative: () => boolean,
): boolean {
  const {length} = losses;
  if (length < quarantineLosses) return false;
  const span = losses.at(-1)!.at - losses[0]!.at;
  const separation =
    length > maximumSeparateLosses
      ? wideFailureMilliseconds
      : separateLossesMilliseconds;
  if (span >= separation) return true;
  return length >= simultaneousQuarantineLosses && !hasAlternative();
}

export function remainingOf({lastLossAt}: Suspect, now: number): number {
  return lastLossAt + quarantineMilliseconds - now;
}

export function ageOf({lastLossAt}: Suspect, now: number): number {
  return Math.max(0, Math.round(now - lastLossAt));
}
