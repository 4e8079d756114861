/** The right of one attempt to be sent, once. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {ClaimOutcome} from '../generated/messages/persimmonwick/claims.js';

/** Why a permit may not be used. */
export type PermitError =
  /** Too much time has passed since the claim; the attempt was abandoned. */
  | {readonly kind: 'window-passed'}
  /** The permit was used, or given up, before. */
  | {readonly kind: 'already-used'};

/** What the coordinator does when a permit ends. */
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
    private readonly ends: PermitCallbacks,
  ) {}

  /**
   * Must succeed before the request is written, and the write must follow with
   * no await between. The clock also runs through a pause, so a host that was
   * paused longer than the window finds it passed.
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
   * Keeps the outcome of a request that was sent. Resolves, after retries in
   * the background, to the number of witnesses that have it.
   */
  async record(outcome: ClaimOutcome): Promise<number> {
    if (this.state !== 'sent') return 0;
    this.state = 'ended';
    return this.ends.record(outcome);
  }

  /** Ends a request that was sent and whose outcome never came. */
  markOutcomeUnknown(): void {
    if (this.state !== 'sent') return;
    this.state = 'ended';
    this.ends.markOutcomeUnknown();
  }

  /** Gives the claim up before it was sent; does nothing afterwards. */
  abandon(): void {
    if (this.state !== 'ready') return;
    this.state = 'ended';
    this.ends.abandon();
  }

  /**
   * Gives the claim up after `markSending`, when the upstream has proved that
   * it did not and will not run the request.
   */
  abandonNotExecuted(): void {
    if (this.state !== 'sent') return;
    this.state = 'ended';
    this.ends.abandon();
  }
}
