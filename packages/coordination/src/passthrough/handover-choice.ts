/**
 * Decides whether a call is handed over to another host, and to which. Load
 * pattern: a host loses its links to all upstreams of a pool while callers keep
 * coming to it, on open connections and on new ones.
 */

import type {FailureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {FleetMember} from './fleet-member.js';
import {minBy} from './min-by.js';

/**
 * A host outside of the preferred failure domain is treated as having this many
 * more calls of this host, because links between domains are limited.
 */
const remoteDomainPenaltyCalls = 2;

export interface HandoverQuestion {
  /** Pools to which the call may go. */
  readonly pools: readonly string[];
  readonly members: readonly FleetMember[];
  /** Hosts that have refused the call. */
  readonly triedHosts: ReadonlySet<string>;
  /** Domain that the decision on failure domains names for the call. */
  readonly preferredDomain: string;
  /** Whether the call may be handed over to a host in a failure domain. */
  readonly isEligibleDomain: (failureDomain: FailureDomainId) => boolean;
  /** Calls of this host that a host handles at present. */
  readonly callsAt: (member: FleetMember) => number;
}

/** Chooses the host that takes a call over; undefined if none can. */
export function chooseHandoverHost(
  {
    pools,
    members,
    triedHosts,
    preferredDomain,
    isEligibleDomain,
    callsAt,
  }: HandoverQuestion,
  random: RandomSource,
): FleetMember | undefined {
  const candidates = members.filter(
    ({host, failureDomain, isLive, handoverAddress, unreachablePools}) =>
      isLive &&
      isEligibleDomain(failureDomain) &&
      handoverAddress !== '' &&
      !triedHosts.has(host) &&
      !pools.some(pool => unreachablePools.includes(pool)),
  );
  return minBy(candidates, member => {
    const isRemote = member.failureDomain !== preferredDomain;
    const penalty = isRemote ? remoteDomainPenaltyCalls : 0;
    return callsAt(member) + penalty + random.next();
  });
}
