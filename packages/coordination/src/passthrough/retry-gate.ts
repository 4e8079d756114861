/** Permits further attempts of calls, and reports each decision. */

import type {PoolDocument} from '../generated/documents.js';
import type {RetryLimit} from './call-events.js';
import type {RoutedCall} from './call.js';
import {CallSends} from './call-sends.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {HeldRetry} from './pool-retry-budget.js';
import {retryLimitOf} from './retry-limit.js';
import type {AttemptCounts} from './retry-limit.js';

/** A further attempt that is wanted. */
export interface RetryRequest {
  readonly call: RoutedCall;
  readonly pool: PoolDocument;
  readonly counts: AttemptCounts;
  /** Why the call is to be attempted again. */
  readonly reason: string;
  readonly usesRetryBudget: boolean;
}

export class RetryGate {
  constructor(
    private readonly parts: Pick<
      PassthroughParts,
      'clock' | 'retryBudget' | 'observer'
    >,
  ) {}

  /** Begins to count the sends of a call, and reports those beyond the first. */
  createSends(call: RoutedCall, {name: pool}: PoolDocument): CallSends {
    const {observer} = this.parts;
    return new CallSends(repeat =>
      observer(call.id, {kind: 'repeated', pool, ...repeat}),
    );
  }

  /** What forbids the attempt now, if anything does. Acquires nothing. */
  limitOf({
    call,
    pool,
    counts,
    usesRetryBudget,
  }: RetryRequest): RetryLimit | undefined {
    const {clock, retryBudget} = this.parts;
    const limit = retryLimitOf(call, counts, clock.now());
    if (limit !== undefined) return limit;
    return usesRetryBudget && !retryBudget.canAcquire(pool.name)
      ? 'budget'
      : undefined;
  }

  /** Acquires permission; returns false if the attempt is forbidden. */
  acquire(request: RetryRequest): boolean {
    const limit = this.limitOf(request);
    if (limit !== undefined) {
      this.reportWithheld(request, limit);
      return false;
    }
    const {call, pool, counts, reason, usesRetryBudget} = request;
    if (usesRetryBudget) this.parts.retryBudget.tryAcquire(pool.name);
    const tries = counts.attempts;
    this.reportRetried(call, pool, reason, tries);
    return true;
  }

  /** Acquires permission for a prefill of a call that has been prefilled before. */
  acquirePrefill(call: RoutedCall, pool: PoolDocument, tries: number): boolean {
    if (!this.parts.retryBudget.tryAcquire(pool.name)) return false;
    this.reportRetried(call, pool, 'prefill', tries);
    return true;
  }

  private reportRetried(
    call: RoutedCall,
    {name: pool}: PoolDocument,
    reason: string,
    tries: number,
  ): void {
    const {observer, retryBudget} = this.parts;
    const state = retryBudget.stateOf(pool);
    observer(call.id, {kind: 'retried', reason, tries, pool, ...state});
  }

  /**
   * What forbids a replacement of an attempt that still goes on, if anything does.
   * The replacement may be rejected, so a further attempt has to be left.
   */
  limitOfReplacement(request: RetryRequest): RetryLimit | undefined {
    const {call, pool, counts} = request;
    const {clock, retryBudget} = this.parts;
    const afterwards = {...counts, attempts: counts.attempts + 1};
    return (
      retryLimitOf(call, afterwards, clock.now()) ??
      (retryBudget.canAcquire(pool.name, 2) ? undefined : 'budget')
    );
  }

  /**
   * Acquires permission for a replacement, and sets a retry aside for the case that
   * it is rejected; returns undefined if either is forbidden.
   */
  acquireReplacement(request: RetryRequest): HeldRetry | undefined {
    const limit = this.limitOfReplacement(request);
    if (limit !== undefined) {
      this.reportWithheld(request, limit);
      return undefined;
    }
    const held = this.parts.retryBudget.hold(request.pool.name);
    if (this.acquire(request)) return held;
    held?.release();
    return undefined;
  }

  reportWithheld({call, reason}: RetryRequest, limit: RetryLimit): void {
    this.parts.observer(call.id, {kind: 'retry-withheld', reason, limit});
  }
}
