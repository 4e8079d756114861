/** Selection of the hosts that watch the platform for their failure domain. */

import type {Member, MembershipDocument} from '../generated/documents.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {failureDomainId, hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Configuration} from './configuration.js';
import {watchersPerDomain} from './distribution-timing.js';

/** Returns the members and previous members, each host once. */
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

/** The hosts of each failure domain, ranked by their priority as watchers. */
export class WatcherRanking {
  readonly hosts: readonly HostId[];
  private readonly hostsByDomain = new Map<FailureDomainId, HostId[]>();

  constructor(readonly document: MembershipDocument | undefined) {
    const members = membersOfDocument(document);
    this.hosts = members.map(member => hostId(member.host));
    const domains = members.map(member => member.failureDomain).sort();
    for (const domain of new Set(domains)) {
      const hosts = members
        .filter(member => member.failureDomain === domain)
        .map(member => hostId(member.host));
      const ranked = rankByRendezvous(`watch ${domain}`, hosts, host => host);
      this.hostsByDomain.set(failureDomainId(domain), ranked);
    }
  }

  /** The failure domains of the members, sorted. */
  get domains(): FailureDomainId[] {
    return [...this.hostsByDomain.keys()];
  }

  /** Returns the highest-ranked hosts of `domain` that appear to be live. */
  watchersOf(
    domain: FailureDomainId,
    isLive: (host: HostId) => boolean,
  ): HostId[] {
    const watchers: HostId[] = [];
    for (const host of this.hostsByDomain.get(domain) ?? []) {
      if (watchers.length === watchersPerDomain) break;
      if (isLive(host)) watchers.push(host);
    }
    return watchers;
  }
}
