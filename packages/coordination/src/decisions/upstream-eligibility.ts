/**
 * Decides whether an upstream may serve a call, by its failure domain. Load
 * pattern: an operator evacuates a failure domain under load, so that its calls
 * move to the others at once, and later returns it with cold upstreams; routes and
 * accounts limit their calls to some regions meanwhile.
 */

import {drawByText} from './hash-text.js';

/** Why an upstream may not serve a call. */
export type Exclusion =
  /** The failure domain of the upstream is evacuated. */
  | 'evacuated'
  /** The upstream is in no region that the route and the account allow. */
  | 'region';

export type Eligibility =
  | {readonly kind: 'eligible'}
  | {readonly kind: 'excluded'; readonly reason: Exclusion};

export interface EligibilityQuestion {
  readonly isEvacuated: boolean;
  /** Region of the failure domain; undefined if none is configured. */
  readonly region: string | undefined;
  /** Regions in which the call may be served; undefined if all are allowed. */
  readonly allowedRegions: ReadonlySet<string> | undefined;
}

const eligible: Eligibility = {kind: 'eligible'};

/**
 * Decides for one upstream and one call. A failure domain without a region is in
 * none of the allowed ones.
 */
export function decideEligibility({
  isEvacuated,
  region,
  allowedRegions,
}: EligibilityQuestion): Eligibility {
  const isRegionAllowed =
    allowedRegions === undefined ||
    (region !== undefined && allowedRegions.has(region));
  if (!isRegionAllowed) return {kind: 'excluded', reason: 'region'};
  return isEvacuated ? {kind: 'excluded', reason: 'evacuated'} : eligible;
}

/**
 * Returns the regions that all of the lists allow. An absent list allows every
 * region and an empty one none.
 */
export function intersectRegions(
  lists: readonly (readonly string[] | undefined)[],
): ReadonlySet<string> | undefined {
  const [first, ...others] = lists.filter(list => list !== undefined);
  if (first === undefined) return undefined;
  return new Set(
    first.filter(region => others.every(list => list.includes(region))),
  );
}

/** Upstreams of a pool that a call could use, by their failure domains. */
export interface DomainSize {
  readonly failureDomain: string;
  readonly upstreams: number;
  /** How far the domain has returned to service, from 0 to 1. */
  readonly returnProgress: number;
}

/**
 * Largest part of the calls that may use a returning domain, as a multiple of the
 * domain's part of the upstreams. Above 1, because its empty upstreams attract all
 * calls that may use them until they are as loaded as the others.
 */
const maximumReturnFactor = 2;

/**
 * Returns the failure domains that a call may use while some return from an
 * evacuation. A returning domain may be used by a part of the calls, which grows
 * with the time. The part is chosen by the id of the call, so that a waiting call
 * that is considered again and again is not drawn anew.
 */
export function usableDomainsOf(
  domains: readonly DomainSize[],
  callId: string,
): ReadonlySet<string> {
  const total = domains.reduce((sum, {upstreams}) => sum + upstreams, 0);
  const draw = drawByText(callId);
  const usable = new Set<string>();
  let shareBefore = 0;
  for (const {failureDomain, upstreams, returnProgress} of domains) {
    if (returnProgress >= 1) {
      usable.add(failureDomain);
      continue;
    }
    const part = upstreams / total;
    const share = returnProgress * maximumReturnFactor * part;
    if (draw >= shareBefore && draw < shareBefore + share)
      usable.add(failureDomain);
    shareBefore += share;
  }
  return usable;
}

/**
 * Time over which the calls to a failure domain grow after its evacuation. Its even
 * part is reached after half of it, which is longer than the largest usual
 * first-token target of 2 s: the first calls of an upstream have their first token
 * by then.
 */
export const returnMilliseconds = 6000;

/** Failure domains whose evacuation began or ended. */
export interface EvacuationChange {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
}

/** The evacuated failure domains, and those that return from an evacuation. */
export class Evacuations {
  private evacuated: ReadonlySet<string> = new Set();
  /** Clock times at which evacuations ended, by failure domain. */
  private readonly endedAt = new Map<string, number>();

  get domains(): ReadonlySet<string> {
    return this.evacuated;
  }

  has(failureDomain: string): boolean {
    return this.evacuated.has(failureDomain);
  }

  /** Replaces the set of evacuated failure domains. */
  replace(domains: ReadonlySet<string>, now: number): EvacuationChange {
    const before = this.evacuated;
    const begun = [...domains].filter(domain => !before.has(domain));
    const ended = [...before].filter(domain => !domains.has(domain));
    for (const domain of begun) this.endedAt.delete(domain);
    for (const domain of ended) this.endedAt.set(domain, now);
    this.evacuated = new Set(domains);
    return {begun, ended};
  }

  /** Returns whether a failure domain takes only a part of the calls. */
  isAnyReturning(now: number): boolean {
    for (const [domain, endedAt] of this.endedAt)
      if (now - endedAt >= returnMilliseconds) this.endedAt.delete(domain);
    return this.endedAt.size > 0;
  }

  /** How far a failure domain has returned to service, from 0 to 1. */
  returnProgressOf(failureDomain: string, now: number): number {
    const endedAt = this.endedAt.get(failureDomain);
    if (endedAt === undefined) return 1;
    return Math.min(1, (now - endedAt) / returnMilliseconds);
  }
}
