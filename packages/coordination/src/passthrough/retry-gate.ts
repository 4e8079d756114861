/** Permits further sends of calls to upstreams, and reports each decision. */

import type {PoolDocument} from '../generated/documents.js';
import type {RetryLimit} from './call-events.js';
import type {RoutedCall} from './call.js';
import {CallSends} from './call-sends.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {retryLimitOf} from './retry-limit.js';
import type {AttemptCounts} from './retry-limit.js';

/** A further send that is wanted. */
export interface RetryRequest {
  readonly call: RoutedCall;
  readonly pool: PoolDocument;
  readonly counts: AttemptCounts;
  readonly sends: CallSends;
  /** Why the call is to be sent again. */
  readonly reason: string;
}

/** Sends that are covered before a prompt is read again: the prefill, and the run. */
const sendsOfPrefill = 2;

export class RetryGate {
  constructor(
    private readonly parts: Pick<
      PassthroughParts,
      'clock' | 'retryBudget' | 'observer'
    >,
  ) {}

  /** Begins to count the sends of a call, and reports those beyond the first. */
  createSends({id, isHandedOver}: RoutedCall): CallSends {
    const {observer, retryBudget} = this.parts;
    return new CallSends(
      retryBudget,
      repeat => observer(id, {kind: 'repeated', ...repeat}),
      !isHandedOver,
    );
  }

  /** What forbids another attempt now, if anything does. Acquires nothing. */
  limitOf({call, pool, counts, sends}: RetryRequest): RetryLimit | undefined {
    const limit = retryLimitOf(call, counts, this.parts.clock.now());
    if (limit !== undefined) return limit;
    return sends.canCover(pool.name, 1) ? undefined : 'budget';
  }

  /** Acquires permission; resolves with false if the attempt is forbidden. */
  acquire(request: RetryRequest): Promise<boolean> {
    return this.acquireSend(request, this.limitOf(request));
  }

  /**
   * Acquires permission for the run of a call that was prefilled. It needs a retry
   * if an engine rejected a prefill.
   */
  async acquireRun(request: RetryRequest): Promise<boolean> {
    const acquired = await request.sends.cover(request.pool.name, 1);
    if (acquired === undefined) this.reportWithheld(request, 'budget');
    else if (acquired > 0) this.reportRetried(request, acquired);
    return acquired !== undefined;
  }

  /**
   * Acquires permission for a prefill, and for the run after it: a prompt that is
   * read for a run that is not allowed is read in vain. The run may be allowed
   * nevertheless if this resolves with false.
   */
  async acquirePrefill(request: RetryRequest): Promise<boolean> {
    const {sends, pool} = request;
    if (sends.isPrefillFree) return true;
    const acquired = await sends.cover(pool.name, sendsOfPrefill);
    if (acquired !== undefined && acquired > 0)
      this.reportRetried(request, acquired);
    return acquired !== undefined;
  }

  reportWithheld({call, reason}: RetryRequest, limit: RetryLimit): void {
    this.parts.observer(call.id, {kind: 'retry-withheld', reason, limit});
  }

  /** Covers a further send unless `limit` forbids it, and reports the decision. */
  private async acquireSend(
    request: RetryRequest,
    limit: RetryLimit | undefined,
  ): Promise<boolean> {
    const {sends, pool} = request;
    const acquired =
      limit === undefined ? await sends.cover(pool.name, 1) : undefined;
    if (acquired === undefined) this.reportWithheld(request, limit ?? 'budget');
    else this.reportRetried(request, acquired);
    return acquired !== undefined;
  }

  private reportRetried(
    {call, pool, reason, counts}: RetryRequest,
    acquired: number,
  ): void {
    const {observer, retryBudget} = this.parts;
    observer(call.id, {
      kind: 'retried',
      reason,
      tries: counts.attempts,
      pool: pool.name,
      acquired,
      ...retryBudget.stateOf(pool.name),
    });
  }
}
