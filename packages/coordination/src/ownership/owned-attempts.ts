/** Registry of the attempts that this host has started at engines. */

import type {AttemptId} from '../ids.js';

export class OwnedAttempts {
  private readonly attempts = new Set<AttemptId>();

  get size(): number {
    return this.attempts.size;
  }

  /**
   * Registers an attempt. Must be called before the first message of the attempt
   * is sent to an engine, and `release` after the last one: a sweeper cancels an
   * attempt that an engine lists and that is not registered here.
   */
  register(attempt: AttemptId): void {
    this.attempts.add(attempt);
  }

  release(attempt: AttemptId): void {
    this.attempts.delete(attempt);
  }

  /** Returns the attempts that are not registered. */
  filterDisowned(attempts: readonly AttemptId[]): AttemptId[] {
    return attempts.filter(attempt => !this.attempts.has(attempt));
  }
}
