/** The attempts that this host has running at engines. */

import type {AttemptId} from '../ids.js';

export class OwnedAttempts {
  private readonly attempts = new Set<AttemptId>();

  get size(): number {
    return this.attempts.size;
  }

  /**
   * Registers an attempt. This must come before the first message of the
   * attempt goes to an engine, and the release after the last one: whoever saw
   * the attempt at an engine and finds it missing here may cancel it.
   */
  register(attempt: AttemptId): void {
    this.attempts.add(attempt);
  }

  release(attempt: AttemptId): void {
    this.attempts.delete(attempt);
  }

  /** Those of `attempts` that this host does not want. */
  disowned(attempts: readonly AttemptId[]): AttemptId[] {
    return attempts.filter(attempt => !this.attempts.has(attempt));
  }
}
