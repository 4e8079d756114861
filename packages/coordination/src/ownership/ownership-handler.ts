/** Answers which attempts this host wants, or passes the question on. */

import type {
  OwnershipReply,
  OwnershipRequest,
} from '../generated/messages/persimmonwick/ownership.js';
import {attemptId, hostId} from '../ids.js';
import type {
  PeerHandler,
  PeerIdentity,
  PeerTransport,
} from '../peers/transport.js';
import {ownerAnswerMilliseconds} from './ownership-timing.js';
import type {OwnedAttempts} from './owned-attempts.js';

const noAnswer: OwnershipReply = {disownedAttempts: [], ownerIncarnation: ''};

export class OwnershipHandler implements PeerHandler<
  OwnershipRequest,
  OwnershipReply
> {
  constructor(
    private readonly self: PeerIdentity,
    private readonly owned: OwnedAttempts,
    private readonly transport: PeerTransport,
  ) {}

  async handle(request: OwnershipRequest): Promise<OwnershipReply> {
    const {attempts, relayHost} = request;
    if (relayHost !== '' && relayHost !== this.self.host)
      return this.relay(request);
    return {
      disownedAttempts: this.owned.disowned(attempts.map(attemptId)),
      ownerIncarnation: this.self.incarnation,
    };
  }

  private async relay(request: OwnershipRequest): Promise<OwnershipReply> {
    const answer = await this.transport.exchange(
      hostId(request.relayHost),
      {$case: 'ownership', value: {...request, relayHost: ''}},
      ownerAnswerMilliseconds,
    );
    if (answer.isErr || answer.value.$case !== 'ownership') return noAnswer;
    return answer.value.value;
  }
}
