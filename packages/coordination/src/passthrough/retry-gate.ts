/** Permits further attempts of calls, and reports each decision. */

import type {PoolDocument} from '../generated/documents.js';
import type {RetryLimit} from './call-events.js';
import type {RoutedCall} from './call.js';
import type {PassthroughParts} from './passthrough-parts.js';
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
    this.parts.observer(call.id, {kind: 'retried', reason, tries});
    return true;
  }

  reportWithheld({call, reason}: RetryRequest, limit: RetryLimit): void {
    this.parts.observer(call.id, {kind: 'retry-withheld', reason, limit});
  }
}
