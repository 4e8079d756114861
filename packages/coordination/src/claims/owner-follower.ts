/** Follows the attempts that may run in place of the own one. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimOwnerState_State as State} from '../generated/messages/persimmonwick/claims.js';
import type {Ballot} from './ballot.js';
import type {ClaimDecision, ClaimRefusal} from './claim-decision.js';
import {notRunRefusal, retryAfterMilliseconds} from './claim-decision.js';
import type {ClaimMessenger} from './claim-messenger.js';

const longestOwnerWaitMilliseconds = 5000;

/** What one round of voting came to. */
export type RoundResult =
  | {readonly kind: 'decided'; readonly decision: ClaimDecision}
  | {readonly kind: 'refused'; readonly refusal: ClaimRefusal}
  /** Another round may do better; `refusal` holds when there is none. */
  | {readonly kind: 'again'; readonly refusal: ClaimRefusal};

export interface OwnerFollowerParts {
  readonly clock: Clock;
  readonly messenger: ClaimMessenger;
}

export class OwnerFollower {
  constructor(private readonly parts: OwnerFollowerParts) {}

  /** Works out what the votes of a lost `ballot` mean for its key. */
  async follow(
    key: ClaimKey,
    ballot: Ballot,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    let result: RoundResult | undefined;
    for (const owner of ballot.contenders()) {
      result = await this.followOwner(key, owner, deadline, signal);
      if (result.kind !== 'again') return result;
    }
    if (result !== undefined) return result;
    if (signal.aborted) return refuse(notRunRefusal('cancelled'));
    if (ballot.isContested())
      return {kind: 'again', refusal: notRunRefusal('contested')};
    return refuse(
      notRunRefusal(ballot.isOverloaded() ? 'overloaded' : 'no-majority'),
    );
  }

  /** Waits for the end of another attempt, until the deadline. */
  private async followOwner(
    key: ClaimKey,
    owner: ClaimOwner,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    const {clock, messenger} = this.parts;
    for (;;) {
      const left = Math.max(0, deadline - clock.now());
      const wait = Math.floor(Math.min(left, longestOwnerWaitMilliseconds));
      const answer = await raceAbort(
        messenger.queryOwner(key, owner, wait),
        signal,
      );
      switch (answer?.state) {
        case State.STATE_RUNNING:
          if (clock.now() + 1 >= deadline)
            return refuse({kind: 'in-progress', retryAfterMilliseconds});
          break;
        case State.STATE_FINISHED:
          if (answer.outcome === undefined)
            return {kind: 'again', refusal: {kind: 'unknown'}};
          return {
            kind: 'decided',
            decision: {kind: 'replay', outcome: answer.outcome},
          };
        case State.STATE_ABANDONED:
          return {kind: 'again', refusal: notRunRefusal('contested')};
        case State.STATE_GONE:
        case State.STATE_UNSPECIFIED:
        case State.UNRECOGNIZED:
        case undefined:
          return refuse({kind: 'unknown'});
      }
    }
  }
}

export function refuse(refusal: ClaimRefusal): RoundResult {
  return {kind: 'refused', refusal};
}

/** Resolves to undefined when `signal` is aborted first. */
async function raceAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value | undefined> {
  if (signal.aborted) return undefined;
  let onAbort = () => {};
  const aborted = new Promise<undefined>(resolve => {
    onAbort = () => resolve(undefined);
    signal.addEventListener('abort', onAbort, {once: true});
  });
  const value = await Promise.race([promise, aborted]);
  signal.removeEventListener('abort', onAbort);
  return value;
}
