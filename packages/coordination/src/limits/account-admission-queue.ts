/** Admits the requests of one client account at one host in arrival order. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {ClientAccountDocument} from '../generated/documents.js';
import type {AccountState} from './account-state.js';
import type {WaitingRequest} from './account-state.js';
import {AccountTokens} from './account-tokens.js';
import {finalRefusal} from './admission.js';
import type {Admission, RateRefusal} from './admission.js';
import type {LocalBuckets} from './local-buckets.js';
import {
  maximumRefillWaitMilliseconds,
  noWaitAfterRefusalMilliseconds,
  returnIntervalMilliseconds,
  returnLeadMilliseconds,
} from './constants.js';
import type {GrantCollector} from './grant-collector.js';
import type {WritableLimiterCounters} from './limiter-counters.js';

/** Fraction of recently borrowed tokens that is requested as spare tokens. */
const spareRequestFraction = 0.3;

/** Dependencies that the admission queues of one host share. */
export interface AccountAdmissionQueueParts {
  readonly clock: Clock;
  readonly localBuckets: LocalBuckets;
  readonly collector: GrantCollector;
  /** Returns the account's document in the active configuration. */
  readonly documentOf: (
    state: AccountState,
  ) => ClientAccountDocument | undefined;
  readonly closeSignal: AbortSignal;
  readonly counters: WritableLimiterCounters;
}

/** Charges the requests of one account, or queues them to borrow tokens. */
export class AccountAdmissionQueue {
  private readonly tokens: AccountTokens;
  private queue: WaitingRequest[] = [];
  private isServing = false;
  private servingTask: Promise<void> | undefined;
  private isReturningGrants = false;
  private lastRefusedAt = -Infinity;

  constructor(
    readonly state: AccountState,
    private readonly parts: AccountAdmissionQueueParts,
  ) {
    const {clock, localBuckets, collector} = parts;
    this.tokens = new AccountTokens(state, clock, localBuckets, collector);
  }

  /** True when no request is being served and no borrowed grant is left. */
  get isIdle(): boolean {
    return !this.isServing && this.state.borrowed.isEmpty;
  }

  admit(
    tokens: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Admission, RateRefusal>> {
    this.state.lastUsedAt = this.parts.clock.now();
    if (!this.isServing) {
      const admission = this.tokens.charge(tokens);
      if (admission !== undefined) {
        this.parts.counters.admittedImmediately += 1;
        return Promise.resolve(Result.ok(admission));
      }
    }
    return this.enqueue(tokens, signal);
  }

  /** Sends all unused borrowed tokens back to their holders. */
  returnAllGrants(): void {
    this.tokens.returnExpiringGrants(Infinity);
  }

  /** Refuses all waiting requests and sends all borrowed grants back. */
  async close(): Promise<void> {
    for (const request of this.queue.splice(0))
      request.resolve(Result.err(finalRefusal('closed')));
    // Grants that the current batch still receives are sent back as well.
    await this.servingTask;
    this.returnAllGrants();
  }

  private enqueue(
    tokens: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Admission, RateRefusal>> {
    return new Promise(resolve => {
      const request: WaitingRequest = {
        tokens,
        isResolved: false,
        resolve: result => {
          if (request.isResolved) return;
          request.isResolved = true;
          this.countResult(result);
          signal?.removeEventListener('abort', cancel);
          resolve(result);
        },
      };
      const cancel = () =>
        request.resolve(Result.err(finalRefusal('cancelled')));
      signal?.addEventListener('abort', cancel, {once: true});
      this.queue.push(request);
      if (!this.isServing) this.servingTask = this.serveQueue();
    });
  }

  private countResult(result: Result<Admission, RateRefusal>): void {
    const {counters} = this.parts;
    if (result.isOk) counters.admittedAfterWait += 1;
    else counters.refused[result.error.reason] += 1;
  }

  private async serveQueue(): Promise<void> {
    this.isServing = true;
    while (this.queue.length > 0) {
      const batch = this.queue;
      this.queue = [];
      const unresolved = await this.resolveBatch(batch);
      for (const request of await this.retryAfterRefill(unresolved))
        this.refuse(request);
      // Sends back the tokens that were collected for unresolved requests.
      if (unresolved.length > 0) this.returnAllGrants();
    }
    this.isServing = false;
    if (!this.state.borrowed.isEmpty && !this.isReturningGrants)
      void this.returnGrantsBeforeExpiry();
  }

  /**
   * Borrows tokens for the batch and resolves each request that it can; returns
   * the others.
   */
  private async resolveBatch(
    batch: readonly WaitingRequest[],
  ): Promise<WaitingRequest[]> {
    const pending = batch.filter(request => !request.isResolved);
    await this.collectFor(pending);
    return pending.filter(request => !this.tryResolve(request));
  }

  /**
   * Retries requests once after a short wait for a refill and returns those
   * that remain. An account that stays above its rate gains nothing by waiting,
   * so requests do not wait within `noWaitAfterRefusalMilliseconds` of a
   * refusal.
   */
  private async retryAfterRefill(
    unresolved: WaitingRequest[],
  ): Promise<WaitingRequest[]> {
    const {clock, closeSignal} = this.parts;
    const waitMilliseconds = this.refillMilliseconds(unresolved);
    const hasRecentRefusal =
      clock.now() - this.lastRefusedAt < noWaitAfterRefusalMilliseconds;
    if (hasRecentRefusal || waitMilliseconds > maximumRefillWaitMilliseconds)
      return unresolved;
    this.returnAllGrants();
    await clock.sleep(waitMilliseconds, closeSignal);
    return this.resolveBatch(unresolved);
  }

  private async collectFor(batch: readonly WaitingRequest[]): Promise<void> {
    const {collector, closeSignal} = this.parts;
    const {state} = this;
    const now = this.parts.clock.now();
    const availableTokens = this.tokens.available();
    const neededTokens = batch.reduce(
      (sum, request) => sum + request.tokens,
      0,
    );
    const missingTokens = neededTokens - availableTokens;
    if (missingTokens <= 0 || closeSignal.aborted) return;
    const spareTokens = state.recentlyMissingTokens(now) * spareRequestFraction;
    state.recordMissingTokens(missingTokens, now);
    const smallestRequestTokens = Math.min(
      ...batch.map(request => request.tokens),
    );
    const usefulTokens = Math.max(0, smallestRequestTokens - availableTokens);
    await collector.collect(state, missingTokens, usefulTokens, spareTokens);
  }

  /** Admits or refuses `request`; returns false if it needs more tokens. */
  private tryResolve(request: WaitingRequest): boolean {
    if (request.isResolved) return true;
    const document = this.parts.documentOf(this.state);
    if (this.parts.closeSignal.aborted) {
      request.resolve(Result.err(finalRefusal('closed')));
    } else if (document === undefined) {
      request.resolve(Result.err(finalRefusal('unknown-account')));
    } else if (request.tokens > document.spec.burstTokens) {
      request.resolve(Result.err(finalRefusal('larger-than-burst')));
    } else {
      const admission = this.tokens.charge(request.tokens);
      if (admission === undefined) return false;
      request.resolve(Result.ok(admission));
    }
    return true;
  }

  private refuse(request: WaitingRequest): void {
    this.lastRefusedAt = this.parts.clock.now();
    const waitMilliseconds = this.refillMilliseconds([request]);
    const retryAfterMilliseconds = Number.isFinite(waitMilliseconds)
      ? waitMilliseconds
      : 0;
    request.resolve(
      Result.err({reason: 'rate-exceeded', retryAfterMilliseconds}),
    );
  }

  /**
   * Estimated time until a refill admits the first of `requests`; Infinity
   * without a request or with a rate of zero.
   */
  private refillMilliseconds(requests: readonly WaitingRequest[]): number {
    const [first] = requests;
    const spec = this.parts.documentOf(this.state)?.spec;
    const rate = (spec?.rateTokensPerSecond ?? 0) * this.state.totalFraction;
    if (first === undefined || rate === 0) return Infinity;
    const missingTokens = first.tokens - this.tokens.available();
    return Math.max(1, Math.ceil((missingTokens / rate) * 1_000));
  }

  /** Sends grants back shortly before they expire, until none is left. */
  private async returnGrantsBeforeExpiry(): Promise<void> {
    const {clock, closeSignal} = this.parts;
    this.isReturningGrants = true;
    while (!this.state.borrowed.isEmpty && !closeSignal.aborted) {
      await clock.sleep(returnIntervalMilliseconds, closeSignal);
      this.tokens.returnExpiringGrants(clock.now() + returnLeadMilliseconds);
    }
    this.isReturningGrants = false;
  }
}
