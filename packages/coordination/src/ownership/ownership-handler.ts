/** Answers ownership queries for this host and relays those for other hosts. */

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
import {ownerReplyTimeoutMilliseconds} from './ownership-timing.js';
import type {OwnedAttempts} from './owned-attempts.js';

/** Reply of a relay that could not reach the owner: an empty incarnation. */
const ownerUnreachableReply: OwnershipReply = {
  disownedAttempts: [],
  ownerIncarnation: '',
};

export class OwnershipHandler implements PeerHandler<
  OwnershipRequest,
  OwnershipReply
> {
  constructor(
    private readonly self: PeerIdentity,
    private readonly ownedAttempts: OwnedAttempts,
    private readonly transport: PeerTransport,
  ) {}

  async handle(request: OwnershipRequest): Promise<OwnershipReply> {
    const {attempts, relayHost} = request;
    if (relayHost !== '' && relayHost !== this.self.host)
      return this.relay(request);
    return {
      disownedAttempts: this.ownedAttempts.filterDisowned(
        attempts.map(attemptId),
      ),
      ownerIncarnation: this.self.incarnation,
    };
  }

  private async relay(request: OwnershipRequest): Promise<OwnershipReply> {
    const reply = await this.transport.exchange(
      hostId(request.relayHost),
      {$case: 'ownership', value: {...request, relayHost: ''}},
      ownerReplyTimeoutMilliseconds,
    );
    if (reply.isErr || reply.value.$case !== 'ownership')
      return ownerUnreachableReply;
    return reply.value.value;
  }
}
