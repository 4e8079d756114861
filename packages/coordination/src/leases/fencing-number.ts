/** Numbers that grow with every new holder, without any disk. */

import type {MembershipView} from '../claims/witness-placement.js';
import type {PeerIdentity} from '../peers/transport.js';

/**
 * The lowest number that is above `highest`, not below the wall clock, and that
 * no other member would choose: members choose numbers of different remainder.
 */
export function nextFencingNumber(
  highest: bigint,
  wallMilliseconds: number,
  view: MembershipView,
  self: PeerIdentity,
): bigint {
  const hosts = [...new Set(view.lists.flat().map(({host}) => host))].sort();
  const modulus = BigInt(hosts.length + 1);
  const index = BigInt(hosts.indexOf(self.host) + 1);
  const wall = BigInt(Math.floor(wallMilliseconds));
  const lowest = highest + 1n > wall ? highest + 1n : wall;
  const remainder = (lowest - index) % modulus;
  const gap = remainder === 0n ? 0n : modulus - remainder;
  return lowest + (gap % modulus);
}
