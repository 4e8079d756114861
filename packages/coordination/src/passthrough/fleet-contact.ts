/**
 * Decides whether this host may use a part of what all hosts may spend together.
 * It may while it, or a host that reports to it, is in contact with most of the
 * seeds: two groups of hosts that are cut off from each other can't both be. Each
 * host learns of the others through the seeds, and counts them.
 */

import type {Clock} from '../clock.js';
import type {FleetShare} from '../decisions/retry-allowance.js';

export interface FleetContactParts {
  readonly clock: Clock;
  /** Address at which this host receives heartbeats. */
  readonly address: () => string;
  /** Addresses that the settings of all hosts name. */
  readonly seeds: () => readonly string[];
  /** Clock time of the last heartbeat from an address; undefined without one. */
  readonly heardAt: (address: string) => number | undefined;
  /** Number of hosts that this one has heard of, including itself. */
  readonly hostCount: () => number;
  /**
   * Whether a host that names no seeds is the only one: there is no other failure
   * domain.
   */
  readonly isAloneWithoutSeeds: boolean;
  /** Window of the limits that are divided. */
  readonly windowMilliseconds: number;
  /** Replaces the time after the start for which this host uses no part. */
  readonly startMilliseconds?: number | undefined;
  /** Called when the kind of the share has changed. */
  readonly onChange?: (share: FleetShare, ageMilliseconds: number) => void;
}

/** Interval of heartbeats, as `DiscoveredFleet` sends them. */
const heartbeatMilliseconds = 200;
const heartbeatMillisecondsPerHost = 12;

/** Heartbeats that may be lost, and their delay, before contact counts as lost. */
const contactHeartbeats = 2;
const contactDelayMilliseconds = 1000;

export class FleetContact {
  private readonly startedAt: number;
  /** Latest time of contact that another host has reported. */
  private reportedAt = -Infinity;
  private lastKind: FleetShare['kind'] | undefined;

  constructor(private readonly parts: FleetContactParts) {
    this.startedAt = parts.clock.now();
  }

  /** Records the age of the contact that another host reports, if it has any. */
  recordPeer(ageMilliseconds: number | undefined): void {
    if (ageMilliseconds === undefined) return;
    const at = this.parts.clock.now() - ageMilliseconds;
    this.reportedAt = Math.max(this.reportedAt, at);
  }

  /** Time since the last contact with most seeds; infinite if there was none. */
  get ageMilliseconds(): number {
    const now = this.parts.clock.now();
    return now - Math.max(this.reportedAt, this.directContactAt(now));
  }

  share(): FleetShare {
    const {clock, windowMilliseconds, onChange} = this.parts;
    const hosts = this.assumedHosts;
    const age = this.ageMilliseconds;
    const contactMilliseconds =
      contactDelayMilliseconds +
      contactHeartbeats *
        (heartbeatMilliseconds + heartbeatMillisecondsPerHost * hosts);
    // Hosts out of contact stop within this time, and what they or earlier processes
    // of this host have spent has then left the window.
    const {startMilliseconds = windowMilliseconds + contactMilliseconds} =
      this.parts;
    const hasStarted = clock.now() - this.startedAt >= startMilliseconds;
    const contactKind = hasStarted ? 'counted' : 'starting';
    const kind = age <= contactMilliseconds ? contactKind : 'detached';
    const share: FleetShare = {kind, hosts};
    if (kind !== this.lastKind) onChange?.(share, age);
    this.lastKind = kind;
    return share;
  }

  private get assumedHosts(): number {
    const {hostCount, seeds, address} = this.parts;
    const named = new Set([...seeds(), address()]).size;
    return Math.max(hostCount(), named);
  }

  /** Time since which a host has heard from most seeds itself, if it has. */
  private directContactAt(now: number): number {
    const {seeds, heardAt, address, isAloneWithoutSeeds} = this.parts;
    const addresses = [...new Set(seeds())];
    if (addresses.length === 0) return isAloneWithoutSeeds ? now : -Infinity;
    const self = address();
    const times = addresses
      .map(seed => (seed === self ? now : (heardAt(seed) ?? -Infinity)))
      .sort((left, right) => right - left);
    return times[Math.floor(addresses.length / 2)]!;
  }
}
