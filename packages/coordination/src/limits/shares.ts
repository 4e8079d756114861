/** Who holds which part of a client account's rate and burst. */

import type {Member, MembershipDocument} from '../generated/documents.js';
import type {AccountId, FailureDomainId, HostId} from '../ids.js';
import {failureDomainId, hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';

/** One holder's part; the fractions of an account add up to at most one. */
export interface HolderShare {
  readonly host: HostId;
  readonly failureDomain: FailureDomainId;
  readonly fraction: number;
}

/**
 * Holders of `account`. A failure domain's part goes by its number of members
 * and is split evenly over its holders. While there are previous members, a
 * holder has the smaller of its two parts.
 */
export function holderShares(
  membership: MembershipDocument | undefined,
  account: AccountId,
  holdersPerDomain: number,
): readonly HolderShare[] {
  if (membership === undefined) return [];
  const {members, previousMembers} = membership.spec;
  const shares = sharesOfList(members, account, holdersPerDomain);
  if (previousMembers === undefined) return shares;
  const previous = new Map(
    sharesOfList(previousMembers, account, holdersPerDomain).map(share => [
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

function sharesOfList(
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
