/**
 * Runs each key at most once: claims it at a majority of its witnesses before
 * it is sent, and replays the recorded outcome afterwards.
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
import {Attempt} from './attempt.js';
import type {ClaimDecision, ClaimRefusal} from './claim-decision.js';
import {notRunRefusal} from './claim-decision.js';
import {ClaimMessenger} from './claim-messenger.js';
import {ClaimPermit} from './claim-permit.js';
import type {RoundResult} from './owner-follower.js';
import {OwnerFollower, refuse} from './owner-follower.js';
import {OwnerRegistry} from './owner-registry.js';
import type {WitnessDirectory} from './witness-placement.js';

const roundsPerCall = 2;
const splitDelayMilliseconds = 30;
const abandonWaitMilliseconds = 50;

export interface ClaimCoordinatorParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly directory: WitnessDirectory;
  readonly witness: PeerHandler<ClaimRequest, ClaimReply>;
}

export class ClaimCoordinator implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly registry: OwnerRegistry;
  private readonly messenger: ClaimMessenger;
  private readonly follower: OwnerFollower;
  private readonly background = new Set<Promise<unknown>>();
  private readonly closing = new AbortController();
  private isClosed = false;
  private attempts = 0;

  constructor(private readonly parts: ClaimCoordinatorParts) {
    setMaxListeners(0, this.closing.signal);
    this.registry = new OwnerRegistry(parts.clock, parts.self);
    this.messenger = new ClaimMessenger({...parts, local: this});
    this.follower = new OwnerFollower({
      clock: parts.clock,
      messenger: this.messenger,
    });
  }

  /** Answers other hosts: as owner of attempts, and for the own witness. */
  async handle(request: ClaimRequest, from: PeerIdentity): Promise<ClaimReply> {
    const {key, owner, action} = request;
    if (action?.$case !== 'ownerQuery' || !key || !owner)
      return this.parts.witness.handle(request, from);
    // A witness that still holds an abandoned attempt has missed the message.
    if (this.registry.isAbandoned(owner))
      void this.newAttempt(key, owner.attempt)?.sendAbandon();
    const value = await this.registry.answer(
      key,
      owner,
      action.value.waitMilliseconds,
    );
    return {result: {$case: 'ownerState', value}};
  }

  /**
   * Decides about one try of the request that `key` names. `deadline` is a
   * time of the own clock, until which the outcome of another try is awaited.
   * The caller must end a permit by recording an outcome or abandoning it.
   */
  async begin(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimDecision, ClaimRefusal>> {
    let refusal = notRunRefusal('no-majority');
    for (let round = 0; round < roundsPerCall; round += 1) {
      const result = await this.runRound(key, deadline, signal);
      switch (result.kind) {
        case 'decided':
          return Result.ok(result.decision);
        case 'refused':
          return Result.err(result.refusal);
        case 'again':
          refusal = result.refusal;
      }
      const delay = randomBelow(this.parts.random, splitDelayMilliseconds);
      await this.parts.clock.sleep(delay, signal);
    }
    return Result.err(refusal);
  }

  /**
   * Refuses new tries and waits until abandons and outcomes have reached the
   * witnesses, or until `signal` is aborted.
   */
  async close(signal?: AbortSignal): Promise<void> {
    this.isClosed = true;
    const abort = () => this.closing.abort();
    if (signal?.aborted === true) abort();
    signal?.addEventListener('abort', abort, {once: true});
    while (this.background.size > 0) await Promise.all(this.background);
    abort();
  }

  private async runRound(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<RoundResult> {
    const {clock} = this.parts;
    if (this.isClosed) return refuse(notRunRefusal('closed'));
    if (signal.aborted) return refuse(notRunRefusal('cancelled'));
    if (clock.now() >= deadline) return refuse(notRunRefusal('deadline'));
    const attempt = this.newAttempt(key, `${(this.attempts += 1)}`);
    if (attempt === undefined) return refuse(notRunRefusal('no-membership'));
    this.registry.begin(key, attempt.owner.attempt);
    const ballot = await attempt.collect(deadline, signal);
    const result = ballot.result();
    if (result.kind === 'won' && attempt.isInTime && !signal.aborted)
      return {
        kind: 'decided',
        decision: {kind: 'run', permit: this.permitOf(attempt)},
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
      case 'won':
      case 'open':
      case 'lost': {
        const next = await this.follower.follow(key, ballot, deadline, signal);
        if (next.kind === 'again') await this.waitBriefly(abandoned);
        return next;
      }
    }
  }

  private newAttempt(key: ClaimKey, attempt: string): Attempt | undefined {
    const view = this.parts.directory.current();
    if (view === undefined) return undefined;
    const {clock, self} = this.parts;
    const owner = {...self, attempt};
    const {messenger} = this;
    const {signal} = this.closing;
    return new Attempt({clock, messenger, view, key, owner, signal});
  }

  private permitOf(attempt: Attempt): ClaimPermit {
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

  /** Waits for one round trip, so that the next round finds the key free. */
  private async waitBriefly(abandoned: Promise<unknown>): Promise<void> {
    const waited = new AbortController();
    await Promise.race([
      abandoned,
      this.parts.clock.sleep(abandonWaitMilliseconds, waited.signal),
    ]);
    waited.abort();
  }

  private abandon(attempt: Attempt): Promise<unknown> {
    this.registry.abandon(attempt.owner.attempt);
    return this.inBackground(attempt.sendAbandon());
  }

  private async record(
    attempt: Attempt,
    outcome: ClaimOutcome,
  ): Promise<number> {
    const id = attempt.owner.attempt;
    const {retentionMilliseconds} = attempt.view;
    this.registry.finish(id, outcome, retentionMilliseconds);
    const sent = attempt.sendOutcome(outcome);
    const recorded = await this.inBackground(sent);
    if (recorded === attempt.hosts.length) this.registry.release(id);
    return recorded;
  }

  private async inBackground<Value>(task: Promise<Value>): Promise<Value> {
    this.background.add(task);
    const value = await task;
    this.background.delete(task);
    return value;
  }
}
