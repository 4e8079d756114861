/** Asks the owner of attempts which of them it still wants. */

import type {OwnershipReply} from '../generated/messages/persimmonwick/ownership.js';
import type {AttemptId, HostId, Incarnation} from '../ids.js';
import {attemptId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {RequestOwner} from '../upstreams/engine.js';
import {
  ownerAnswerMilliseconds,
  relayAnswerMilliseconds,
} from './ownership-timing.js';

/** What was learned about an owner and its attempts. */
export type OwnerAnswer =
  | {readonly kind: 'disowned'; readonly attempts: readonly AttemptId[]}
  /** Another process answers at the owner's address: the owner is gone. */
  | {readonly kind: 'replaced'; readonly by: Incarnation}
  | {readonly kind: 'silent'};

/** Asks `owner` itself and, when that fails, through `relays` at once. */
export async function askOwner(
  transport: PeerTransport,
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  relays: readonly HostId[],
): Promise<OwnerAnswer> {
  const direct = await ask(transport, owner, attempts, owner.host);
  if (direct.kind !== 'silent') return direct;
  const answers = await Promise.all(
    relays.map(relay => ask(transport, owner, attempts, relay)),
  );
  return answers.find(answer => answer.kind !== 'silent') ?? direct;
}

async function ask(
  transport: PeerTransport,
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  receiver: HostId,
): Promise<OwnerAnswer> {
  const isRelay = receiver !== owner.host;
  const relayHost = isRelay ? owner.host : '';
  const answer = await transport.exchange(
    receiver,
    {$case: 'ownership', value: {attempts: [...attempts], relayHost}},
    isRelay ? relayAnswerMilliseconds : ownerAnswerMilliseconds,
  );
  if (answer.isErr || answer.value.$case !== 'ownership')
    return {kind: 'silent'};
  return readAnswer(owner, attempts, answer.value.value);
}

/** What the reply of a process that answers for the owner's host says. */
export function readAnswer(
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  reply: OwnershipReply,
): OwnerAnswer {
  if (reply.ownerIncarnation === '') return {kind: 'silent'};
  if (reply.ownerIncarnation !== owner.incarnation)
    return {kind: 'replaced', by: reply.ownerIncarnation as Incarnation};
  const asked = new Set(attempts);
  const disowned = reply.disownedAttempts
    .map(attemptId)
    .filter(attempt => asked.has(attempt));
  return {kind: 'disowned', attempts: disowned};
}
