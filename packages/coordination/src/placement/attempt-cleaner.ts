/** Frees what attempts hold at engines, without holding back any answer. */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock.js';
import type {EngineAttempt} from '../upstreams/engine.js';
import {callWithin} from './abort-scope.js';
import type {EngineState} from './engine-state.js';

/** Records the attempts that this host owns, for those who ask. */
export interface OwnedAttempts {
  register(attempt: EngineAttempt): void;
  release(attempt: EngineAttempt): void;
}

const cancelTimeoutMilliseconds = 500;
const firstPauseMilliseconds = 200;
const cancelTries = 3;

export class AttemptCleaner {
  private readonly tasks = new Set<Promise<void>>();
  private readonly closing = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly owned: OwnedAttempts | undefined,
  ) {
    // Each cancel listens.
    setMaxListeners(0, this.closing.signal);
  }

  /** Called before an engine sees `attempt`. */
  register(attempt: EngineAttempt): void {
    this.owned?.register(attempt);
  }

  /** Cancels `attempt` at `engines` and then disowns it. */
  release(attempt: EngineAttempt, engines: Iterable<EngineState>): void {
    const task = this.cancelAll(attempt, [...engines]).finally(() =>
      this.tasks.delete(task),
    );
    this.tasks.add(task);
  }

  /** Cancels at one engine and keeps the attempt owned. */
  cancelAt(attempt: EngineAttempt, state: EngineState): void {
    const task = this.cancel(attempt, state).finally(() =>
      this.tasks.delete(task),
    );
    this.tasks.add(task);
  }

  /** Waits until every cancel has been tried. */
  async close(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
    this.closing.abort();
  }

  private async cancelAll(
    attempt: EngineAttempt,
    engines: readonly EngineState[],
  ): Promise<void> {
    await Promise.all(engines.map(state => this.cancel(attempt, state)));
    // An engine that could not be told learns it when it asks for the owner.
    this.owned?.release(attempt);
  }

  private async cancel(
    attempt: EngineAttempt,
    {engine}: EngineState,
  ): Promise<void> {
    let pause = firstPauseMilliseconds;
    for (let tries = 0; tries < cancelTries; tries += 1) {
      const result = await callWithin(
        this.clock,
        cancelTimeoutMilliseconds,
        this.closing.signal,
        engine.id,
        signal => engine.cancel(attempt, signal),
      );
      if (result.isOk) return;
      await this.clock.sleep(pause, this.closing.signal);
      pause *= 2;
    }
  }
}
