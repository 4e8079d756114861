/**
 * Membership of hosts that discover each other. Each host sends heartbeats with
 * its state to all known hosts, starting with the seeds of its settings.
 * Heartbeats are datagrams that carry totals, which makes lost, late and
 * repeated ones harmless. A host that leaves sends a leaving heartbeat. A
 * silent host may have crashed or be behind a network partition, and it keeps
 * its share of the limits until it is forgotten.
 */

import type {Clock} from '../clock.js';
import type {DemandReport} from '../decisions/domain-demand.js';
import type {SpeedReport} from '../decisions/upstream-speeds.js';
import type {
  AccountUsage,
  Beat,
  RequestLimitReport,
  SpareRetryReport,
  UpstreamLoad,
} from '../generated/messages/persimmonwick/beat.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {failureDomainId, hostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {QuarantineReport} from './request-quarantine.js';
import type {FleetMember} from './fleet-member.js';

/** Sends heartbeats, and drops those that cannot be sent. */
export interface HeartbeatSender {
  send(address: string, heartbeat: Beat): void;
}

/** State that a host reports about itself. */
export interface LocalState {
  readonly usage: AccountUsage[];
  readonly loads: UpstreamLoad[];
  /** Version of the configuration in force; 0 if there is none. */
  readonly configurationVersion: bigint;
  /** Restore epoch of the platform's store; undefined if it reports none. */
  readonly platformEpoch: number | undefined;
  /** Time since this epoch was learned; infinite for the first one. */
  readonly platformEpochAgeMilliseconds: number;
  /** Evidence about prompt parts that crash engines. */
  readonly quarantine: QuarantineReport;
  readonly requestLimits: RequestLimitReport[];
  /** Address at which this host takes calls over; empty if it takes none. */
  readonly handoverAddress: string;
  /** Pools of which this host can reach no upstream. */
  readonly unreachablePools: string[];
  /** Work done by upstreams; absent where speeds are not shared. */
  readonly speeds?: SpeedReport | undefined;
  /** Work that arrived; absent where failure domains are not chosen. */
  readonly demand?: DemandReport | undefined;
  /** Time since the last contact with most seeds; infinite if there was none. */
  readonly seedContactAgeMilliseconds?: number;
  readonly spareRetries?: SpareRetryReport[];
}

const noSpeeds: SpeedReport = {
  speedKeys: [],
  speedWork: [],
  speedMilliseconds: [],
};

const noDemand: DemandReport = {demandKeys: [], demandWork: []};

/** Ages above this are reported as this. */
const maximumReportedAgeMilliseconds = 1e9;

export type FleetChange =
  | {readonly kind: 'joined'; readonly host: HostId}
  | {readonly kind: 'restarted'; readonly host: HostId}
  | {readonly kind: 'left'; readonly host: HostId}
  | {readonly kind: 'silent'; readonly host: HostId}
  | {readonly kind: 'heard-again'; readonly host: HostId}
  | {readonly kind: 'forgotten'; readonly host: HostId};

export interface DiscoveredFleetParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: HostId;
  /** A later start of the same host has a higher number. */
  readonly incarnation: bigint;
  /** Address at which this host receives heartbeats. */
  readonly address: () => string;
  readonly failureDomain: FailureDomainId;
  readonly seeds: readonly string[];
  readonly sender: HeartbeatSender;
  readonly localState: () => LocalState;
  readonly onHeartbeat: (heartbeat: Beat) => void;
  readonly onChange: (change: FleetChange) => void;
}

interface Peer {
  readonly host: HostId;
  readonly failureDomain: FailureDomainId;
  address: string;
  handoverAddress: string;
  unreachablePools: readonly string[];
  incarnation: bigint;
  sequence: bigint;
  lastHeartbeatAt: number;
  state: 'live' | 'silent';
}

/**
 * Heartbeat interval without peers. Usage of other hosts is known with this
 * delay.
 */
const intervalMilliseconds = 200;

/**
 * Added to the interval for each peer, which bounds the cost of sending in a
 * large fleet.
 */
const intervalMillisecondsPerPeer = 12;

/** Minimum time between two heartbeats when the local state has changed. */
const spacingMilliseconds = 30;

/** Added to this spacing for each peer. */
const spacingMillisecondsPerPeer = 6;

/**
 * Number of datagrams sent at once. More would overflow the queue of a slow
 * link.
 */
const datagramsPerBatch = 8;

/** Time between two batches. */
const batchIntervalMilliseconds = 20;

/** Number of missed heartbeats after which a host counts as silent. */
const silenceThresholdHeartbeats = 6;

/** A host that has been silent for this long is removed from the fleet. */
const forgetAfterMilliseconds = 300_000;

/**
 * Known hosts listed in one heartbeat. Each heartbeat continues where the
 * previous one stopped.
 */
const knownHostsPerHeartbeat = 12;

export class DiscoveredFleet {
  private readonly peers = new Map<HostId, Peer>();
  /** Host that last sent a heartbeat from each address. */
  private readonly hostsByAddress = new Map<string, HostId>();
  /**
   * Addresses that heartbeats of peers list and that have not sent a heartbeat
   * yet, with the time at which they were listed.
   */
  private readonly unconfirmedAddresses = new Map<string, number>();
  /** Incarnations that have left. A late heartbeat must not bring them back. */
  private readonly leftIncarnations = new Map<HostId, bigint>();
  private readonly closing = new AbortController();
  private sequence = 0n;
  private isLeaving = false;
  private isHeartbeatScheduled = false;
  private lastSentAt = -Infinity;
  private nextKnownHost = 0;
  /**
   * Position at which the next broadcast starts. It rotates because otherwise
   * the same host would always be last.
   */
  private nextDestination = 0;
  private heartbeatTask: Promise<void> | undefined;
  private readonly startedAt: number;
  private cachedHosts: readonly HostId[] | undefined;

  constructor(private readonly parts: DiscoveredFleetParts) {
    this.startedAt = parts.clock.now();
  }

  start(): void {
    this.heartbeatTask = this.sendHeartbeats();
  }

  /** Number of known hosts, including this one. */
  get hostCount(): number {
    return this.peers.size + 1;
  }

  /**
   * Number of hosts that this one has heard of, including itself and those that
   * others list and that have not sent a heartbeat yet.
   */
  get assumedHostCount(): number {
    return this.hostCount + this.unconfirmedAddresses.size;
  }

  /** All known hosts, including this one. A change replaces the array. */
  get hosts(): readonly HostId[] {
    this.cachedHosts ??= [this.parts.self, ...this.peers.keys()];
    return this.cachedHosts;
  }

  /** Clock time of the last heartbeat from `address`; undefined without one. */
  heardAt(address: string): number | undefined {
    const host = this.hostsByAddress.get(address);
    return host && this.peers.get(host)?.lastHeartbeatAt;
  }

  /** The known hosts, without this one. */
  members(): FleetMember[] {
    const now = this.parts.clock.now();
    return [...this.peers.values()].map(
      ({state, lastHeartbeatAt, ...member}) => ({
        ...member,
        isLive: state === 'live',
        reportAgeMilliseconds: now - lastHeartbeatAt,
      }),
    );
  }

  /** Number of known hosts that are currently silent. */
  get silentHostCount(): number {
    return [...this.peers.values()].filter(peer => peer.state === 'silent')
      .length;
  }

  /** Sends an additional heartbeat as soon as the minimum spacing allows. */
  scheduleHeartbeat(): void {
    const {clock} = this.parts;
    if (this.isHeartbeatScheduled) return;
    this.isHeartbeatScheduled = true;
    const spacing =
      spacingMilliseconds + spacingMillisecondsPerPeer * this.peers.size;
    const wait = Math.max(0, this.lastSentAt + spacing - clock.now());
    void clock.sleep(wait, this.closing.signal).then(() => {
      this.isHeartbeatScheduled = false;
      if (!this.closing.signal.aborted) void this.broadcast();
    });
  }

  /**
   * Sends a leaving heartbeat to all peers. This host takes no new requests.
   */
  leave(): void {
    this.isLeaving = true;
    const heartbeat = this.createHeartbeat();
    for (const address of this.destinations())
      this.parts.sender.send(address, heartbeat);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.heartbeatTask;
  }

  /** Processes a heartbeat of another host. */
  receive(heartbeat: Beat): void {
    const host = hostId(heartbeat.host);
    if (host === this.parts.self) return;
    for (const {address, host: name} of heartbeat.known)
      if (name !== this.parts.self) this.addUnconfirmedAddress(address);
    if (!this.acceptHeartbeat(host, heartbeat)) return;
    this.unconfirmedAddresses.delete(heartbeat.address);
    this.parts.onHeartbeat(heartbeat);
    if (heartbeat.leaving) this.recordLeave(host, heartbeat.incarnation);
  }

  /** Updates the sender's entry. Returns false for an outdated heartbeat. */
  private acceptHeartbeat(host: HostId, heartbeat: Beat): boolean {
    const {clock, onChange} = this.parts;
    const {incarnation, sequence, address} = heartbeat;
    const {handoverAddress, unreachablePools} = heartbeat;
    if ((this.leftIncarnations.get(host) ?? -1n) >= incarnation) return false;
    const lastHeartbeatAt = clock.now();
    const knownPeer = this.peers.get(host);
    if (knownPeer === undefined) {
      const state = 'live' as const;
      const peer = {
        host,
        failureDomain: failureDomainId(heartbeat.failureDomain),
        address,
        handoverAddress,
        unreachablePools,
        incarnation,
        sequence,
        lastHeartbeatAt,
        state,
      };
      this.peers.set(host, peer);
      this.cachedHosts = undefined;
      this.hostsByAddress.set(address, host);
      onChange({kind: 'joined', host});
      this.sendReply(address);
      return true;
    }
    if (incarnation < knownPeer.incarnation) return false;
    const isRestarted = incarnation > knownPeer.incarnation;
    if (!isRestarted && sequence <= knownPeer.sequence) return false;
    if (isRestarted) {
      onChange({kind: 'restarted', host});
      this.sendReply(address);
    } else if (knownPeer.state === 'silent')
      onChange({kind: 'heard-again', host});
    if (knownPeer.address !== address) {
      this.forgetAddress(knownPeer);
      this.hostsByAddress.set(address, host);
    }
    Object.assign(knownPeer, {
      address,
      handoverAddress,
      unreachablePools,
      incarnation,
      sequence,
      lastHeartbeatAt,
    });
    knownPeer.state = 'live';
    return true;
  }

  private recordLeave(host: HostId, incarnation: bigint): void {
    this.leftIncarnations.set(host, incarnation);
    if (this.removePeer(host)) this.parts.onChange({kind: 'left', host});
  }

  private removePeer(host: HostId): boolean {
    const peer = this.peers.get(host);
    if (peer === undefined) return false;
    this.forgetAddress(peer);
    this.cachedHosts = undefined;
    return this.peers.delete(host);
  }

  /** Another host may have taken over the address meanwhile. */
  private forgetAddress({host, address}: Peer): void {
    if (this.hostsByAddress.get(address) === host)
      this.hostsByAddress.delete(address);
  }

  /**
   * Sends the state of this host to one that has just started and does not know
   * it yet. The others learn of that host from regular heartbeats.
   */
  private sendReply(address: string): void {
    this.parts.sender.send(address, this.createHeartbeat());
  }

  private addUnconfirmedAddress(address: string): void {
    if (!this.hostsByAddress.has(address) && address !== this.parts.address())
      this.unconfirmedAddresses.set(address, this.parts.clock.now());
  }

  private async sendHeartbeats(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      this.expireSilentHosts();
      void this.broadcast();
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(this.heartbeatIntervalMilliseconds() * jitter, signal);
    }
  }

  private heartbeatIntervalMilliseconds(): number {
    return intervalMilliseconds + intervalMillisecondsPerPeer * this.peers.size;
  }

  private expireSilentHosts(): void {
    const {clock, onChange} = this.parts;
    const now = clock.now();
    for (const peer of [...this.peers.values()]) {
      const silence = now - peer.lastHeartbeatAt;
      if (silence > forgetAfterMilliseconds) {
        this.removePeer(peer.host);
        onChange({kind: 'forgotten', host: peer.host});
      } else if (
        peer.state === 'live' &&
        silence >
          silenceThresholdHeartbeats * this.heartbeatIntervalMilliseconds()
      ) {
        peer.state = 'silent';
        onChange({kind: 'silent', host: peer.host});
      }
    }
    for (const [address, listedAt] of [...this.unconfirmedAddresses])
      if (
        now - listedAt >
        silenceThresholdHeartbeats * this.heartbeatIntervalMilliseconds()
      )
        this.unconfirmedAddresses.delete(address);
  }

  /** Sends one heartbeat to all destinations, in batches. */
  private async broadcast(): Promise<void> {
    const {clock, sender} = this.parts;
    const {signal} = this.closing;
    this.lastSentAt = clock.now();
    const heartbeat = this.createHeartbeat();
    const all = this.destinations();
    const start = all.length > 0 ? this.nextDestination % all.length : 0;
    this.nextDestination = start + datagramsPerBatch;
    const rotated = [...all.slice(start), ...all.slice(0, start)];
    for (let sent = 0; sent < rotated.length; sent += datagramsPerBatch) {
      if (sent > 0) await clock.sleep(batchIntervalMilliseconds, signal);
      if (signal.aborted) return;
      for (const address of rotated.slice(sent, sent + datagramsPerBatch))
        sender.send(address, heartbeat);
    }
  }

  /**
   * Addresses that receive heartbeats: known hosts, seeds, and addresses listed
   * by peers.
   */
  private destinations(): string[] {
    const {seeds, address: ownAddress} = this.parts;
    const all = new Set([...this.peers.values()].map(({address}) => address));
    for (const address of [...seeds, ...this.unconfirmedAddresses.keys()])
      all.add(address);
    all.delete(ownAddress());
    return [...all];
  }

  private createHeartbeat(): Beat {
    const {self, incarnation, failureDomain, localState} = this.parts;
    this.sequence += 1n;
    const {
      usage,
      loads,
      quarantine,
      requestLimits,
      handoverAddress,
      unreachablePools,
      speeds = noSpeeds,
      demand = noDemand,
      seedContactAgeMilliseconds = Infinity,
      spareRetries = [],
      ...platform
    } = localState();
    return {
      host: self,
      incarnation,
      ageMilliseconds: BigInt(
        Math.round(this.parts.clock.now() - this.startedAt),
      ),
      sequence: this.sequence,
      address: this.parts.address(),
      failureDomain,
      leaving: this.isLeaving,
      usage,
      loads,
      known: this.nextKnownHosts(),
      ...quarantine,
      requestLimits,
      streamOrigin: undefined,
      handoverAddress,
      unreachablePools,
      ...speeds,
      ...demand,
      spareRetries,
      retryLoan: undefined,
      seedContactAgeMilliseconds:
        seedContactAgeMilliseconds > maximumReportedAgeMilliseconds
          ? undefined
          : Math.ceil(seedContactAgeMilliseconds),
      configurationVersion: platform.configurationVersion,
      platformEpoch: BigInt(platform.platformEpoch ?? 0),
      platformEpochAgeMilliseconds: BigInt(
        Math.floor(
          Math.min(
            platform.platformEpochAgeMilliseconds,
            maximumReportedAgeMilliseconds,
          ),
        ),
      ),
    };
  }

  private nextKnownHosts(): Beat['known'] {
    const live = [...this.peers.values()].filter(peer => peer.state === 'live');
    const count = Math.min(knownHostsPerHeartbeat, live.length);
    const chosen = Array.from(
      {length: count},
      (_, index) => live[(this.nextKnownHost + index) % live.length]!,
    );
    this.nextKnownHost =
      live.length > 0 ? (this.nextKnownHost + count) % live.length : 0;
    return chosen.map(({host, address, incarnation}) => ({
      host,
      address,
      incarnation,
    }));
  }
}
