/** Aggregates observations of requests into statistics by account and class. */

import type {
  Clock,
  FailureCode,
  RequestFailure,
} from '@persimmonwick/coordination';
import {AccountTable} from './account-table.js';
import type {AccountEntry} from './account-table.js';
import type {
  RequestObservation,
  RequestObserver,
  RequestAttributes,
} from './request-observer.js';
import type {RequestStatistics} from './request-statistics.js';

export class RequestMetrics implements RequestObserver {
  private readonly accountTable: AccountTable;
  /** Counts of requests that failed before their account and route were known. */
  readonly failuresBeforeRouting = new Map<FailureCode, number>();

  constructor(
    private readonly clock: Clock,
    maximumAccounts?: number,
  ) {
    this.accountTable = new AccountTable(clock, maximumAccounts);
  }

  startObservation(
    attributes: RequestAttributes,
    arrivedAt: number,
  ): RequestObservation {
    const getOrCreateStatistics = () =>
      this.accountTable.statisticsOf(
        attributes.account,
        attributes.serviceClass,
      );
    return new StatisticsObservation(
      attributes,
      arrivedAt,
      this.clock,
      getOrCreateStatistics,
    );
  }

  refused({code}: RequestFailure): void {
    this.failuresBeforeRouting.set(
      code,
      (this.failuresBeforeRouting.get(code) ?? 0) + 1,
    );
  }

  entries(): Iterable<AccountEntry> {
    return this.accountTable.entries();
  }
}

class StatisticsObservation implements RequestObservation {
  private firstTokenAt: number | undefined;
  private lastTokenAt = 0;
  private tokensAfterFirst = 0;
  private statistics: RequestStatistics;

  constructor(
    private readonly attributes: RequestAttributes,
    private readonly arrivedAt: number,
    private readonly clock: Clock,
    private readonly getOrCreateStatistics: () => RequestStatistics,
  ) {
    this.statistics = getOrCreateStatistics();
  }

  dequeued(): void {
    this.statistics.record('queueing', this.clock.now() - this.arrivedAt);
  }

  firstToken(): void {
    const now = this.clock.now();
    this.firstTokenAt = now;
    this.lastTokenAt = now;
    this.statistics.record('first-token', now - this.arrivedAt);
  }

  token(): void {
    const now = this.clock.now();
    this.statistics.record('between-tokens', now - this.lastTokenAt);
    this.lastTokenAt = now;
    this.tokensAfterFirst += 1;
  }

  prefillWasted(tokens: number): void {
    this.statistics.wastedPrefillTokens += tokens;
  }

  finished(): void {
    // Looked up again, because the account may have been evicted meanwhile.
    const statistics = this.getOrCreateStatistics();
    statistics.finished += 1;
    if (this.isWithinTargets()) statistics.goodput += 1;
    statistics.record('whole-request', this.clock.now() - this.arrivedAt);
  }

  failed(failure: RequestFailure, isInsideRate?: boolean): void {
    // Looked up again, because the account may have been evicted meanwhile.
    const statistics = this.getOrCreateStatistics();
    statistics.countFailure(failure.code);
    if (failure.ran !== 'not-run') return;
    if (isInsideRate ?? countsAsRefusedInsideRate(failure.code))
      statistics.refusedInsideRate += 1;
  }

  /**
   * True if the first token and the mean time between tokens met their targets.
   * True for a request without targets.
   */
  private isWithinTargets(): boolean {
    const {firstTokenMilliseconds, betweenTokensMilliseconds} = this.attributes;
    if (firstTokenMilliseconds === undefined) return true;
    if (this.firstTokenAt === undefined) return false;
    if (this.firstTokenAt - this.arrivedAt > firstTokenMilliseconds)
      return false;
    if (this.tokensAfterFirst === 0) return true;
    const meanMilliseconds =
      (this.lastTokenAt - this.firstTokenAt) / this.tokensAfterFirst;
    return meanMilliseconds <= (betweenTokensMilliseconds ?? Infinity);
  }
}

/**
 * Whether a request that failed with `code` before it ran counts as refused
 * within the rate: true if the host or an upstream is the cause.
 */
function countsAsRefusedInsideRate(code: FailureCode): boolean {
  switch (code) {
    case 'queue-full':
    case 'memory-short':
    case 'processor-short':
    case 'target-unreachable':
    case 'no-upstream':
    case 'claim-unavailable':
    case 'stream-not-resumable':
    case 'draining':
    case 'not-ready':
    case 'upstream-failed':
    case 'upstream-timeout':
    case 'internal':
      return true;
    case 'invalid-request':
    case 'missing-key':
    case 'unknown-key':
    case 'key-withdrawn':
    case 'route-forbidden':
    case 'route-not-found':
    case 'model-not-found':
    case 'idempotency-key-missing':
    case 'idempotency-key-reused':
    case 'idempotency-key-in-use':
    case 'outcome-unknown':
    case 'body-too-large':
    case 'headers-too-large':
    case 'request-timeout':
    case 'rate-exceeded':
    case 'prompt-quarantined':
    case 'request-quarantined':
    case 'caller-gone':
    case 'connection-closed':
      return false;
  }
}
