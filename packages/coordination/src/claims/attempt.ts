/** Collects the votes for one attempt and reports its result to the witnesses. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOutcome,
  ClaimOwner,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {VoteTally} from './vote-tally.js';
import type {ClaimClient} from './claim-client.js';
import {
  claimWindowMilliseconds,
  maximumOutcomeBodyBytes,
} from './claim-timing.js';
import type {MembershipView, WitnessSets} from './witness-placement.js';
import {chooseWitnesses, witnessHosts} from './witness-placement.js';

/** Timeouts of the delivery to all witnesses, including retries. */
const abandonTimeoutMilliseconds = 10_000;
const recordTimeoutMilliseconds = 60_000;

export interface ClaimAttemptParts {
  readonly clock: Clock;
  readonly client: ClaimClient;
  readonly view: MembershipView;
  readonly key: ClaimKey;
  readonly owner: ClaimOwner;
  /** Cancels the retries of `abandon` and `record` messages. */
  readonly signal: AbortSignal;
}

export class ClaimAttempt {
  readonly owner: ClaimOwner;
  readonly view: MembershipView;
  readonly witnesses: readonly HostId[];
  /** Local clock time after which grants are ignored. */
  readonly expiresAt: number;
  private readonly sets: WitnessSets;

  constructor(private readonly parts: ClaimAttemptParts) {
    this.owner = parts.owner;
    this.view = parts.view;
    this.sets = chooseWitnesses(parts.view, parts.key);
    this.witnesses = witnessHosts(this.sets);
    this.expiresAt = parts.clock.now() + claimWindowMilliseconds;
  }

  get isWithinWindow(): boolean {
    return this.parts.clock.now() <= this.expiresAt;
  }

  /**
   * Requests the vote of every witness. Resolves when the votes decide the result,
   * when all witnesses have replied, at the end of the claim window, at `deadline`
   * or when `signal` is aborted.
   */
  async collectVotes(
    deadline: number,
    signal: AbortSignal,
  ): Promise<VoteTally> {
    const {clock} = this.parts;
    const tally = new VoteTally(this.sets);
    const remainingMilliseconds =
      Math.min(this.expiresAt, deadline) - clock.now();
    const stopping = new AbortController();
    const stop = () => stopping.abort();
    signal.addEventListener('abort', stop, {once: true});
    const voteRequests = this.witnesses.map(async host => {
      const vote = await this.requestVote(host, remainingMilliseconds);
      if (!this.isWithinWindow || stopping.signal.aborted) return;
      tally.add(host, vote);
      if (tally.result().kind !== 'undecided') stop();
    });
    void Promise.all(voteRequests).then(stop);
    await clock.sleep(remainingMilliseconds, stopping.signal);
    stop();
    signal.removeEventListener('abort', stop);
    return tally;
  }

  /**
   * Informs all witnesses that the attempt did not and will not execute the
   * request. Resolves to the number of witnesses that acknowledged it.
   */
  sendAbandon(): Promise<number> {
    return this.broadcast(
      {$case: 'abandon', value: {}},
      abandonTimeoutMilliseconds,
    );
  }

  /**
   * Sends the outcome to all witnesses. Resolves to the number of witnesses that
   * stored it.
   */
  sendOutcome(outcome: ClaimOutcome): Promise<number> {
    const isTooLarge = outcome.body.length > maximumOutcomeBodyBytes;
    const stored = isTooLarge
      ? {...outcome, body: new Uint8Array(), bodyOmitted: true}
      : outcome;
    return this.broadcast(
      {$case: 'record', value: {outcome: stored}},
      recordTimeoutMilliseconds,
    );
  }

  private requestVote(host: HostId, timeoutMilliseconds: number) {
    const {client, key, owner, view} = this.parts;
    return client.requestVote(
      host,
      key,
      owner,
      view.digest,
      timeoutMilliseconds,
    );
  }

  private async broadcast(
    action: ClaimRequest['action'],
    broadcastTimeoutMilliseconds: number,
  ): Promise<number> {
    const {client, key, owner, signal} = this.parts;
    const request = {key, owner, action};
    const acknowledgements = await Promise.all(
      this.witnesses.map(host =>
        client.sendUntilAccepted(
          host,
          request,
          broadcastTimeoutMilliseconds,
          signal,
        ),
      ),
    );
    return acknowledgements.filter(Boolean).length;
  }
}
