/** Which hosts watch the platform for their failure domain. */

import type {Member, MembershipDocument} from '../generated/documents.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {failureDomainId, hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Configuration} from './configuration.js';
import {watchersForEachDomain} from './distribution-timing.js';

/** Every member of the lists in force, each host once. */
export function membersOf(configuration: Configuration): Member[] {
  return membersOfDocument(configuration.membership);
}

function membersOfDocument(document: MembershipDocument | undefined): Member[] {
  const {members = [], previousMembers = []} = document?.spec ?? {};
  const byHost = new Map<string, Member>();
  for (const member of [...previousMembers, ...members])
    byHost.set(member.host, member);
  return [...byHost.values()];
}

/** The order in which the hosts of each failure domain watch the platform. */
export class WatcherOrder {
  readonly hosts: readonly HostId[];
  private readonly ranked = new Map<FailureDomainId, HostId[]>();

  constructor(readonly document: MembershipDocument | undefined) {
    const members = membersOfDocument(document);
    this.hosts = members.map(member => hostId(member.host));
    const domains = members.map(member => member.failureDomain).sort();
    for (const domain of new Set(domains)) {
      const hosts = members
        .filter(member => member.failureDomain === domain)
        .map(member => hostId(member.host));
      const ranked = rankByRendezvous(`watch ${domain}`, hosts, host => host);
      this.ranked.set(failureDomainId(domain), ranked);
    }
  }

  /** Failure domains of the members, sorted. */
  get domains(): FailureDomainId[] {
    return [...this.ranked.keys()];
  }

  /** The first hosts of `domain` that look live. */
  watchersOf(
    domain: FailureDomainId,
    isLive: (host: HostId) => boolean,
  ): HostId[] {
    const watchers: HostId[] = [];
    for (const host of this.ranked.get(domain) ?? []) {
      if (watchers.length === watchersForEachDomain) break;
      if (isLive(host)) watchers.push(host);
    }
    return watchers;
  }
}
