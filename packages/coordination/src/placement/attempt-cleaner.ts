/**
 * Frees the engine memory of attempts in the background, without delaying
 * responses.
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock.js';
import type {EngineAttempt} from '../upstreams/engine.js';
import {callWithTimeout} from './abort-scope.js';
import type {EngineState} from './engine-state.js';

/**
 * Records the attempts that this host owns, so that it can answer ownership
 * queries.
 */
export interface AttemptRegistry {
  register(attempt: EngineAttempt): void;
  release(attempt: EngineAttempt): void;
}

const cancelTimeoutMilliseconds = 500;
const initialRetryIntervalMilliseconds = 200;
const maximumCancelCalls = 3;

export class AttemptCleaner {
  private readonly pendingCancels = new Set<Promise<void>>();
  private readonly closing = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly ownedAttempts: AttemptRegistry | undefined,
  ) {
    // Each pending cancellation adds a listener.
    setMaxListeners(0, this.closing.signal);
  }

  /**
   * Registers `attempt` as owned. Must be called before it is sent to an
   * engine.
   */
  register(attempt: EngineAttempt): void {
    this.ownedAttempts?.register(attempt);
  }

  /**
   * Cancels `attempt` at `engines` and then removes it from the owned attempts.
   */
  release(attempt: EngineAttempt, engines: Iterable<EngineState>): void {
    const pendingCancel = this.cancelAndRelease(attempt, [...engines]).finally(
      () => this.pendingCancels.delete(pendingCancel),
    );
    this.pendingCancels.add(pendingCancel);
  }

  /** Cancels `attempt` at one engine; the attempt stays owned. */
  cancelAt(attempt: EngineAttempt, state: EngineState): void {
    const pendingCancel = this.cancel(attempt, state).finally(() =>
      this.pendingCancels.delete(pendingCancel),
    );
    this.pendingCancels.add(pendingCancel);
  }

  /** Waits for all pending cancellations, including their retries. */
  async close(): Promise<void> {
    while (this.pendingCancels.size > 0) await Promise.all(this.pendingCancels);
    this.closing.abort();
  }

  private async cancelAndRelease(
    attempt: EngineAttempt,
    engines: readonly EngineState[],
  ): Promise<void> {
    await Promise.all(engines.map(state => this.cancel(attempt, state)));
    // At an engine that missed the cancellation, the sweeper of a host cancels
    // the attempt once this host no longer owns it.
    this.ownedAttempts?.release(attempt);
  }

  private async cancel(
    attempt: EngineAttempt,
    {engine}: EngineState,
  ): Promise<void> {
    let retryIntervalMilliseconds = initialRetryIntervalMilliseconds;
    for (let callCount = 0; callCount < maximumCancelCalls; callCount += 1) {
      const result = await callWithTimeout(
        this.clock,
        cancelTimeoutMilliseconds,
        this.closing.signal,
        engine.id,
        signal => engine.cancel(attempt, signal),
      );
      if (result.isOk) return;
      await this.clock.sleep(retryIntervalMilliseconds, this.closing.signal);
      retryIntervalMilliseconds *= 2;
    }
  }
}
