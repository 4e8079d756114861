/** Decides whether callers that a stopping host refuses soon find another host. */

import type {FleetMember} from './fleet-member.js';

/**
 * Part of the other hosts that have to take calls: load balancers choose among those
 * that stop as well until their next readiness checks, and callers give up soon.
 */
const servingFraction = 0.8;

/** A host that takes no calls over is stopping; one that is not live may be gone. */
export function areOthersServing(
  members: readonly Pick<FleetMember, 'isLive' | 'handoverAddress'>[],
): boolean {
  const others = members.filter(({isLive}) => isLive);
  const serving = others.filter(({handoverAddress}) => handoverAddress !== '');
  return (
    serving.length > 0 && serving.length >= servingFraction * others.length
  );
}
