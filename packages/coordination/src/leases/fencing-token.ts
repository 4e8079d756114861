/** Fencing tokens that increase with each new lease, without stable storage. */

import type {MembershipView} from '../claims/witness-placement.js';
import type {PeerIdentity} from '../peers/transport.js';

/**
 * Returns the lowest token that is above `highestToken`, not below the wall
 * clock, and cannot be chosen by another member under the same lists. The
 * remainder of a member's tokens modulo the number of hosts plus one is its
 * position, from 1; remainder 0 is left to hosts outside the lists.
 */
export function nextFencingToken(
  highestToken: bigint,
  wallMilliseconds: number,
  view: MembershipView,
  self: PeerIdentity,
): bigint {
  const hosts = [...new Set(view.lists.flat().map(({host}) => host))].sort();
  const modulus = BigInt(hosts.length + 1);
  const index = BigInt(hosts.indexOf(self.host) + 1);
  const wallTime = BigInt(Math.floor(wallMilliseconds));
  const lowest = highestToken + 1n > wallTime ? highestToken + 1n : wallTime;
  const remainder = (lowest - index) % modulus;
  const distance = remainder === 0n ? 0n : modulus - remainder;
  return lowest + (distance % modulus);
}
