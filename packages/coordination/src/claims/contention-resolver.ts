/** Determines the state of competing attempts after a lost vote. */

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

  /** Queries the possible owners of the key after a `tally` without a majority. */
  async resolve(
    key: ClaimKey,
    tally: VoteTally,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    let result: RoundResult | undefined;
    for (const owner of tally.possibleOwners()) {
      result = await this.awaitOwner(key, owner, deadline, signal);
      if (result.kind !== 'retry') return result;
    }
    if (result !== undefined) return result;
    if (signal.aborted) return refuse(notRunRefusal('cancelled'));
    if (tally.isContested())
      return {kind: 'retry', refusal: notRunRefusal('contested')};
    return refuse(
      notRunRefusal(tally.isOverloaded() ? 'overloaded' : 'no-majority'),
    );
  }

  /** Waits until another attempt ends or the deadline passes. */
  private async awaitOwner(
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
        client.queryOwner(key, owner, waitMilliseconds),
        signal,
      );
      switch (reply?.state) {
        case State.STATE_RUNNING:
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
