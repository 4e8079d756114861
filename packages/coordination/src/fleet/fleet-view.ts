/**
 * Which hosts look live. Hosts send heartbeats to a few others, and news travel
 * with them. The view guides choices; it proves nothing about any host.
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
import {neighboursOf, remotePeersOf} from './heartbeat-peers.js';
import {hostStatusOf} from './host-status.js';
import type {HostView} from './host-status.js';
import type {HostHint} from './host-hints.js';
import {HostHints} from './host-hints.js';
import {NewsExchange} from './news-exchange.js';
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
  /** Drops the connection to `host` and opens another one. */
  readonly reconnect: (host: HostId) => Promise<void>;
}

const heartbeatMilliseconds = 3000;
const answerMilliseconds = 500;
const reconnectMilliseconds = 500;
/** Time that a suspect has to be heard of again. */
const suspicionMilliseconds = 3000;
/** A probe that took this much longer than it may shows a pause. */
const pauseSlackMilliseconds = 500;
/** Links to other failure domains are used once in so many rounds. */
const remoteRounds = 3;

/** What is assumed of a host that nobody has told of. */
const unknownHost = {status: Status.STATUS_LIVE, revision: 0};

export class FleetView implements PeerHandler<FleetRequest, FleetReply> {
  private readonly table: ReportTable;
  private readonly news: NewsExchange;
  private readonly hints: HostHints;
  private readonly closing = new AbortController();
  /** Hosts that did not answer, with their revision at that time. */
  private readonly unanswered = new Map<HostId, number>();
  private readonly unsubscribe: () => void;
  private tasks: Promise<void>[] = [];
  private round = 0;
  private sequence = 0n;
  private hasRefreshed = false;

  constructor(private readonly parts: FleetViewParts) {
    this.table = new ReportTable(parts.self, parts.clock);
    this.news = new NewsExchange(this.table);
    this.hints = new HostHints(host => this.incarnationOf(host));
    this.unsubscribe = parts.pauseDetector.subscribe(() => this.expire());
  }

  start(): void {
    this.tasks = [this.run()];
  }

  async close(): Promise<void> {
    this.unsubscribe();
    this.closing.abort();
    await Promise.all(this.tasks);
  }

  /** False from a pause of this host until a round of heartbeats has ended. */
  get isFresh(): boolean {
    return this.hasRefreshed;
  }

  /** False for hosts that seem gone or are about to go. */
  isLikelyLive(host: HostId): boolean {
    if (this.hints.isLeaving(host)) return false;
    const {status, revision} = this.table.reportOf(host) ?? unknownHost;
    // A host that was heard of again has a newer revision.
    if (this.unanswered.get(host) === revision) return false;
    return status === Status.STATUS_LIVE || status === Status.STATUS_SUSPECT;
  }

  /** The newest process of `host` that was heard of. */
  incarnationOf(host: HostId): Incarnation | undefined {
    const text = this.table.reportOf(host)?.incarnation ?? '';
    return text === '' ? undefined : incarnation(text);
  }

  /** All members and all hosts that were heard of. */
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

  /** Tells others that this host takes no new roles, then resolves. */
  async announceLeaving(): Promise<void> {
    this.table.setOwnStatus(Status.STATUS_LEAVING);
    await Promise.all(this.neighbours().map(host => this.beat(host)));
  }

  /** Takes the platform's list of hosts, which lags. */
  recordHints(hints: readonly HostHint[]): void {
    this.hints.replace(hints);
  }

  /** Answers a heartbeat. */
  handle(request: FleetRequest, from: PeerIdentity): FleetReply {
    const isKnown = this.news.take(request.sender, request.reports);
    this.news.confirmSent(from.host, request.receivedChange);
    const {reports, newestChange} = this.news.newsFor(from.host, !isKnown);
    const sender = this.table.ownReport;
    return {sequence: request.sequence, sender, reports, newestChange};
  }

  private async run(): Promise<void> {
    const {clock, pauseDetector: pauses, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      pauses.check();
      await Promise.all(this.peersOfRound().map(host => this.probe(host)));
      if (!pauses.check()) {
        this.table.buryOldSuspects(suspicionMilliseconds);
        this.hasRefreshed = true;
      }
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(heartbeatMilliseconds * jitter, signal);
    }
  }

  private expire(): void {
    this.hasRefreshed = false;
    this.table.renewSuspicions();
  }

  private neighbours(): HostId[] {
    const {configuration, failureDomain, self} = this.parts;
    const members = membersOf(configuration());
    return neighboursOf(self.host, failureDomain, members, host =>
      this.isUsable(host),
    );
  }

  private peersOfRound(): HostId[] {
    const {configuration, failureDomain, self} = this.parts;
    this.round += 1;
    const members = membersOf(configuration());
    const isUsable = (host: HostId) => this.isUsable(host);
    const remote =
      this.round % remoteRounds === 0
        ? remotePeersOf(
            self.host,
            failureDomain,
            members,
            isUsable,
            this.round / remoteRounds,
          )
        : [];
    const peers = [...this.neighbours(), ...remote, ...this.oneLostPeer()];
    return [...new Set(peers)];
  }

  /** One member that seems gone, so that healed links are found. */
  private oneLostPeer(): HostId[] {
    const {configuration, random, self} = this.parts;
    const lost = membersOf(configuration())
      .map(member => hostId(member.host))
      .filter(host => host !== self.host && !this.isUsable(host));
    const chosen = lost[randomBelow(random, lost.length)];
    return chosen === undefined ? [] : [chosen];
  }

  private isUsable(host: HostId): boolean {
    const status = this.table.reportOf(host)?.status ?? Status.STATUS_LIVE;
    return status !== Status.STATUS_DEAD;
  }

  /** A failed heartbeat only counts when a new connection fails as well. */
  private async probe(host: HostId): Promise<void> {
    const {clock, reconnect} = this.parts;
    const {signal} = this.closing;
    const start = clock.now();
    if (await this.beat(host)) return;
    const ended = new AbortController();
    await Promise.race([
      reconnect(host),
      clock.sleep(reconnectMilliseconds, ended.signal),
    ]);
    ended.abort();
    if (await this.beat(host)) return;
    const longest =
      2 * answerMilliseconds + reconnectMilliseconds + pauseSlackMilliseconds;
    if (signal.aborted || clock.now() - start > longest) return;
    this.table.suspect(host);
    this.unanswered.set(host, this.table.reportOf(host)?.revision ?? 0);
  }

  /** Sends one heartbeat; true when it was answered. */
  private async beat(host: HostId): Promise<boolean> {
    this.sequence += 1n;
    const {sequence} = this;
    const status = this.table.reportOf(host)?.status ?? Status.STATUS_LIVE;
    const isDoubted = status !== Status.STATUS_LIVE;
    const {reports, newestChange} = this.news.newsFor(host, isDoubted);
    const sender = this.table.ownReport;
    const receivedChange = this.news.receivedFrom(host);
    const answer = await this.parts.transport.exchange(
      host,
      {$case: 'fleet', value: {sequence, sender, reports, receivedChange}},
      answerMilliseconds,
    );
    if (answer.isErr || answer.value.$case !== 'fleet') return false;
    this.unanswered.delete(host);
    const reply = answer.value.value;
    this.news.confirmSent(host, newestChange);
    this.news.take(reply.sender, reply.reports);
    this.news.confirmReceived(reply.sender, reply.newestChange);
    return true;
  }
}
