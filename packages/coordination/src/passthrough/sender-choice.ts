/**
 * Chooses the hosts that may send requests to an upstream. A large fleet can't
 * hold to a small limit if each host sends a request now and then.
 */

import type {HostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';

/** Upstreams whose choice is remembered. */
const maximumChoices = 4096;

export class SenderChoice {
  /** Valid for one array of hosts. */
  private choices = new Map<string, boolean>();
  private cachedHosts: readonly HostId[] = [];

  constructor(private readonly self: HostId) {}

  /**
   * Returns whether this host is among the first `maximumSenders` of `hosts` for
   * an upstream. A change of the hosts must replace the array.
   */
  isSender(
    upstream: string,
    hosts: readonly HostId[],
    maximumSenders: number,
  ): boolean {
    if (hosts.length <= maximumSenders) return true;
    const isFull = this.choices.size >= maximumChoices;
    if (hosts !== this.cachedHosts || isFull) {
      this.cachedHosts = hosts;
      this.choices = new Map();
    }
    const key = `${upstream} ${maximumSenders}`;
    const known = this.choices.get(key);
    if (known !== undefined) return known;
    const isSender = rankByRendezvous(upstream, hosts, host => host)
      .slice(0, maximumSenders)
      .includes(this.self);
    this.choices.set(key, isSender);
    return isSender;
  }
}
