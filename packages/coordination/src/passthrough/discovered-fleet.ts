/**
 * Hosts that find each other. Each host sends its state to all others that it
 * knows, beginning with the seeds of its settings, as datagrams of totals: a
 * lost, late or repeated one does no harm. A host that leaves says so; one that
 * falls silent may have died or be cut off, and keeps its share for long.
 */

import type {Clock} from '../clock.js';
import type {
  AccountUsage,
  Beat,
  UpstreamLoad,
} from '../generated/messages/persimmonwick/beat.js';
import type {FailureDomainId, HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {RandomSource} from '../random.js';

/** Sends beats; what can't be sent is dropped. */
export interface HeartbeatSender {
  send(address: string, beat: Beat): void;
}

/** What a host tells of itself. */
export interface LocalState {
  readonly usage: AccountUsage[];
  readonly loads: UpstreamLoad[];
}

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
  /** Later starts of the same host have higher numbers. */
  readonly incarnation: bigint;
  /** Address at which this host receives beats. */
  readonly address: () => string;
  readonly failureDomain: FailureDomainId;
  readonly seeds: readonly string[];
  readonly sender: HeartbeatSender;
  readonly localState: () => LocalState;
  readonly onHeartbeat: (beat: Beat) => void;
  readonly onChange: (change: FleetChange) => void;
}

interface Peer {
  readonly host: HostId;
  address: string;
  incarnation: bigint;
  sequence: bigint;
  heardAt: number;
  state: 'live' | 'silent';
}

/** Beats of a small fleet; what others admitted is known that much later. */
const beatMilliseconds = 200;

/** Added for each peer, so that sending costs the same in a large fleet. */
const beatMillisecondsForEachPeer = 12;

/** Shortest time between two beats, for news that others wait for. */
const newsMilliseconds = 30;

/** Added for each peer. */
const newsMillisecondsForEachPeer = 6;

/** Datagrams sent at once; more overflow the queue of a slow link. */
const datagramsAtOnce = 8;

/** Time between such groups. */
const groupMilliseconds = 20;

/** Beats that may be lost before a host counts as silent. */
const silentBeats = 6;

/** A host that was silent for so long is not waited for any more. */
const forgetMilliseconds = 300_000;

/** Known hosts named in one beat; each beat names the next ones. */
const knownInBeat = 12;

export class DiscoveredFleet {
  private readonly peers = new Map<HostId, Peer>();
  /** Addresses that were named but not heard of yet. */
  private readonly candidates = new Map<string, number>();
  /** Processes that said they leave, so that a late beat does not revive them. */
  private readonly left = new Map<HostId, bigint>();
  private readonly closing = new AbortController();
  private sequence = 0n;
  private isLeaving = false;
  private isAnnouncing = false;
  private sentAt = -Infinity;
  private nextKnown = 0;
  /** Where the next round of beats begins, so that no host is always last. */
  private nextAddress = 0;
  private task: Promise<void> | undefined;
  private readonly startedAt: number;

  constructor(private readonly parts: DiscoveredFleetParts) {
    this.startedAt = parts.clock.now();
  }

  start(): void {
    this.task = this.run();
  }

  /** Known hosts, this one included. */
  get hostCount(): number {
    return this.peers.size + 1;
  }

  /** Known hosts that are not heard of now. */
  get silentHostCount(): number {
    return [...this.peers.values()].filter(peer => peer.state === 'silent')
      .length;
  }

  /** Sends the next beat soon: the own load has changed. */
  scheduleHeartbeat(): void {
    const {clock} = this.parts;
    if (this.isAnnouncing) return;
    this.isAnnouncing = true;
    const gap =
      newsMilliseconds + newsMillisecondsForEachPeer * this.peers.size;
    const wait = Math.max(0, this.sentAt + gap - clock.now());
    void clock.sleep(wait, this.closing.signal).then(() => {
      this.isAnnouncing = false;
      if (!this.closing.signal.aborted) void this.sendAll();
    });
  }

  /** Tells the others that this host takes no new requests. */
  leave(): void {
    this.isLeaving = true;
    const beat = this.makeBeat();
    for (const address of this.addresses())
      this.parts.sender.send(address, beat);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  /** Takes the beat of another host. */
  receive(beat: Beat): void {
    const host = hostId(beat.host);
    if (host === this.parts.self) return;
    for (const {address, host: name} of beat.known)
      if (name !== this.parts.self) this.addCandidate(address);
    if (!this.admit(host, beat)) return;
    this.candidates.delete(beat.address);
    this.parts.onHeartbeat(beat);
    if (beat.leaving) this.noteLeft(host, beat.incarnation);
  }

  /** False for a beat that is older than what is known of its sender. */
  private admit(host: HostId, beat: Beat): boolean {
    const {clock, onChange} = this.parts;
    const {incarnation, sequence, address} = beat;
    if ((this.left.get(host) ?? -1n) >= incarnation) return false;
    const heardAt = clock.now();
    const known = this.peers.get(host);
    if (known === undefined) {
      const state = 'live' as const;
      const peer = {host, address, incarnation, sequence, heardAt, state};
      this.peers.set(host, peer);
      onChange({kind: 'joined', host});
      // A host that has just started knows no load of others yet.
      this.scheduleHeartbeat();
      return true;
    }
    if (incarnation < known.incarnation) return false;
    const isRestarted = incarnation > known.incarnation;
    if (!isRestarted && sequence <= known.sequence) return false;
    if (isRestarted) {
      onChange({kind: 'restarted', host});
      this.scheduleHeartbeat();
    } else if (known.state === 'silent') onChange({kind: 'heard-again', host});
    Object.assign(known, {address, incarnation, sequence, heardAt});
    known.state = 'live';
    return true;
  }

  private noteLeft(host: HostId, incarnation: bigint): void {
    this.left.set(host, incarnation);
    if (this.peers.delete(host)) this.parts.onChange({kind: 'left', host});
  }

  private addCandidate(address: string): void {
    const isKnown = [...this.peers.values()].some(
      peer => peer.address === address,
    );
    if (!isKnown && address !== this.parts.address())
      this.candidates.set(address, this.parts.clock.now());
  }

  private async run(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      this.noteSilence();
      void this.sendAll();
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(this.interval() * jitter, signal);
    }
  }

  private interval(): number {
    return beatMilliseconds + beatMillisecondsForEachPeer * this.peers.size;
  }

  private noteSilence(): void {
    const {clock, onChange} = this.parts;
    const now = clock.now();
    for (const peer of [...this.peers.values()]) {
      const silence = now - peer.heardAt;
      if (silence > forgetMilliseconds) {
        this.peers.delete(peer.host);
        onChange({kind: 'forgotten', host: peer.host});
      } else if (
        peer.state === 'live' &&
        silence > silentBeats * this.interval()
      ) {
        peer.state = 'silent';
        onChange({kind: 'silent', host: peer.host});
      }
    }
    for (const [address, namedAt] of [...this.candidates])
      if (now - namedAt > silentBeats * this.interval())
        this.candidates.delete(address);
  }

  /** Sends one beat to all, in groups. */
  private async sendAll(): Promise<void> {
    const {clock, sender} = this.parts;
    const {signal} = this.closing;
    this.sentAt = clock.now();
    const beat = this.makeBeat();
    const all = this.addresses();
    const start = all.length > 0 ? this.nextAddress % all.length : 0;
    this.nextAddress = start + datagramsAtOnce;
    const turned = [...all.slice(start), ...all.slice(0, start)];
    for (let sent = 0; sent < turned.length; sent += datagramsAtOnce) {
      if (sent > 0) await clock.sleep(groupMilliseconds, signal);
      if (signal.aborted) return;
      for (const address of turned.slice(sent, sent + datagramsAtOnce))
        sender.send(address, beat);
    }
  }

  /** Where beats go: known hosts, seeds, and hosts that were named. */
  private addresses(): string[] {
    const {seeds, address: own} = this.parts;
    const all = new Set([...this.peers.values()].map(({address}) => address));
    for (const address of [...seeds, ...this.candidates.keys()])
      all.add(address);
    all.delete(own());
    return [...all];
  }

  private makeBeat(): Beat {
    const {self, incarnation, failureDomain, localState: ownState} = this.parts;
    this.sequence += 1n;
    const {usage, loads} = ownState();
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
    };
  }

  private nextKnownHosts(): Beat['known'] {
    const live = [...this.peers.values()].filter(peer => peer.state === 'live');
    const count = Math.min(knownInBeat, live.length);
    const chosen = Array.from(
      {length: count},
      (_, index) => live[(this.nextKnown + index) % live.length]!,
    );
    this.nextKnown =
      live.length > 0 ? (this.nextKnown + count) % live.length : 0;
    return chosen.map(({host, address, incarnation}) => ({
      host,
      address,
      incarnation,
    }));
  }
}
