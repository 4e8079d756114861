/** Selection of the peers that a host long-polls for configuration changes. */

import type {FailureDomainId, HostId} from '../ids.js';
import type {WatcherRanking} from './watcher-selection.js';

/** The state of the host that the selection depends on. */
export interface PeerSelectionState {
  readonly ranking: WatcherRanking;
  readonly self: HostId;
  readonly failureDomain: FailureDomainId;
  readonly seeds: readonly HostId[];
  readonly isLive: (host: HostId) => boolean;
  readonly areWatchersUnresponsive: boolean;
}

/**
 * Selects the peer for one of several concurrent long polls: a watcher of the
 * failure domain, or any peer in every other round while no watcher answers.
 */
export function choosePeer(
  state: PeerSelectionState,
  slot: number,
  round: number,
): HostId | undefined {
  const {failureDomain, isLive, ranking, seeds, self} = state;
  if (ranking.document === undefined)
    return chooseOtherHost(seeds, self, slot + round);
  const watchers = ranking.watchersOf(failureDomain, isLive);
  if (watchers.includes(self)) return chooseRemoteWatcher(state, slot, round);
  const isUnresponsive = state.areWatchersUnresponsive;
  if (watchers[slot] !== undefined && !(isUnresponsive && round % 2 === 1))
    return watchers[slot];
  if (!isUnresponsive) return undefined;
  return chooseOtherHost(ranking.hosts, self, slot + round);
}

/**
 * Selects a watcher of another failure domain. A watcher polls one in each
 * other domain, in case its own connection to the platform is stale or down.
 */
function chooseRemoteWatcher(
  {failureDomain, isLive, ranking}: PeerSelectionState,
  slot: number,
  round: number,
): HostId | undefined {
  const others = ranking.domains.filter(each => each !== failureDomain);
  const domain = others[slot];
  if (domain === undefined) return undefined;
  const watchers = ranking.watchersOf(domain, isLive);
  return watchers[round % watchers.length];
}

function chooseOtherHost(
  hosts: readonly HostId[],
  self: HostId,
  index: number,
): HostId | undefined {
  const others = hosts.filter(host => host !== self);
  return others[index % others.length];
}
