/**
 * The hosts that this process has ever known. Hosts that are silent or have been
 * forgotten may still send requests, and a host that has just started knows only
 * a part of the fleet.
 */

import type {HostId} from '../ids.js';

export interface KnownHostsParts {
  readonly self: HostId;
  /** Number of other hosts that the settings name. */
  readonly seedCount: () => number;
}

/** Hosts that are remembered. */
const maximumHosts = 1024;

/**
 * Heartbeat intervals without a new host after which the fleet counts as known,
 * and the shortest such time.
 */
const quietHeartbeats = 2;
const minimumQuietMilliseconds = 1000;

/**
 * A host without seeds that hears of no other one takes itself for the only one
 * after this time. In contact, others that list it are heard of much earlier.
 */
const aloneMilliseconds = 10_000;

/** The interval of heartbeats, as `DiscoveredFleet` sends them. */
const heartbeatMilliseconds = 200;
const heartbeatMillisecondsPerHost = 12;

export class KnownHosts {
  private hosts: readonly HostId[];
  private observed: readonly HostId[] = [];
  private grownAt: number;
  private isSettled = false;

  constructor(
    private readonly parts: KnownHostsParts,
    startedAt: number,
  ) {
    this.hosts = [parts.self];
    this.grownAt = startedAt;
  }

  /** Adds the hosts of the current list. A change replaces that array. */
  observe(current: readonly HostId[], now: number): void {
    if (current !== this.observed) {
      this.observed = current;
      const all = new Set([...this.hosts, ...current]);
      if (all.size > this.hosts.length) {
        this.hosts = [...all].slice(0, maximumHosts);
        this.grownAt = now;
      }
    }
    this.isSettled ||= this.hasHeardOfFleet && now >= this.quietAt;
  }

  /** All hosts ever known, including this one. A change replaces the array. */
  get all(): readonly HostId[] {
    return this.hosts;
  }

  /** Number of hosts that the fleet must be assumed to have at least. */
  get assumedCount(): number {
    return Math.max(this.hosts.length, this.parts.seedCount() + 1);
  }

  /**
   * Time until the fleet counts as known, in milliseconds; infinite as long as
   * this host has not heard of any other one that its settings name.
   */
  settlesIn(now: number): number {
    if (this.isSettled) return 0;
    return this.hasHeardOfFleet ? Math.max(0, this.quietAt - now) : Infinity;
  }

  private get hasHeardOfFleet(): boolean {
    return this.hosts.length > 1 || this.parts.seedCount() === 0;
  }

  private get quietAt(): number {
    const interval =
      heartbeatMilliseconds + heartbeatMillisecondsPerHost * this.hosts.length;
    const quiet = this.hosts.length > 1 ? quietHeartbeats * interval : 0;
    const minimum =
      this.hosts.length > 1 ? minimumQuietMilliseconds : aloneMilliseconds;
    return this.grownAt + Math.max(minimum, quiet);
  }
}
