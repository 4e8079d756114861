/** What is known about a trait of requests that may crash upstreams. */

import {isSameLoss} from './upstream-loss.js';
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
const quarantineMilliseconds = 600_000;

/**
 * Factor by which each loss after a quarantine has lapsed prolongs the next one.
 * A trait that still comes and still crashes upstreams costs one for each lapse.
 */
const renewalFactor = 2;

/**
 * Time for which a quarantine lasts longer at hosts that did not see the last loss.
 * The first request after a lapse is then sent by one host, whose observation
 * reaches the others before they send one as well.
 */
const othersMarginMilliseconds = 30_000;

/** Renewals that prolong a quarantine. The longest one lasts for 80 minutes. */
const maximumRenewals = 3;

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
  /** Losses that followed after a quarantine had lapsed. */
  renewals: number;
  /** Whether this host saw the last loss. */
  isLastLossOwn: boolean;
}

export function newSuspect(): Suspect {
  return {
    losses: [],
    lastLossAt: -Infinity,
    companions: [],
    areCompanionsKnown: false,
    isConvicted: false,
    isQuarantined: false,
    renewals: 0,
    isLastLossOwn: false,
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

/** Records a loss, which renews a quarantine that has lapsed. */
export function recordLossAt(suspect: Suspect, loss: UpstreamLoss): void {
  const {isConvicted, lastLossAt, renewals, losses} = suspect;
  if (loss.at < lastLossAt) return;
  if (isConvicted && loss.at >= lastLossAt + durationAfter(renewals))
    recordRenewals(suspect, renewals + 1);
  // The report of another host on a loss that this one saw is later by its transit.
  const isKnown = losses.some(known => isSameLoss(known, loss));
  if (loss.isOwn || !isKnown) suspect.isLastLossOwn = loss.isOwn;
  suspect.lastLossAt = loss.at;
}

/** Adopts the renewals that another host knows. */
export function recordRenewals(suspect: Suspect, renewals: number): void {
  suspect.renewals = Math.min(
    maximumRenewals,
    Math.max(suspect.renewals, renewals),
  );
}

export function remainingOf(
  {lastLossAt, renewals, isLastLossOwn}: Suspect,
  now: number,
): number {
  const margin = isLastLossOwn ? 0 : othersMarginMilliseconds;
  return lastLossAt + durationAfter(renewals) + margin - now;
}

function durationAfter(renewals: number): number {
  return quarantineMilliseconds * renewalFactor ** renewals;
}

export function ageOf({lastLossAt}: Suspect, now: number): number {
  return Math.max(0, Math.round(now - lastLossAt));
}
