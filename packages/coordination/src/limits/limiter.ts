/**
 * Admits requests of client accounts within their rate and burst over all
 * hosts. The membership assigns shares of an account's rate and burst to a few
 * hosts, its holders. A holder lends tokens of its share to other hosts by
 * grants that expire, so no host needs to know which others are live.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {
  LimitReply,
  LimitRequest,
} from '../generated/messages/persimmonwick/limits.js';
import type {AccountId, FailureDomainId, HostId, Incarnation} from '../ids.js';
import type {PeerHandler, PeerTransport} from '../peers/transport.js';
import {AccountAdmissionQueue} from './account-admission-queue.js';
import type {AccountAdmissionQueueParts} from './account-admission-queue.js';
import {AccountState} from './account-state.js';
import {InvalidTokensError, finalRefusal} from './admission.js';
import type {Admission, RateRefusal} from './admission.js';
import {LocalBuckets, nothingGranted} from './local-buckets.js';
import {
  defaultHoldersPerDomain,
  idleTimeoutMilliseconds,
  maintenanceIntervalMilliseconds,
} from './constants.js';
import {GrantCollector} from './grant-collector.js';
import {newLimiterCounters} from './limiter-counters.js';
import type {LimiterCounters} from './limiter-counters.js';
import {holderShares} from './shares.js';

/** Dependencies and settings of a limiter. */
export interface LimiterParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  /** Returns the active configuration. */
  readonly configuration: () => Configuration;
  /** Must be the same at all hosts. Change it only while no host is running. */
  readonly holdersPerDomain?: number;
}

/** Holds the buckets of one host, borrows tokens and admits requests. */
export class Limiter implements PeerHandler<LimitRequest, LimitReply> {
  private readonly mutableCounters = newLimiterCounters();
  private readonly localBuckets: LocalBuckets;
  private readonly collector: GrantCollector;
  private readonly queueParts: AccountAdmissionQueueParts;
  private readonly holdersPerDomain: number;
  private readonly queues = new Map<AccountId, AccountAdmissionQueue>();
  private readonly closeController = new AbortController();
  private appliedConfiguration: Configuration | undefined;

  constructor(private readonly parts: LimiterParts) {
    const {clock, transport} = parts;
    this.holdersPerDomain = parts.holdersPerDomain ?? defaultHoldersPerDomain;
    this.localBuckets = new LocalBuckets({
      ...parts,
      holdersPerDomain: this.holdersPerDomain,
    });
    this.collector = new GrantCollector(clock, transport, this.mutableCounters);
    this.queueParts = {
      clock,
      localBuckets: this.localBuckets,
      collector: this.collector,
      documentOf: state => this.documentOf(state.account),
      closeSignal: this.closeController.signal,
      counters: this.mutableCounters,
    };
    void this.runMaintenance();
  }

  /** Counters since the start. */
  get counters(): LimiterCounters {
    return this.mutableCounters;
  }

  /** Numbers of accounts in memory that have an admission queue or a bucket. */
  get accountsInMemory(): {readonly used: number; readonly held: number} {
    return {used: this.queues.size, held: this.localBuckets.size};
  }

  /**
   * Applies the active configuration and sends grants that were made under a
   * previous account document or membership back. The limiter does so on its
   * own within seconds; callers that learn of a new version may call it at
   * once.
   */
  applyConfiguration(): void {
    const next = this.parts.configuration();
    const previous = this.appliedConfiguration;
    if (next === previous) return;
    this.appliedConfiguration = next;
    this.localBuckets.applyConfiguration();
    for (const [account, queue] of this.queues) {
      const isUnchanged =
        previous?.membership === next.membership &&
        previous?.accounts.get(account) === next.accounts.get(account);
      if (isUnchanged) continue;
      queue.returnAllGrants();
      this.setShares(queue.state);
    }
  }

  /**
   * Earliest time at which buckets refill. Before it, grants of this host's
   * previous incarnation may be in use.
   */
  get refillStartsAt(): number {
    return this.localBuckets.refillStartsAt;
  }

  /** Handles requests of other hosts for tokens and returns of tokens. */
  handle(request: LimitRequest): LimitReply {
    if (this.closeController.signal.aborted) return nothingGranted;
    return this.localBuckets.handle(request);
  }

  /** Charges `tokens` to `account`, or refuses without charging anything. */
  admit(
    account: AccountId,
    tokens: number,
    signal?: AbortSignal,
  ): Promise<Result<Admission, RateRefusal>> {
    if (!(Number.isFinite(tokens) && tokens >= 0))
      return Promise.reject(new InvalidTokensError(tokens));
    if (this.closeController.signal.aborted) return this.refuse('closed');
    if (signal?.aborted) return this.refuse('cancelled');
    const document = this.documentOf(account);
    if (document === undefined) return this.refuse('unknown-account');
    if (tokens > document.spec.burstTokens)
      return this.refuse('larger-than-burst');
    return this.queueOf(account).admit(tokens, signal);
  }

  /** Refuses all waiting requests, sends all grants back and stops. */
  async close(): Promise<void> {
    if (this.closeController.signal.aborted) return;
    this.closeController.abort();
    await Promise.all([...this.queues.values()].map(queue => queue.close()));
    await this.collector.waitForReturns();
    this.queues.clear();
  }

  private documentOf(account: AccountId) {
    this.applyConfiguration();
    return this.appliedConfiguration?.accounts.get(account);
  }

  private queueOf(account: AccountId): AccountAdmissionQueue {
    const existing = this.queues.get(account);
    if (existing !== undefined) return existing;
    const queue = new AccountAdmissionQueue(
      new AccountState(account),
      this.queueParts,
    );
    this.setShares(queue.state);
    this.queues.set(account, queue);
    return queue;
  }

  private setShares(state: AccountState): void {
    const {self, failureDomain} = this.parts;
    const shares = holderShares(
      this.appliedConfiguration?.membership,
      state.account,
      this.holdersPerDomain,
    );
    const spec = this.appliedConfiguration?.accounts.get(state.account)?.spec;
    state.setShares(shares, self, failureDomain, {
      tokensPerSecond: spec?.rateTokensPerSecond ?? 0,
      burstTokens: spec?.burstTokens ?? 0,
    });
  }

  /**
   * Applies configuration changes and drops idle queues and buckets at
   * intervals, also without requests.
   */
  private async runMaintenance(): Promise<void> {
    const {signal} = this.closeController;
    while (!signal.aborted) {
      this.applyConfiguration();
      this.localBuckets.dropIdleBuckets();
      const now = this.parts.clock.now();
      for (const [account, queue] of this.queues)
        if (
          queue.isIdle &&
          now - queue.state.lastUsedAt >= idleTimeoutMilliseconds
        )
          this.queues.delete(account);
      await this.parts.clock.sleep(maintenanceIntervalMilliseconds, signal);
    }
  }

  private refuse(
    reason: RateRefusal['reason'],
  ): Promise<Result<Admission, RateRefusal>> {
    this.mutableCounters.refused[reason] += 1;
    return Promise.resolve(Result.err(finalRefusal(reason)));
  }
}
