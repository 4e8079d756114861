/** Determines the state of competing attempts after an attempt failed to win. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOwner,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimOwnerState_State as State} from '../generated/messages/persimmonwick/claims.js';
import type {VoteTally} from './vote-tally.js';
import type {ClaimDecision, ClaimRefusal} from './claim-decision.js';
import {
  defaultRetryAfterMilliseconds,
  notRunRefusal,
} from './claim-decision.js';
import type {ClaimClient} from './claim-client.js';

/** Maximum wait of one owner query; longer waits repeat the query. */
const maximumOwnerWaitMilliseconds = 5000;

/** Result of one voting round. */
export type RoundResult =
  | {readonly kind: 'decided'; readonly decision: ClaimDecision}
  | {readonly kind: 'refused'; readonly refusal: ClaimRefusal}
  /** Another round can succeed; `refusal` is returned after the last round. */
  | {readonly kind: 'retry'; readonly refusal: ClaimRefusal};

export interface ContentionResolverParts {
  readonly clock: Clock;
  readonly client: ClaimClient;
}

export class ContentionResolver {
  constructor(private readonly parts: ContentionResolverParts) {}

  /**
   * Queries the attempts that may hold the key, after votes that did not give the
   * local attempt a usable majority.
   */
  async resolve(
    key: ClaimKey,
    tally: VoteTally,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    let result: RoundResult | undefined;
    for (const owner of tally.possibleOwners()) {
      result = await this.awaitAttempt(key, owner, deadline, signal);
      if (result.kind !== 'retry') return result;
    }
    if (result !== undefined) return result;
    if (signal.aborted) return refuse(notRunRefusal('cancelled'));
    if (tally.isContested())
      return {kind: 'retry', refusal: notRunRefusal('contested')};
    return refuse(
      notRunRefusal(tally.hasFullWitness() ? 'overloaded' : 'no-majority'),
    );
  }

  /**
   * Queries the owner of another attempt until the attempt ends, the deadline
   * passes, the owner does not answer or `signal` is aborted.
   */
  private async awaitAttempt(
    key: ClaimKey,
    owner: ClaimOwner,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    const {clock, client} = this.parts;
    for (;;) {
      const remainingMilliseconds = Math.max(0, deadline - clock.now());
      const waitMilliseconds = Math.floor(
        Math.min(remainingMilliseconds, maximumOwnerWaitMilliseconds),
      );
      const reply = await raceAbort(
        client.queryAttemptState(key, owner, waitMilliseconds),
        signal,
      );
      switch (reply?.state) {
        case State.STATE_RUNNING:
          // Waits are whole milliseconds; a shorter rest would repeat the query
          // without a wait.
          if (clock.now() + 1 >= deadline)
            return refuse({
              kind: 'in-progress',
              retryAfterMilliseconds: defaultRetryAfterMilliseconds,
            });
          break;
        case State.STATE_FINISHED:
          if (reply.outcome === undefined)
            return {kind: 'retry', refusal: {kind: 'unknown'}};
          return {
            kind: 'decided',
            decision: {kind: 'replay', outcome: reply.outcome},
          };
        case State.STATE_ABANDONED:
          return {kind: 'retry', refusal: notRunRefusal('contested')};
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
