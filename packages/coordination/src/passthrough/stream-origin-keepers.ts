/**
 * Selection of the hosts that keep the origin of a stream. Each host computes the
 * same ranking without messages. Keepers in the host's own failure domain answer
 * while that domain is cut off, those in others after it is lost.
 */

import type {FailureDomainId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {FleetMember} from './fleet-member.js';

const keepersInOwnDomain = 2;
const otherDomainsWithKeepers = 2;
const keepersInOtherDomain = 1;

/**
 * Hosts that are asked in each failure domain. One more than the keepers, because
 * hosts may differ in which of them they believe to be live.
 */
const askedInEachDomain = 2;

/** Hosts that a host in `ownDomain` tells of the stream `key`. */
export function keepersOf(
  key: string,
  members: readonly FleetMember[],
  ownDomain: FailureDomainId,
): FleetMember[] {
  const otherDomains = rankDomains(key, members)
    .filter(domain => domain !== ownDomain)
    .slice(0, otherDomainsWithKeepers);
  return [
    ...rankMembers(key, members, ownDomain).slice(0, keepersInOwnDomain),
    ...otherDomains.flatMap(domain =>
      rankMembers(key, members, domain).slice(0, keepersInOtherDomain),
    ),
  ];
}

/**
 * Hosts that a host in `ownDomain` asks for the stream `key`. The failure domain
 * in which it began is not known: one more domain than there are keepers in other
 * domains is asked, which finds these whatever that domain is.
 */
export function likelyKeepersOf(
  key: string,
  members: readonly FleetMember[],
  ownDomain: FailureDomainId,
): FleetMember[] {
  const domains = new Set([
    ownDomain,
    ...rankDomains(key, members).slice(0, otherDomainsWithKeepers + 1),
  ]);
  return [...domains].flatMap(domain =>
    rankMembers(key, members, domain).slice(0, askedInEachDomain),
  );
}

function rankDomains(
  key: string,
  members: readonly FleetMember[],
): FailureDomainId[] {
  const domains = new Set(members.map(({failureDomain}) => failureDomain));
  return rankByRendezvous(key, [...domains], domain => domain);
}

/** Ranks the members in a failure domain, live ones first. */
function rankMembers(
  key: string,
  members: readonly FleetMember[],
  domain: FailureDomainId,
): FleetMember[] {
  const ranked = rankByRendezvous(
    key,
    members.filter(({failureDomain}) => failureDomain === domain),
    ({host}) => host,
  );
  return [
    ...ranked.filter(({isLive}) => isLive),
    ...ranked.filter(({isLive}) => !isLive),
  ];
}
