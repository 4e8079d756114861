/**
 * Tracks which hosts appear to be live. Hosts send heartbeats to a few others,
 * and status reports spread with them by gossip. The view is used to choose
 * between hosts. It does not prove that a host is live or dead.
 */

import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import {membersOf} from '../configuration/watcher-selection.js';
import {HostReport_Status as Status} from '../generated/messages/persimmonwick/fleet.js';
import type {
  FleetReply,
  FleetRequest,
} from '../generated/messages/persimmonwick/fleet.js';
import type {FailureDomainId, HostId, Incarnation} from '../ids.js';
import {hostId, incarnation} from '../ids.js';
import type {
  PeerHandler,
  PeerIdentity,
  PeerTransport,
} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';
import {localHeartbeatPeers, remoteHeartbeatPeers} from './heartbeat-peers.js';
import {hostStatusOf} from './host-status.js';
import type {HostView} from './host-status.js';
import type {PlatformHost} from './platform-host-list.js';
import {LeavingHosts} from './platform-host-list.js';
import {GossipExchange} from './gossip-exchange.js';
import type {PauseDetector} from './pause-detector.js';
import {ReportTable} from './report-table.js';

export interface FleetViewParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly failureDomain: FailureDomainId;
  readonly configuration: () => Configuration;
  readonly transport: PeerTransport;
  readonly pauseDetector: PauseDetector;
  /** Closes the connection to `host` and opens a new one. */
  readonly reconnect: (host: HostId) => Promise<void>;
}

const heartbeatIntervalMilliseconds = 3000;
const heartbeatTimeoutMilliseconds = 500;
const reconnectTimeoutMilliseconds = 500;
/** Time after which a suspect host counts as dead unless it refutes that. */
const suspicionTimeoutMilliseconds = 3000;
/** A probe that exceeds its timeouts by more than this indicates a pause. */
const probePauseThresholdMilliseconds = 500;
/** Heartbeats go to other failure domains once in this number of rounds. */
const remoteRoundInterval = 3;

/** The assumed status of a host without a report. */
const defaultReport = {status: Status.STATUS_LIVE, revision: 0};

export class FleetView implements PeerHandler<FleetRequest, FleetReply> {
  private readonly table: ReportTable;
  private readonly gossip: GossipExchange;
  private readonly leavingHosts: LeavingHosts;
  private readonly closing = new AbortController();
  /** Revisions of unresponsive hosts at the time of the failed probe. */
  private readonly unresponsiveRevisions = new Map<HostId, number>();
  private readonly unsubscribe: () => void;
  private tasks: Promise<void>[] = [];
  private round = 0;
  private sequence = 0n;
  private hasFreshView = false;

  constructor(private readonly parts: FleetViewParts) {
    this.table = new ReportTable(parts.self, parts.clock);
    this.gossip = new GossipExchange(this.table);
    this.leavingHosts = new LeavingHosts(host => this.incarnationOf(host));
    this.unsubscribe = parts.pauseDetector.subscribe(() => this.invalidate());
  }

  start(): void {
    this.tasks = [this.runHeartbeats()];
  }

  async close(): Promise<void> {
    this.unsubscribe();
    this.closing.abort();
    await Promise.all(this.tasks);
  }

  /**
   * Whether a heartbeat round has ended since the start, or since the last
   * pause of this host.
   */
  get isFresh(): boolean {
    return this.hasFreshView;
  }

  /**
   * Whether `host` is treated as live: it is not leaving, not dead, and not
   * unresponsive to the last probe of this host. A suspicion that only another
   * host reported does not count.
   */
  isLikelyLive(host: HostId): boolean {
    if (this.leavingHosts.isLeaving(host)) return false;
    const {status, revision} = this.table.reportOf(host) ?? defaultReport;
    // A host that refuted the suspicion has a newer revision.
    if (this.unresponsiveRevisions.get(host) === revision) return false;
    return status === Status.STATUS_LIVE || status === Status.STATUS_SUSPECT;
  }

  /** The newest reported incarnation of `host`. */
  incarnationOf(host: HostId): Incarnation | undefined {
    const text = this.table.reportOf(host)?.incarnation ?? '';
    return text === '' ? undefined : incarnation(text);
  }

  /** All members and all other hosts with a report. */
  hosts(): HostView[] {
    const names = new Set([
      ...membersOf(this.parts.configuration()).map(each => hostId(each.host)),
      ...this.table.reports.map(report => hostId(report.host)),
    ]);
    return [...names].map(host => ({
      host,
      incarnation: this.incarnationOf(host),
      status: hostStatusOf(this.table.reportOf(host)?.status),
    }));
  }

  /**
   * Sets the status of this host to leaving and sends it to the heartbeat peers
   * in its failure domain.
   */
  async announceLeaving(): Promise<void> {
    this.table.setOwnStatus(Status.STATUS_LEAVING);
    await Promise.all(this.localPeers().map(host => this.sendHeartbeat(host)));
  }

  /** Records the host list of the platform, which can be out of date. */
  recordPlatformHosts(platformHosts: readonly PlatformHost[]): void {
    this.leavingHosts.replace(platformHosts);
  }

  /** Answers a heartbeat. */
  handle(request: FleetRequest, from: PeerIdentity): FleetReply {
    const isSenderUpToDate = this.gossip.mergeReports(
      request.sender,
      request.reports,
    );
    this.gossip.recordAcknowledgement(from.host, request.receivedChange);
    const {reports, newestChange} = this.gossip.updateFor(
      from.host,
      !isSenderUpToDate,
    );
    const sender = this.table.ownReport;
    return {sequence: request.sequence, sender, reports, newestChange};
  }

  private async runHeartbeats(): Promise<void> {
    const {clock, pauseDetector, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      pauseDetector.check();
      await Promise.all(this.selectRoundPeers().map(host => this.probe(host)));
      if (!pauseDetector.check()) {
        this.table.expireSuspicions(suspicionTimeoutMilliseconds);
        this.hasFreshView = true;
      }
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(heartbeatIntervalMilliseconds * jitter, signal);
    }
  }

  private invalidate(): void {
    this.hasFreshView = false;
    this.table.restartSuspicionTimeouts();
  }

  private localPeers(): HostId[] {
    const {configuration, failureDomain, self} = this.parts;
    const members = membersOf(configuration());
    return localHeartbeatPeers(self.host, failureDomain, members, host =>
      this.isHeartbeatTarget(host),
    );
  }

  private selectRoundPeers(): HostId[] {
    const {configuration, failureDomain, self} = this.parts;
    this.round += 1;
    const members = membersOf(configuration());
    const isHeartbeatTarget = (host: HostId) => this.isHeartbeatTarget(host);
    const remote =
      this.round % remoteRoundInterval === 0
        ? remoteHeartbeatPeers(
            self.host,
            failureDomain,
            members,
            isHeartbeatTarget,
            this.round / remoteRoundInterval,
          )
        : [];
    const peers = [...this.localPeers(), ...remote, ...this.selectDeadPeer()];
    return [...new Set(peers)];
  }

  /** Selects one dead member, so that a healed partition is detected. */
  private selectDeadPeer(): HostId[] {
    const {configuration, random, self} = this.parts;
    const deadHosts = membersOf(configuration())
      .map(member => hostId(member.host))
      .filter(host => host !== self.host && !this.isHeartbeatTarget(host));
    const chosen = deadHosts[randomBelow(random, deadHosts.length)];
    return chosen === undefined ? [] : [chosen];
  }

  /** Whether `host` is not reported dead, so heartbeats are sent to it. */
  private isHeartbeatTarget(host: HostId): boolean {
    const status = this.table.reportOf(host)?.status ?? Status.STATUS_LIVE;
    return status !== Status.STATUS_DEAD;
  }

  /** Suspects `host` when a heartbeat fails on the old and a new connection. */
  private async probe(host: HostId): Promise<void> {
    const {clock, reconnect} = this.parts;
    const {signal} = this.closing;
    const start = clock.now();
    if (await this.sendHeartbeat(host)) return;
    const timeout = new AbortController();
    await Promise.race([
      reconnect(host),
      clock.sleep(reconnectTimeoutMilliseconds, timeout.signal),
    ]);
    timeout.abort();
    if (await this.sendHeartbeat(host)) return;
    const maximumMilliseconds =
      2 * heartbeatTimeoutMilliseconds +
      reconnectTimeoutMilliseconds +
      probePauseThresholdMilliseconds;
    if (signal.aborted || clock.now() - start > maximumMilliseconds) return;
    this.table.markSuspect(host);
    this.unresponsiveRevisions.set(
      host,
      this.table.reportOf(host)?.revision ?? 0,
    );
  }

  /** Sends one heartbeat and returns whether it was answered. */
  private async sendHeartbeat(host: HostId): Promise<boolean> {
    this.sequence += 1n;
    const {sequence} = this;
    const status = this.table.reportOf(host)?.status ?? Status.STATUS_LIVE;
    const includesHost = status !== Status.STATUS_LIVE;
    const {reports, newestChange} = this.gossip.updateFor(host, includesHost);
    const sender = this.table.ownReport;
    const receivedChange = this.gossip.newestReceivedFrom(host);
    const result = await this.parts.transport.exchange(
      host,
      {$case: 'fleet', value: {sequence, sender, reports, receivedChange}},
      heartbeatTimeoutMilliseconds,
    );
    if (result.isErr || result.value.$case !== 'fleet') return false;
    this.unresponsiveRevisions.delete(host);
    const reply = result.value.value;
    this.gossip.recordAcknowledgement(host, newestChange);
    this.gossip.mergeReports(reply.sender, reply.reports);
    this.gossip.recordReceipt(reply.sender, reply.newestChange);
    return true;
  }
}
