/** Queries the owner of attempts for those that it no longer needs. */

import type {OwnershipReply} from '../generated/messages/persimmonwick/ownership.js';
import type {AttemptId, HostId, Incarnation} from '../ids.js';
import {attemptId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {RequestOwner} from '../upstreams/engine.js';
import {
  ownerReplyTimeoutMilliseconds,
  relayReplyTimeoutMilliseconds,
} from './ownership-timing.js';

/** Result of querying an owner about its attempts. */
export type OwnerQueryResult =
  | {
      readonly kind: 'answered';
      readonly disownedAttempts: readonly AttemptId[];
    }
  /** Another incarnation answers at the owner's address; the owner has ended. */
  | {readonly kind: 'replaced'; readonly by: Incarnation}
  | {readonly kind: 'silent'};

/** Queries `owner` directly and, if that fails, through all `relays` in parallel. */
export async function queryOwner(
  transport: PeerTransport,
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  relays: readonly HostId[],
): Promise<OwnerQueryResult> {
  const direct = await sendQuery(transport, owner, attempts, owner.host);
  if (direct.kind !== 'silent') return direct;
  const results = await Promise.all(
    relays.map(relay => sendQuery(transport, owner, attempts, relay)),
  );
  return results.find(result => result.kind !== 'silent') ?? direct;
}

async function sendQuery(
  transport: PeerTransport,
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  receiver: HostId,
): Promise<OwnerQueryResult> {
  // An empty relay host marks a direct query.
  const isRelay = receiver !== owner.host;
  const relayHost = isRelay ? owner.host : '';
  const reply = await transport.exchange(
    receiver,
    {$case: 'ownership', value: {attempts: [...attempts], relayHost}},
    isRelay ? relayReplyTimeoutMilliseconds : ownerReplyTimeoutMilliseconds,
  );
  if (reply.isErr || reply.value.$case !== 'ownership') return {kind: 'silent'};
  return interpretReply(owner, attempts, reply.value.value);
}

/** Interprets the reply of the process that runs on the owner's host. */
export function interpretReply(
  owner: RequestOwner,
  attempts: readonly AttemptId[],
  reply: OwnershipReply,
): OwnerQueryResult {
  if (reply.ownerIncarnation === '') return {kind: 'silent'};
  if (reply.ownerIncarnation !== owner.incarnation)
    return {kind: 'replaced', by: reply.ownerIncarnation as Incarnation};
  const queried = new Set(attempts);
  const disownedAttempts = reply.disownedAttempts
    .map(attemptId)
    .filter(attempt => queried.has(attempt));
  return {kind: 'answered', disownedAttempts};
}
