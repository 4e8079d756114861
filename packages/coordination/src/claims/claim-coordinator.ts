/**
 * Ensures that requests with the same idempotency key are executed at most once:
 * claims the key at a majority of its witnesses before the request is sent, and
 * replays the recorded outcome afterwards.
 */

import {setMaxListeners} from 'node:events';
import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOutcome,
  ClaimReply,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import type {PeerHandler, PeerIdentity} from '../peers/transport.js';
import type {PeerTransport} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';
import {ClaimAttempt} from './attempt.js';
import type {ClaimDecision, ClaimRefusal} from './claim-decision.js';
import {notRunRefusal} from './claim-decision.js';
import {ClaimClient} from './claim-client.js';
import {ClaimPermit} from './claim-permit.js';
import type {RoundResult} from './contention-resolver.js';
import {ContentionResolver, refuse} from './contention-resolver.js';
import {ClaimAttemptRegistry} from './claim-attempt-registry.js';
import type {MembershipViewCache} from './witness-placement.js';

const maximumRounds = 2;
/** Maximum random delay before the next round, to avoid another split vote. */
const maximumRoundDelayMilliseconds = 30;
const maximumAbandonWaitMilliseconds = 50;

export interface ClaimCoordinatorParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly membershipViews: MembershipViewCache;
  readonly witness: PeerHandler<ClaimRequest, ClaimReply>;
}

export class ClaimCoordinator implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly registry: ClaimAttemptRegistry;
  private readonly client: ClaimClient;
  private readonly resolver: ContentionResolver;
  private readonly backgroundTasks = new Set<Promise<unknown>>();
  private readonly retryCancellation = new AbortController();
  private isClosing = false;
  private attemptCount = 0;

  constructor(private readonly parts: ClaimCoordinatorParts) {
    setMaxListeners(0, this.retryCancellation.signal);
    this.registry = new ClaimAttemptRegistry(parts.clock, parts.self);
    this.client = new ClaimClient({...parts, local: this});
    this.resolver = new ContentionResolver({
      clock: parts.clock,
      client: this.client,
    });
  }

  /** Answers owner queries and passes other requests to the local witness. */
  async handle(request: ClaimRequest, from: PeerIdentity): Promise<ClaimReply> {
    const {key, owner, action} = request;
    if (action?.$case !== 'ownerQuery' || !key || !owner)
      return this.parts.witness.handle(request, from);
    // The query shows that a witness did not receive the `abandon` message.
    if (this.registry.isAbandoned(owner))
      void this.createAttempt(key, owner.attempt)?.sendAbandon();
    const value = await this.registry.queryState(
      key,
      owner,
      action.value.waitMilliseconds,
    );
    return {result: {$case: 'ownerState', value}};
  }

  /**
   * Claims `key`, or returns the outcome recorded for it. Makes one attempt per
   * round, and another round if no attempt won. Waits until `deadline`, a local
   * clock time, for the outcome of another attempt with the same key. The caller
   * must end a permit by recording an outcome, marking the outcome unknown or
   * abandoning the attempt.
   */
  async begin(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimDecision, ClaimRefusal>> {
    let refusal = notRunRefusal('no-majority');
    for (let round = 0; round < maximumRounds; round += 1) {
      const result = await this.runRound(key, deadline, signal);
      switch (result.kind) {
        case 'decided':
          return Result.ok(result.decision);
        case 'refused':
          return Result.err(result.refusal);
        case 'retry':
          refusal = result.refusal;
      }
      const delay = randomBelow(
        this.parts.random,
        maximumRoundDelayMilliseconds,
      );
      await this.parts.clock.sleep(delay, signal);
    }
    return Result.err(refusal);
  }

  /**
   * Refuses new attempts and waits until the `abandon` and `record` messages
   * have been delivered or have timed out, or until `signal` is aborted.
   */
  async close(signal?: AbortSignal): Promise<void> {
    this.isClosing = true;
    const abort = () => this.retryCancellation.abort();
    if (signal?.aborted === true) abort();
    signal?.addEventListener('abort', abort, {once: true});
    while (this.backgroundTasks.size > 0)
      await Promise.all(this.backgroundTasks);
    abort();
  }

  private async runRound(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    const {clock} = this.parts;
    if (this.isClosing) return refuse(notRunRefusal('closed'));
    if (signal.aborted) return refuse(notRunRefusal('cancelled'));
    if (clock.now() >= deadline) return refuse(notRunRefusal('deadline'));
    const attempt = this.createAttempt(key, `${(this.attemptCount += 1)}`);
    if (attempt === undefined) return refuse(notRunRefusal('no-membership'));
    this.registry.add(key, attempt.owner.attempt);
    const tally = await attempt.collectVotes(deadline, signal);
    const result = tally.result();
    if (result.kind === 'won' && attempt.isWithinWindow && !signal.aborted)
      return {
        kind: 'decided',
        decision: {kind: 'run', permit: this.createPermit(attempt)},
      };
    const abandoned = this.abandon(attempt);
    switch (result.kind) {
      case 'settled':
        return {
          kind: 'decided',
          decision: {kind: 'replay', outcome: result.outcome},
        };
      case 'fingerprint-differs':
        return refuse({kind: 'fingerprint-differs'});
      // A won attempt reaches this case when its window has passed or the caller
      // has cancelled.
      case 'won':
      case 'undecided':
      case 'lost': {
        const resolution = await this.resolver.resolve(
          key,
          tally,
          deadline,
          signal,
        );
        if (resolution.kind === 'retry') await this.waitForAbandon(abandoned);
        return resolution;
      }
    }
  }

  private createAttempt(
    key: ClaimKey,
    attempt: string,
  ): ClaimAttempt | undefined {
    const view = this.parts.membershipViews.current();
    if (view === undefined) return undefined;
    const {clock, self} = this.parts;
    const owner = {...self, attempt};
    const {client} = this;
    const {signal} = this.retryCancellation;
    return new ClaimAttempt({clock, client, view, key, owner, signal});
  }

  private createPermit(attempt: ClaimAttempt): ClaimPermit {
    return new ClaimPermit(this.parts.clock, attempt.expiresAt, {
      abandon: () => void this.abandon(attempt),
      record: outcome => this.record(attempt, outcome),
      markOutcomeUnknown: () =>
        this.registry.finish(
          attempt.owner.attempt,
          undefined,
          attempt.view.retentionMilliseconds,
        ),
    });
  }

  /** Waits briefly for the abandon to release the key before the next round. */
  private async waitForAbandon(abandoned: Promise<unknown>): Promise<void> {
    const timer = new AbortController();
    await Promise.race([
      abandoned,
      this.parts.clock.sleep(maximumAbandonWaitMilliseconds, timer.signal),
    ]);
    timer.abort();
  }

  private abandon(attempt: ClaimAttempt): Promise<unknown> {
    this.registry.abandon(attempt.owner.attempt);
    return this.trackInBackground(attempt.sendAbandon());
  }

  private async record(
    attempt: ClaimAttempt,
    outcome: ClaimOutcome,
  ): Promise<number> {
    const id = attempt.owner.attempt;
    const {retentionMilliseconds} = attempt.view;
    this.registry.finish(id, outcome, retentionMilliseconds);
    const delivery = attempt.sendOutcome(outcome);
    const storedCount = await this.trackInBackground(delivery);
    if (storedCount === attempt.witnesses.length) this.registry.dropOutcome(id);
    return storedCount;
  }

  private async trackInBackground<Value>(task: Promise<Value>): Promise<Value> {
    this.backgroundTasks.add(task);
    const value = await task;
    this.backgroundTasks.delete(task);
    return value;
  }
}
