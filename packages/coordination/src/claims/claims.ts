/** Claims on one host: coordinator, witness and recovery put together. */

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
import type {WitnessBounds} from './claim-timing.js';
import {ClaimWitness} from './claim-witness.js';
import type {MembershipSpec} from './witness-placement.js';
import {WitnessDirectory} from './witness-placement.js';
import {WitnessParticipation} from './witness-participation.js';
import {WitnessRecovery} from './witness-recovery.js';

export interface ClaimsParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  /** Member lists of the configuration in force. */
  readonly membership: () => MembershipSpec | undefined;
  readonly bounds?: WitnessBounds;
  /** Given by tests only. */
  readonly participation?: WitnessParticipation;
}

export class Claims implements PeerHandler<ClaimRequest, ClaimReply> {
  private readonly coordinator: ClaimCoordinator;
  private readonly witness: ClaimWitness;
  private readonly recovery: WitnessRecovery;

  /** Must be made before the host answers its first peer. */
  constructor(parts: ClaimsParts) {
    const {clock, self} = parts;
    const directory = new WitnessDirectory(parts.membership);
    const participation =
      parts.participation ??
      new WitnessParticipation(clock, self.host, () => directory.current());
    const shared = {...parts, directory, participation};
    this.witness = new ClaimWitness(shared);
    this.recovery = new WitnessRecovery({...shared, witness: this.witness});
    this.coordinator = new ClaimCoordinator({...shared, witness: this.witness});
  }

  /** Claims that this host remembers as a witness. */
  get witnessedClaims(): number {
    return this.witness.size;
  }

  /** Lets the witness take part again after a restart; ends by itself. */
  recover(): Promise<void> {
    return this.recovery.run();
  }

  /** Answers the claim requests of other hosts. */
  handle(request: ClaimRequest, from: PeerIdentity): Promise<ClaimReply> {
    return this.coordinator.handle(request, from);
  }

  /** Decides about one try of a request that may not be repeated. */
  begin(
    key: ClaimKey,
    deadline: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimDecision, ClaimRefusal>> {
    return this.coordinator.begin(key, deadline, signal);
  }

  /** Ends new tries, then the background work, at the latest on `signal`. */
  async close(signal?: AbortSignal): Promise<void> {
    this.recovery.close();
    await this.coordinator.close(signal);
  }
}
