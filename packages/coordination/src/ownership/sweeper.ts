/**
 * Cancels attempts whose owner has ended, is unreachable or no longer needs them,
 * at the engines assigned to this host, to free the engines' memory. An engine is
 * assigned to a live host of its failure domain if there is one.
 */

import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import {upstreamsOfPool} from '../configuration/configuration.js';
import {membersOf} from '../configuration/watcher-selection.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {FailureDomainId, HostId, Incarnation} from '../ids.js';
import {hostId} from '../ids.js';
import type {PeerIdentity, PeerTransport} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {RequestOwner, RunningAttempt} from '../upstreams/engine.js';
import {queryOwner, interpretReply} from './query-owner.js';
import type {OwnerQueryResult} from './query-owner.js';
import {groupByOwner} from './attempt-groups.js';
import type {
  ListedAttempt,
  AttemptGroup,
  SweptEngine,
} from './attempt-groups.js';
import type {OwnedAttempts} from './owned-attempts.js';
import {QueryScheduler} from './query-scheduler.js';
import {OwnerSilenceTracker, ownerKey} from './owner-silence.js';
import {
  engineTimeoutMilliseconds,
  minimumAttemptAgeMilliseconds,
  ownerReplyTimeoutMilliseconds,
  pauseToleranceMilliseconds,
  relayReplyTimeoutMilliseconds,
  sweepIntervalMilliseconds,
} from './ownership-timing.js';

/** Reason for which an attempt was cancelled. */
export type SweepReason = 'disowned' | 'owner-replaced' | 'owner-silent';

export interface SweeperParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly failureDomain: FailureDomainId;
  readonly configuration: () => Configuration;
  readonly engines: {engineOf(upstream: UpstreamDocument): SweptEngine};
  readonly transport: PeerTransport;
  readonly ownedAttempts: OwnedAttempts;
  readonly isLikelyLive: (host: HostId) => boolean;
  /**
   * Latest known incarnation of a host, if any. Owners of another incarnation are
   * queried in every sweep.
   */
  readonly incarnationOf?: (host: HostId) => Incarnation | undefined;
  readonly onCancelled?: (
    attempt: RunningAttempt,
    engine: SweptEngine,
    reason: SweepReason,
  ) => void;
}

/** Number of hosts that relay a query to an owner that does not answer. */
const relayCount = 2;

export class Sweeper {
  private readonly closing = new AbortController();
  private readonly silenceTracker: OwnerSilenceTracker;
  private readonly queryScheduler = new QueryScheduler();
  private task: Promise<void> | undefined;

  constructor(private readonly parts: SweeperParts) {
    this.silenceTracker = new OwnerSilenceTracker(parts.clock);
  }

  start(): void {
    this.task = this.run();
  }

  /** Stops sweeping; resolves when the current sweep has ended. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      const delayMilliseconds =
        sweepIntervalMilliseconds * (0.9 + 0.2 * random.next());
      const wakesAt = clock.now() + delayMilliseconds;
      await clock.sleep(delayMilliseconds, signal);
      // Replies could not be received while this host was paused.
      if (clock.now() > wakesAt + pauseToleranceMilliseconds)
        this.silenceTracker.reset();
      if (!signal.aborted) await this.sweep();
    }
  }

  /** Performs one sweep over the engines assigned to this host. */
  async sweep(): Promise<void> {
    const attempts = await Promise.all(
      this.assignedEngines().map(engine => this.listAttempts(engine)),
    );
    const groups = groupByOwner(attempts.flat());
    this.silenceTracker.retainOnly(groups.map(group => group.owner));
    const owners = this.queryScheduler.choose(
      groups.map(group => group.owner),
      owner => this.isUrgent(owner),
    );
    await Promise.all(
      groups
        .filter(group => owners.includes(group.owner))
        .map(group => this.cancelUnneeded(group)),
    );
  }

  /**
   * True for owners that have probably ended and for this host, whose attempts are
   * checked without a message.
   */
  private isUrgent(owner: RequestOwner): boolean {
    const {incarnationOf, isLikelyLive, self} = this.parts;
    const latest = incarnationOf?.(owner.host) ?? owner.incarnation;
    return (
      owner.host === self.host ||
      this.silenceTracker.lastQueryFailed(owner) ||
      !isLikelyLive(owner.host) ||
      latest !== owner.incarnation
    );
  }

  /** Model engines assigned to this host. */
  private assignedEngines(): SweptEngine[] {
    const {configuration, engines, self} = this.parts;
    const current = configuration();
    const upstreams = current.pools
      .filter(pool => pool.spec.role !== 'service')
      .flatMap(pool => upstreamsOfPool(current, pool));
    return [...new Set(upstreams)]
      .filter(upstream => this.sweepingHost(upstream) === self.host)
      .map(upstream => engines.engineOf(upstream));
  }

  /**
   * Returns the live member ranked first in the upstream's failure domain, or
   * among all members if that domain has no live member.
   */
  private sweepingHost(upstream: UpstreamDocument): HostId | undefined {
    const {configuration, isLikelyLive, self} = this.parts;
    const live = membersOf(configuration()).filter(
      ({host}) => host === self.host || isLikelyLive(hostId(host)),
    );
    const sameDomain = live.filter(
      member => member.failureDomain === upstream.spec.failureDomain,
    );
    const [first] = rankByRendezvous(
      `sweep ${upstream.name}`,
      sameDomain.length > 0 ? sameDomain : live,
      member => member.host,
    );
    return first && hostId(first.host);
  }

  private async listAttempts(engine: SweptEngine): Promise<ListedAttempt[]> {
    const attempts = await this.withTimeout(signal => engine.running(signal));
    if (attempts.isErr) return [];
    return attempts.value
      .filter(
        attempt => attempt.ageMilliseconds >= minimumAttemptAgeMilliseconds,
      )
      .map(attempt => ({engine, attempt}));
  }

  private async cancelUnneeded({owner, listed}: AttemptGroup): Promise<void> {
    const queriedAt = this.parts.clock.now();
    const result = await this.queryGroupOwner({owner, listed});
    switch (result.kind) {
      case 'replaced':
        this.silenceTracker.recordReply(owner);
        return this.cancel(listed, 'owner-replaced');
      case 'answered': {
        this.silenceTracker.recordReply(owner);
        const disowned = new Set(result.disownedAttempts);
        return this.cancel(
          listed.filter(({attempt}) => disowned.has(attempt.attempt)),
          'disowned',
        );
      }
      case 'silent':
        this.recordFailedQuery(owner, queriedAt);
        if (this.silenceTracker.isSilent(owner))
          await this.cancel(listed, 'owner-silent');
    }
  }

  private async queryGroupOwner({
    owner,
    listed,
  }: AttemptGroup): Promise<OwnerQueryResult> {
    const {ownedAttempts, self, transport} = this.parts;
    const attempts = listed.map(({attempt}) => attempt.attempt);
    if (owner.host !== self.host)
      return queryOwner(transport, owner, attempts, this.chooseRelays(owner));
    return interpretReply(owner, attempts, {
      disownedAttempts: ownedAttempts.filterDisowned(attempts),
      ownerIncarnation: self.incarnation,
    });
  }

  /** Records a failed query; discards all counts if this host was paused meanwhile. */
  private recordFailedQuery(owner: RequestOwner, queriedAt: number): void {
    const maximumMilliseconds =
      ownerReplyTimeoutMilliseconds +
      relayReplyTimeoutMilliseconds +
      pauseToleranceMilliseconds;
    if (this.parts.clock.now() - queriedAt > maximumMilliseconds)
      this.silenceTracker.reset();
    else this.silenceTracker.recordFailedQuery(owner, queriedAt);
  }

  /** Chooses live members as relays; prefers other failure domains. */
  private chooseRelays(owner: RequestOwner): HostId[] {
    const {configuration, failureDomain, isLikelyLive, self} = this.parts;
    const others = membersOf(configuration()).filter(({host}) => {
      const id = hostId(host);
      return id !== self.host && id !== owner.host && isLikelyLive(id);
    });
    // The time varies the ranking, so repeated queries use different relays.
    const ranked = rankByRendezvous(
      `relay ${ownerKey(owner)} ${Math.floor(this.parts.clock.now())}`,
      others,
      member => member.host,
    );
    const domainOrder = (domain: string) => Number(domain === failureDomain);
    ranked.sort(
      (left, right) =>
        domainOrder(left.failureDomain) - domainOrder(right.failureDomain),
    );
    return ranked.slice(0, relayCount).map(member => hostId(member.host));
  }

  private async cancel(
    listed: readonly ListedAttempt[],
    reason: SweepReason,
  ): Promise<void> {
    await Promise.all(
      listed.map(async ({engine, attempt}) => {
        const cancelled = await this.withTimeout(signal =>
          engine.cancel(attempt, signal),
        );
        if (cancelled.isOk) this.parts.onCancelled?.(attempt, engine, reason);
      }),
    );
  }

  private async withTimeout<Value>(
    call: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value> {
    const finished = new AbortController();
    const finish = () => finished.abort();
    void this.parts.clock
      .sleep(engineTimeoutMilliseconds, finished.signal)
      .then(finish);
    const result = await call(finished.signal);
    finish();
    return result;
  }
}
