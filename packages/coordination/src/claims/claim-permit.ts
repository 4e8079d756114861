/** Permission to send one attempt, once. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {ClaimOutcome} from '../generated/messages/persimmonwick/claims.js';

/** Reason for which a permit cannot be used. */
export type PermitError =
  /** The claim window has passed; the attempt was abandoned. */
  | {readonly kind: 'window-passed'}
  /** The permit was already used or abandoned. */
  | {readonly kind: 'already-used'};

/** Called when a permit ends. */
export interface PermitCallbacks {
  abandon(): void;
  record(outcome: ClaimOutcome): Promise<number>;
  markOutcomeUnknown(): void;
}

export class ClaimPermit {
  private state: 'ready' | 'sent' | 'ended' = 'ready';

  constructor(
    private readonly clock: Clock,
    private readonly expiresAt: number,
    private readonly callbacks: PermitCallbacks,
  ) {}

  /**
   * Marks the request as sent. Fails if the permit was used before or the claim
   * window has passed. Must succeed directly before the request is written,
   * without an `await` in between. The clock advances while the host is paused, so
   * a host that was paused for longer than the claim window gets an error.
   */
  markSending(): Result<void, PermitError> {
    if (this.state !== 'ready') return Result.err({kind: 'already-used'});
    if (this.clock.now() > this.expiresAt) {
      this.abandon();
      return Result.err({kind: 'window-passed'});
    }
    this.state = 'sent';
    return Result.ok(undefined);
  }

  /**
   * Records the outcome of a request that was sent. Resolves, after retries, to
   * the number of witnesses that stored it. Resolves to 0 without an effect in any
   * other state.
   */
  async record(outcome: ClaimOutcome): Promise<number> {
    if (this.state !== 'sent') return 0;
    this.state = 'ended';
    return this.callbacks.record(outcome);
  }

  /** Ends the permit of a request that was sent and whose outcome is unknown. */
  markOutcomeUnknown(): void {
    if (this.state !== 'sent') return;
    this.state = 'ended';
    this.callbacks.markOutcomeUnknown();
  }

  /** Abandons the attempt if the request was not sent; otherwise does nothing. */
  abandon(): void {
    if (this.state !== 'ready') return;
    this.state = 'ended';
    this.callbacks.abandon();
  }

  /**
   * Abandons the attempt after `markSending`, when the upstream has confirmed that
   * it did not and will not execute the request.
   */
  markNotExecuted(): void {
    if (this.state !== 'sent') return;
    this.state = 'ended';
    this.callbacks.abandon();
  }
}
