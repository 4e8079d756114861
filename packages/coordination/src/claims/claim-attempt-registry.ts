/** State of the attempts started by this incarnation of the host. */

import type {Clock} from '../clock.js';
import type {
  ClaimOutcome,
  ClaimOwner,
  ClaimOwnerState,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimOwnerState_State as State} from '../generated/messages/persimmonwick/claims.js';
import type {PeerIdentity} from '../peers/transport.js';
import {serializeClaimId} from './witness-placement.js';
import type {ClaimId} from './witness-placement.js';

interface RegisteredAttempt {
  readonly serializedClaimId: string;
  readonly ended: Promise<void>;
  readonly end: () => void;
  state: 'running' | 'finished' | 'abandoned';
  outcome: ClaimOutcome | undefined;
}

/** The oldest abandoned attempts above this number are dropped. */
const maximumAbandonedAttempts = 10_000;

export class ClaimAttemptRegistry {
  private readonly abandoned = new Set<string>();
  /** Expiry time of each finished attempt. */
  private readonly expiries = new Map<string, number>();
  private readonly attempts = new Map<string, RegisteredAttempt>();

  constructor(
    private readonly clock: Clock,
    private readonly self: PeerIdentity,
  ) {}

  get size(): number {
    return this.attempts.size;
  }

  /** Registers an attempt; must be called before its first message is sent. */
  add(id: ClaimId, attempt: string): void {
    this.removeExpired();
    let end = () => {};
    const ended = new Promise<void>(resolve => (end = resolve));
    this.attempts.set(attempt, {
      serializedClaimId: serializeClaimId(id),
      ended,
      end,
      state: 'running',
      outcome: undefined,
    });
  }

  /** Records that an attempt did not and will not execute the request. */
  abandon(attempt: string): void {
    const entry = this.attempts.get(attempt);
    if (entry === undefined) return;
    entry.state = 'abandoned';
    entry.end();
    this.attempts.delete(attempt);
    this.abandoned.add(attempt);
    for (const oldest of this.abandoned) {
      if (this.abandoned.size <= maximumAbandonedAttempts) return;
      this.abandoned.delete(oldest);
    }
  }

  isAbandoned(owner: ClaimOwner): boolean {
    return this.isOwn(owner) && this.abandoned.has(owner.attempt);
  }

  private isOwn(owner: ClaimOwner): boolean {
    return (
      owner.host === this.self.host &&
      owner.incarnation === this.self.incarnation
    );
  }

  /**
   * Records the outcome of an attempt, or undefined when it is unknown. The
   * record is removed after the retention time.
   */
  finish(
    attempt: string,
    outcome: ClaimOutcome | undefined,
    retentionMilliseconds: number,
  ): void {
    const entry = this.attempts.get(attempt);
    if (entry === undefined) return;
    this.expiries.set(attempt, this.clock.now() + retentionMilliseconds);
    entry.state = 'finished';
    entry.outcome = outcome;
    entry.end();
  }

  /** Drops an outcome that all witnesses have stored. */
  dropOutcome(attempt: string): void {
    const entry = this.attempts.get(attempt);
    if (entry !== undefined) entry.outcome = undefined;
  }

  /** Returns the state of an attempt; waits for its end for the requested time. */
  async queryState(
    id: ClaimId,
    owner: ClaimOwner,
    waitMilliseconds: number,
  ): Promise<ClaimOwnerState> {
    if (!this.isOwn(owner))
      return {state: State.STATE_GONE, outcome: undefined};
    if (this.abandoned.has(owner.attempt))
      return {state: State.STATE_ABANDONED, outcome: undefined};
    const entry = this.attempts.get(owner.attempt);
    if (entry === undefined || entry.serializedClaimId !== serializeClaimId(id))
      return {state: State.STATE_GONE, outcome: undefined};
    await this.waitUntilEnded(entry, waitMilliseconds);
    return stateOf(entry);
  }

  private removeExpired(): void {
    const now = this.clock.now();
    for (const [attempt, expiresAt] of this.expiries) {
      if (expiresAt > now) return;
      this.expiries.delete(attempt);
      this.attempts.delete(attempt);
    }
  }

  private async waitUntilEnded(
    entry: RegisteredAttempt,
    milliseconds: number,
  ): Promise<void> {
    if (entry.state !== 'running' || milliseconds <= 0) return;
    const timer = new AbortController();
    await Promise.race([
      entry.ended,
      this.clock.sleep(milliseconds, timer.signal),
    ]);
    timer.abort();
  }
}

function stateOf(entry: RegisteredAttempt): ClaimOwnerState {
  switch (entry.state) {
    case 'running':
      return {state: State.STATE_RUNNING, outcome: undefined};
    case 'finished':
      return {state: State.STATE_FINISHED, outcome: entry.outcome};
    case 'abandoned':
      return {state: State.STATE_ABANDONED, outcome: undefined};
  }
}
