/** Connects the claim coordinator, witness and witness recovery of one host. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimReply,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import type {
  PeerHandler,
  PeerIdentity,
  PeerTransport,
} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {ClaimCoordinator} from './claim-coordinator.js';
import type {ClaimDecision, ClaimRefusal} from './claim-decision.js';
import type {WitnessLimits} from './claim-timing.js';
import {ClaimWitness} from './claim-witness.js';
import type {MembershipSpec} from './witness-placement.js';
import {MembershipViewCache} from './witness-placement.js';
import {WitnessParticipation} from './witness-participation.js';
import {WitnessRecovery} from './witness-recovery.js';

export interface ClaimsParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  /** Membership of the current configuration. */
  readonly membership: () => MembershipSpec | undefined;
  readonly limits?: WitnessLimits;
  /** Set by tests only. */
  readonly participation?: WitnessParticipation;
}

export class Claims implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly coordinator: ClaimCoordinator;
  private readonly witness: ClaimWitness;
  private readonly recovery: WitnessRecovery;

  /**
   * Must be constructed before the host handles peer messages. The abstention
   * after a restart is measured from here.
   */
  constructor(parts: ClaimsParts) {
    const {clock, self} = parts;
    const membershipViews = new MembershipViewCache(parts.membership);
    const participation =
      parts.participation ??
      new WitnessParticipation(clock, self.host, () =>
        membershipViews.current(),
      );
    const shared = {...parts, membershipViews, participation};
    this.witness = new ClaimWitness(shared);
    this.recovery = new WitnessRecovery({...shared, witness: this.witness});
    this.coordinator = new ClaimCoordinator({...shared, witness: this.witness});
  }

  /** Number of claims stored by the witness of this host. */
  get witnessedClaimCount(): number {
    return this.witness.claimCount;
  }

  /**
   * Recovers the witness after a restart. Resolves after the retention time or on
   * `close`.
   */
  recover(): Promise<void> {
    return this.recovery.run();
  }

  /** Handles claim requests from other hosts. */
  handle(request: ClaimRequest, from: PeerIdentity): Promise<ClaimReply> {
    return this.coordinator.handle(request, from);
  }

  /** Claims `key` or returns its outcome; see {@link ClaimCoordinator.begin}. */
  begin(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimDecision, ClaimRefusal>> {
    return this.coordinator.begin(key, deadline, signal);
  }

  /**
   * Refuses new attempts and waits for background work, until `signal` is aborted
   * at the latest.
   */
  async close(signal?: AbortSignal): Promise<void> {
    this.recovery.close();
    await this.coordinator.close(signal);
  }
}
