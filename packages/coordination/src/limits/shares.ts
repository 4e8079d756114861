/** Assigns shares of a client account's rate and burst to hosts. */

import type {Member, MembershipDocument} from '../generated/documents.js';
import type {AccountId, FailureDomainId, HostId} from '../ids.js';
import {failureDomainId, hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';

/** Share of one holder. The fractions of an account sum to at most one. */
export interface HolderShare {
  readonly host: HostId;
  readonly failureDomain: FailureDomainId;
  readonly fraction: number;
}

/**
 * Shares of the holders of `account`. The share of a failure domain is
 * proportional to its number of members and split evenly among its holders.
 * While there are previous members, a holder has the smaller of its shares
 * under the two lists.
 */
export function holderShares(
  membership: MembershipDocument | undefined,
  account: AccountId,
  holdersPerDomain: number,
): readonly HolderShare[] {
  if (membership === undefined) return [];
  const {members, previousMembers} = membership.spec;
  const shares = sharesOfMembers(members, account, holdersPerDomain);
  if (previousMembers === undefined) return shares;
  const previous = new Map(
    sharesOfMembers(previousMembers, account, holdersPerDomain).map(share => [
      share.host,
      share.fraction,
    ]),
  );
  return shares
    .map(share => ({
      ...share,
      fraction: Math.min(share.fraction, previous.get(share.host) ?? 0),
    }))
    .filter(share => share.fraction > 0);
}

function sharesOfMembers(
  members: readonly Member[],
  account: AccountId,
  holdersPerDomain: number,
): HolderShare[] {
  return [...groupByDomain(members)].flatMap(([domain, hosts]) => {
    const holders = rankByRendezvous(
      account,
      hosts,
      member => member.host,
    ).slice(0, holdersPerDomain);
    const fraction = hosts.length / members.length / holders.length;
    return holders.map(member => ({
      host: hostId(member.host),
      failureDomain: failureDomainId(domain),
      fraction,
    }));
  });
}

function groupByDomain(members: readonly Member[]): Map<string, Member[]> {
  const groups = new Map<string, Member[]>();
  for (const member of members) {
    const group = groups.get(member.failureDomain);
    if (group === undefined) groups.set(member.failureDomain, [member]);
    else group.push(member);
  }
  return groups;
}
