/** Selection of the hosts that a host sends heartbeats to. */

import {watchersPerDomain} from '../configuration/distribution-timing.js';
import type {Member} from '../generated/documents.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';

/**
 * Number of successors on the ring of the failure domain. The ring ensures that
 * every host receives heartbeats.
 */
const ringSuccessorCount = 2;

/** Number of further hosts, which shorten the path of gossip on the ring. */
const shortcutCount = 1;

/**
 * Number of hosts in each failure domain that exchange heartbeats with other
 * domains.
 */
const gatewaysPerDomain = 2;

/** Returns the membership entry of `host`. */
export function memberOf(
  members: readonly Member[],
  host: HostId,
): Member | undefined {
  return members.find(member => member.host === host);
}

/** Returns the hosts of this host's failure domain to send heartbeats to. */
export function localHeartbeatPeers(
  self: HostId,
  domain: string,
  members: readonly Member[],
  isHeartbeatTarget: (host: HostId) => boolean,
): HostId[] {
  const hosts = hostsOf(members, domain);
  const ring = rankByRendezvous(`ring ${domain}`, hosts, host => host);
  const position = ring.indexOf(self);
  const others = [
    ...ring.slice(position + 1),
    ...ring.slice(0, Math.max(0, position)),
  ]
    .filter(host => host !== self)
    .filter(isHeartbeatTarget);
  const successors = others.slice(0, ringSuccessorCount);
  const rest = others.slice(ringSuccessorCount);
  const shortcutHosts = rankByRendezvous(
    `shortcut ${self}`,
    rest,
    host => host,
  );
  return [...successors, ...shortcutHosts.slice(0, shortcutCount)];
}

/**
 * Returns the hosts of other failure domains to send heartbeats to, one in each
 * domain. Only gateways have such peers. `remoteRound` counts the rounds with
 * remote heartbeats, and the gateways of a domain take turns.
 */
export function remoteHeartbeatPeers(
  self: HostId,
  domain: string,
  members: readonly Member[],
  isHeartbeatTarget: (host: HostId) => boolean,
  remoteRound: number,
): HostId[] {
  const isGateway = gatewaysOf(domain, members, host =>
    host === self ? true : isHeartbeatTarget(host),
  ).includes(self);
  if (!isGateway) return [];
  const domains = new Set(members.map(member => member.failureDomain));
  domains.delete(domain);
  return [...domains].map(other => {
    const gateways = gatewaysOf(other, members, isHeartbeatTarget);
    return gateways[remoteRound % gateways.length]!;
  });
}

/**
 * Returns the gateways of `domain`, chosen by rank among the hosts that are not
 * reported dead, or among all hosts when every one is.
 */
function gatewaysOf(
  domain: string,
  members: readonly Member[],
  isHeartbeatTarget: (host: HostId) => boolean,
): HostId[] {
  const hosts = hostsOf(members, domain);
  const ranked = rankByRendezvous(`watch ${domain}`, hosts, host => host);
  const targets = ranked.filter(isHeartbeatTarget);
  const chosen = targets.length > 0 ? targets : ranked;
  // The highest-ranked hosts already watch the platform, so the next ones are
  // preferred as gateways to distribute the load.
  return [
    ...chosen.slice(watchersPerDomain),
    ...chosen.slice(0, watchersPerDomain),
  ].slice(0, gatewaysPerDomain);
}

function hostsOf(members: readonly Member[], domain: string): HostId[] {
  return members
    .filter(member => member.failureDomain === domain)
    .map(member => hostId(member.host));
}
