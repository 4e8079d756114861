/**
 * Limits the retries of completions over all hosts of the membership, by the same
 * allowance as the retries of passed-through calls.
 */

import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import {PoolRetryBudget} from '../passthrough/pool-retry-budget.js';
import type {HeldRetry} from '../passthrough/pool-retry-budget.js';

export interface CompletionRetriesParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  /**
   * Time after its start for which a host sends only the retries that completed
   * requests have earned, because its last process may have sent others.
   */
  readonly startMilliseconds: number;
}

/** Retries for each completed request. */
const ratio = 0.2;

/** Retries in addition in each window, for each member of the fleet. */
const extraPerHost = 20;

const windowMilliseconds = 10_000;

/** All completions of a host share one allowance. */
const pool = 'completions';

export class CompletionRetries {
  private readonly budget: PoolRetryBudget;

  constructor({
    clock,
    configuration,
    startMilliseconds,
  }: CompletionRetriesParts) {
    const startedAt = clock.now();
    const hostCount = () =>
      Math.max(1, configuration().membership?.spec.members.length ?? 1);
    this.budget = new PoolRetryBudget({
      clock,
      ratio,
      get extra() {
        return extraPerHost * hostCount();
      },
      windowMilliseconds,
      // The membership counts all hosts, whether they are in contact or not.
      share: () => ({
        kind:
          clock.now() - startedAt >= startMilliseconds ? 'counted' : 'starting',
        hosts: hostCount(),
      }),
    });
  }

  /**
   * Records a completed request. One that waits for engines earns nothing yet: when
   * many wait, what they would earn is more than can be saved.
   */
  recordCompletion(): void {
    this.budget.recordCall(pool);
  }

  isAvailable(): boolean {
    return this.budget.canAcquire(pool);
  }

  /** Sets one retry aside; undefined if none is left. */
  tryAcquire(): HeldRetry | undefined {
    return this.budget.tryAcquire(pool)?.[0];
  }
}
