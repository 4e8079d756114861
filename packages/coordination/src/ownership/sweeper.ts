/**
 * Frees the memory that engines of the own failure domain hold for requests
 * whose host is gone or does not want them any more.
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
import {askOwner, readAnswer} from './ask-owner.js';
import type {OwnerAnswer} from './ask-owner.js';
import {groupByOwner} from './attempt-groups.js';
import type {FoundAttempt, Holding, SweptEngine} from './attempt-groups.js';
import type {OwnedAttempts} from './owned-attempts.js';
import {QuestionPlan} from './question-plan.js';
import {OwnerSilence, nameOf} from './owner-silence.js';
import {
  engineAnswerMilliseconds,
  minimumAgeMilliseconds,
  ownerAnswerMilliseconds,
  pauseSlackMilliseconds,
  relayAnswerMilliseconds,
  sweepIntervalMilliseconds,
} from './ownership-timing.js';

/** Why an attempt was cancelled. */
export type SweepReason = 'disowned' | 'owner-replaced' | 'owner-silent';

export interface SweeperParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly failureDomain: FailureDomainId;
  readonly configuration: () => Configuration;
  readonly engines: {engineOf(upstream: UpstreamDocument): SweptEngine};
  readonly transport: PeerTransport;
  readonly owned: OwnedAttempts;
  readonly isLikelyLive: (host: HostId) => boolean;
  /** The newest process of a host, where known; speeds the sweep up. */
  readonly incarnationOf?: (host: HostId) => Incarnation | undefined;
  readonly onCancelled?: (
    attempt: RunningAttempt,
    engine: SweptEngine,
    reason: SweepReason,
  ) => void;
}

/** Other hosts that are asked to reach an owner that does not answer. */
const relayCount = 2;

export class Sweeper {
  private readonly closing = new AbortController();
  private readonly silence: OwnerSilence;
  private readonly plan = new QuestionPlan();
  private task: Promise<void> | undefined;

  constructor(private readonly parts: SweeperParts) {
    this.silence = new OwnerSilence(parts.clock);
  }

  start(): void {
    this.task = this.run();
  }

  /** Ends after the questions that are under way. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted) {
      const wait = sweepIntervalMilliseconds * (0.9 + 0.2 * random.next());
      const end = clock.now() + wait;
      await clock.sleep(wait, signal);
      // Others had no chance to answer while this host was not running.
      if (clock.now() > end + pauseSlackMilliseconds) this.silence.reset();
      if (!signal.aborted) await this.sweep();
    }
  }

  /** Sweeps once the engines that fall to this host. */
  async sweep(): Promise<void> {
    const listed = await Promise.all(
      this.ownEngines().map(engine => this.list(engine)),
    );
    const holdings = groupByOwner(listed.flat());
    this.silence.keepOnly(holdings.map(holding => holding.owner));
    const owners = this.plan.choose(
      holdings.map(holding => holding.owner),
      owner => this.isUrgent(owner),
    );
    await Promise.all(
      holdings
        .filter(holding => owners.includes(holding.owner))
        .map(holding => this.settle(holding)),
    );
  }

  /** True for owners that seem gone, and for this host, which costs nothing. */
  private isUrgent(owner: RequestOwner): boolean {
    const {incarnationOf, isLikelyLive, self} = this.parts;
    const newest = incarnationOf?.(owner.host) ?? owner.incarnation;
    return (
      owner.host === self.host ||
      this.silence.has(owner) ||
      !isLikelyLive(owner.host) ||
      newest !== owner.incarnation
    );
  }

  /** Model engines that this host sweeps. */
  private ownEngines(): SweptEngine[] {
    const {configuration, engines, self} = this.parts;
    const current = configuration();
    const upstreams = current.pools
      .filter(pool => pool.spec.role !== 'service')
      .flatMap(pool => upstreamsOfPool(current, pool));
    return [...new Set(upstreams)]
      .filter(upstream => this.sweeperOf(upstream) === self.host)
      .map(upstream => engines.engineOf(upstream));
  }

  /**
   * The live member of the upstream's failure domain that ranks first, or of
   * all where that domain has none left.
   */
  private sweeperOf(upstream: UpstreamDocument): HostId | undefined {
    const {configuration, isLikelyLive, self} = this.parts;
    const live = membersOf(configuration()).filter(
      ({host}) => host === self.host || isLikelyLive(hostId(host)),
    );
    const near = live.filter(
      member => member.failureDomain === upstream.spec.failureDomain,
    );
    const [first] = rankByRendezvous(
      `sweep ${upstream.name}`,
      near.length > 0 ? near : live,
      member => member.host,
    );
    return first && hostId(first.host);
  }

  private async list(engine: SweptEngine): Promise<FoundAttempt[]> {
    const running = await this.withTimeout(signal => engine.running(signal));
    if (running.isErr) return [];
    return running.value
      .filter(attempt => attempt.ageMilliseconds >= minimumAgeMilliseconds)
      .map(attempt => ({engine, attempt}));
  }

  private async settle({owner, found}: Holding): Promise<void> {
    const askedAt = this.parts.clock.now();
    const answer = await this.ask({owner, found});
    switch (answer.kind) {
      case 'replaced':
        this.silence.clear(owner);
        return this.cancel(found, 'owner-replaced');
      case 'disowned': {
        this.silence.clear(owner);
        const disowned = new Set(answer.attempts);
        return this.cancel(
          found.filter(({attempt}) => disowned.has(attempt.attempt)),
          'disowned',
        );
      }
      case 'silent':
        this.noteSilence(owner, askedAt);
        if (this.silence.isOver(owner))
          await this.cancel(found, 'owner-silent');
    }
  }

  private async ask({owner, found}: Holding): Promise<OwnerAnswer> {
    const {owned, self, transport} = this.parts;
    const attempts = found.map(({attempt}) => attempt.attempt);
    if (owner.host !== self.host)
      return askOwner(transport, owner, attempts, this.relaysFor(owner));
    return readAnswer(owner, attempts, {
      disownedAttempts: owned.disowned(attempts),
      ownerIncarnation: self.incarnation,
    });
  }

  /** An own pause during the question makes its failure worth nothing. */
  private noteSilence(owner: RequestOwner, askedAt: number): void {
    const longest =
      ownerAnswerMilliseconds +
      relayAnswerMilliseconds +
      pauseSlackMilliseconds;
    if (this.parts.clock.now() - askedAt > longest) this.silence.reset();
    else this.silence.add(owner, askedAt);
  }

  /** Live members that may reach the owner, other failure domains first. */
  private relaysFor(owner: RequestOwner): HostId[] {
    const {configuration, failureDomain, isLikelyLive, self} = this.parts;
    const others = membersOf(configuration()).filter(({host}) => {
      const id = hostId(host);
      return id !== self.host && id !== owner.host && isLikelyLive(id);
    });
    const ranked = rankByRendezvous(
      `relay ${nameOf(owner)} ${Math.floor(this.parts.clock.now())}`,
      others,
      member => member.host,
    );
    const isNear = (domain: string) => Number(domain === failureDomain);
    ranked.sort(
      (left, right) => isNear(left.failureDomain) - isNear(right.failureDomain),
    );
    return ranked.slice(0, relayCount).map(member => hostId(member.host));
  }

  private async cancel(
    found: readonly FoundAttempt[],
    reason: SweepReason,
  ): Promise<void> {
    await Promise.all(
      found.map(async ({engine, attempt}) => {
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
    const ended = new AbortController();
    const end = () => ended.abort();
    void this.parts.clock
      .sleep(engineAnswerMilliseconds, ended.signal)
      .then(end);
    const answer = await call(ended.signal);
    end();
    return answer;
  }
}
