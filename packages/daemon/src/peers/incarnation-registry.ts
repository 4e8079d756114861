/**
 * The newest incarnation seen of each host. Incarnations are UUIDs of version
 * 7, so a replacement's is greater than the one it replaces.
 */

import type {HostId, PeerIdentity} from '@persimmonwick/coordination';
import type {Incarnation} from '@persimmonwick/coordination';
import {validate, version} from 'uuid';

const orderedVersion = 7;

export class IncarnationRegistry {
  private readonly newest = new Map<HostId, Incarnation>();

  /**
   * Records an identity; false when it is malformed or older than one already
   * seen of its host. Only identities that were checked may be passed.
   */
  admit({host, incarnation}: PeerIdentity): boolean {
    if (!isOrderedId(incarnation)) return false;
    const known = this.newest.get(host);
    if (known !== undefined && incarnation < known) return false;
    if (known !== incarnation) this.newest.set(host, incarnation);
    return true;
  }

  /** The newest incarnation seen of `host`. */
  newestOf(host: HostId): Incarnation | undefined {
    return this.newest.get(host);
  }

  /** Drops hosts that `isKnown` denies, so that the register stays bounded. */
  forgetUnless(isKnown: (host: HostId) => boolean): void {
    for (const host of [...this.newest.keys()])
      if (!isKnown(host)) this.newest.delete(host);
  }
}

function isOrderedId(text: string): boolean {
  return (
    validate(text) &&
    version(text) === orderedVersion &&
    text === text.toLowerCase()
  );
}
