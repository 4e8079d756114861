/** To whom a host sends heartbeats. */

import {watchersForEachDomain} from '../configuration/distribution-timing.js';
import type {Member} from '../generated/documents.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';

/** Next hosts on the ring of the failure domain: everyone is watched. */
const ringSuccessors = 2;

/** Further hosts of the failure domain, so that news take few steps. */
const shortcuts = 1;

/** Hosts of each failure domain that keep links to other domains. */
const gatewaysForEachDomain = 2;

/** The member that `host` is. */
export function memberOf(
  members: readonly Member[],
  host: HostId,
): Member | undefined {
  return members.find(member => member.host === host);
}

/** Hosts of the own failure domain to send to in each round. */
export function neighboursOf(
  self: HostId,
  domain: string,
  members: readonly Member[],
  isUsable: (host: HostId) => boolean,
): HostId[] {
  const hosts = hostsOf(members, domain);
  const ring = rankByRendezvous(`ring ${domain}`, hosts, host => host);
  const at = ring.indexOf(self);
  const others = [...ring.slice(at + 1), ...ring.slice(0, Math.max(0, at))]
    .filter(host => host !== self)
    .filter(isUsable);
  const successors = others.slice(0, ringSuccessors);
  const rest = others.slice(ringSuccessors);
  const extra = rankByRendezvous(`shortcut ${self}`, rest, host => host);
  return [...successors, ...extra.slice(0, shortcuts)];
}

/** Hosts of other failure domains to send to; none for most hosts. */
export function remotePeersOf(
  self: HostId,
  domain: string,
  members: readonly Member[],
  isUsable: (host: HostId) => boolean,
  round: number,
): HostId[] {
  const isGateway = gatewaysOf(domain, members, host =>
    host === self ? true : isUsable(host),
  ).includes(self);
  if (!isGateway) return [];
  const domains = new Set(members.map(member => member.failureDomain));
  domains.delete(domain);
  return [...domains].map(other => {
    const gateways = gatewaysOf(other, members, isUsable);
    return gateways[round % gateways.length]!;
  });
}

/** The first usable hosts; the first of all when none looks usable. */
function gatewaysOf(
  domain: string,
  members: readonly Member[],
  isUsable: (host: HostId) => boolean,
): HostId[] {
  const hosts = hostsOf(members, domain);
  const ranked = rankByRendezvous(`watch ${domain}`, hosts, host => host);
  const usable = ranked.filter(isUsable);
  const chosen = usable.length > 0 ? usable : ranked;
  // Watchers of the configuration carry enough: the next ones are taken.
  return [
    ...chosen.slice(watchersForEachDomain),
    ...chosen.slice(0, watchersForEachDomain),
  ].slice(0, gatewaysForEachDomain);
}

function hostsOf(members: readonly Member[], domain: string): HostId[] {
  return members
    .filter(member => member.failureDomain === domain)
    .map(member => hostId(member.host));
}
