/** Which hosts watch the platform for their failure domain. */

import type {Member} from '../generated/documents.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Configuration} from './configuration.js';
import {watchersForEachDomain} from './distribution-timing.js';

/** Every member of the lists in force, each host once. */
export function membersOf(configuration: Configuration): Member[] {
  const spec = configuration.membership?.spec;
  const members = new Map<string, Member>();
  for (const member of [
    ...(spec?.previousMembers ?? []),
    ...(spec?.members ?? []),
  ])
    members.set(member.host, member);
  return [...members.values()];
}

/** The first hosts of `domain` by rendezvous that look live. */
export function watchersOf(
  configuration: Configuration,
  domain: FailureDomainId,
  isLikelyLive: (host: HostId) => boolean,
): HostId[] {
  const hosts = membersOf(configuration)
    .filter(member => member.failureDomain === domain)
    .map(member => hostId(member.host));
  return rankByRendezvous(`watch ${domain}`, hosts, host => host)
    .filter(isLikelyLive)
    .slice(0, watchersForEachDomain);
}

/** Failure domains of the members, sorted. */
export function domainsOf(configuration: Configuration): FailureDomainId[] {
  const domains = membersOf(configuration).map(member => member.failureDomain);
  return [...new Set(domains)].sort() as FailureDomainId[];
}
