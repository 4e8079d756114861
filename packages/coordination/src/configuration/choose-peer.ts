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
  readonly isFallbackDue: boolean;
}

/**
 * Selects the peer for one of several concurrent long polls. `pollIndex` is the
 * index of the long poll, and `round` counts the polls that it has started.
 *
 * - Before a membership is known, the peer is a seed.
 * - On a watcher, it is a watcher of another failure domain.
 * - Otherwise it is the watcher with this index. While the fallback is due, the
 *   poll alternates between this watcher and any other host, or always uses
 *   another host if there is no watcher with this index.
 *
 * Returns undefined when the poll is not needed.
 */
export function choosePeer(
  state: PeerSelectionState,
  pollIndex: number,
  round: number,
): HostId | undefined {
  const {failureDomain, isLive, ranking, seeds, self} = state;
  if (ranking.document === undefined)
    return chooseOtherHost(seeds, self, pollIndex + round);
  const watchers = ranking.watchersOf(failureDomain, isLive);
  if (watchers.includes(self))
    return chooseRemoteWatcher(state, pollIndex, round);
  const isFallbackDue = state.isFallbackDue;
  if (watchers[pollIndex] !== undefined && !(isFallbackDue && round % 2 === 1))
    return watchers[pollIndex];
  if (!isFallbackDue) return undefined;
  return chooseOtherHost(ranking.hosts, self, pollIndex + round);
}

/**
 * Selects a watcher of another failure domain. A watcher polls one in each
 * other domain, in case its own connection to the platform is stale or down.
 */
function chooseRemoteWatcher(
  {failureDomain, isLive, ranking}: PeerSelectionState,
  pollIndex: number,
  round: number,
): HostId | undefined {
  const others = ranking.domains.filter(each => each !== failureDomain);
  const domain = others[pollIndex];
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
