/** Which peer a host keeps a question open to. */

import type {FailureDomainId, HostId} from '../ids.js';
import type {WatcherOrder} from './watcher-selection.js';

/** What the choice depends on. */
export interface PeerChoice {
  readonly order: WatcherOrder;
  readonly self: HostId;
  readonly failureDomain: FailureDomainId;
  readonly seeds: readonly HostId[];
  readonly isLive: (host: HostId) => boolean;
  readonly areWatchersSilent: boolean;
}

/**
 * The peer of one of several open questions: a watcher of the failure domain,
 * or any peer in every other round while no watcher answers.
 */
export function choosePeer(
  choice: PeerChoice,
  slot: number,
  round: number,
): HostId | undefined {
  const {failureDomain, isLive, order, seeds, self} = choice;
  if (order.document === undefined) return pickOther(seeds, self, slot + round);
  const watchers = order.watchersOf(failureDomain, isLive);
  if (watchers.includes(self)) return chooseRemotePeer(choice, slot, round);
  const isSilent = choice.areWatchersSilent;
  if (watchers[slot] !== undefined && !(isSilent && round % 2 === 1))
    return watchers[slot];
  if (!isSilent) return undefined;
  return pickOther(order.hosts, self, slot + round);
}

/**
 * A watcher asks one watcher of each other failure domain, in case its own
 * reader of the platform is behind or down.
 */
function chooseRemotePeer(
  {failureDomain, isLive, order}: PeerChoice,
  slot: number,
  round: number,
): HostId | undefined {
  const others = order.domains.filter(each => each !== failureDomain);
  const domain = others[slot];
  if (domain === undefined) return undefined;
  const watchers = order.watchersOf(domain, isLive);
  return watchers[round % watchers.length];
}

function pickOther(
  hosts: readonly HostId[],
  self: HostId,
  at: number,
): HostId | undefined {
  const others = hosts.filter(host => host !== self);
  return others[at % others.length];
}
