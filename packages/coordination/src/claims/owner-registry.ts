/** What the attempts of this start of the host have come to. */

import type {Clock} from '../clock.js';
import type {
  ClaimOutcome,
  ClaimOwner,
  ClaimOwnerState,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimOwnerState_State as State} from '../generated/messages/persimmonwick/claims.js';
import type {PeerIdentity} from '../peers/transport.js';
import {claimNameText} from './witness-placement.js';
import type {ClaimName} from './witness-placement.js';

interface LiveAttempt {
  readonly name: string;
  readonly ended: Promise<void>;
  readonly end: () => void;
  state: 'running' | 'finished' | 'abandoned';
  outcome: ClaimOutcome | undefined;
}

const maximumAbandonedAttempts = 10_000;

export class OwnerRegistry {
  private readonly abandoned = new Set<string>();
  /** Attempts with an outcome, by the time at which they are forgotten. */
  private readonly expiries = new Map<string, number>();
  private readonly attempts = new Map<string, LiveAttempt>();

  constructor(
    private readonly clock: Clock,
    private readonly self: PeerIdentity,
  ) {}

  get size(): number {
    return this.attempts.size;
  }

  /** Notes an attempt before its first message. */
  begin(name: ClaimName, attempt: string): void {
    this.expire();
    let end = () => {};
    const ended = new Promise<void>(resolve => (end = resolve));
    this.attempts.set(attempt, {
      name: claimNameText(name),
      ended,
      end,
      state: 'running',
      outcome: undefined,
    });
  }

  /** Notes that an attempt will never be sent. */
  abandon(attempt: string): void {
    const known = this.attempts.get(attempt);
    if (known === undefined) return;
    known.state = 'abandoned';
    known.end();
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
   * Notes the outcome of an attempt, undefined for one that was lost, and
   * forgets it after the retention.
   */
  finish(
    attempt: string,
    outcome: ClaimOutcome | undefined,
    retentionMilliseconds: number,
  ): void {
    const known = this.attempts.get(attempt);
    if (known === undefined) return;
    this.expiries.set(attempt, this.clock.now() + retentionMilliseconds);
    known.state = 'finished';
    known.outcome = outcome;
    known.end();
  }

  /** Drops the body that the witnesses keep from now on. */
  release(attempt: string): void {
    const known = this.attempts.get(attempt);
    if (known !== undefined) known.outcome = undefined;
  }

  /** Answers another host, after waiting for an end as long as asked. */
  async answer(
    name: ClaimName,
    owner: ClaimOwner,
    waitMilliseconds: number,
  ): Promise<ClaimOwnerState> {
    if (!this.isOwn(owner))
      return {state: State.STATE_GONE, outcome: undefined};
    if (this.abandoned.has(owner.attempt))
      return {state: State.STATE_ABANDONED, outcome: undefined};
    const known = this.attempts.get(owner.attempt);
    if (known === undefined || known.name !== claimNameText(name))
      return {state: State.STATE_GONE, outcome: undefined};
    await this.wait(known, waitMilliseconds);
    return stateOf(known);
  }

  private expire(): void {
    const now = this.clock.now();
    for (const [attempt, expiresAt] of this.expiries) {
      if (expiresAt > now) return;
      this.expiries.delete(attempt);
      this.attempts.delete(attempt);
    }
  }

  private async wait(known: LiveAttempt, milliseconds: number): Promise<void> {
    if (known.state !== 'running' || milliseconds <= 0) return;
    const woken = new AbortController();
    await Promise.race([
      known.ended,
      this.clock.sleep(milliseconds, woken.signal),
    ]);
    woken.abort();
  }
}

function stateOf(known: LiveAttempt): ClaimOwnerState {
  switch (known.state) {
    case 'running':
      return {state: State.STATE_RUNNING, outcome: undefined};
    case 'finished':
      return {state: State.STATE_FINISHED, outcome: known.outcome};
    case 'abandoned':
      return {state: State.STATE_ABANDONED, outcome: undefined};
  }
}
