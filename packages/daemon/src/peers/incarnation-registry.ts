/**
 * Records the newest incarnation seen of each host. Incarnations are UUIDs of
 * version 7, which sort by time: a replacement has a greater incarnation than
 * the process it replaces.
 */

import type {HostId, PeerIdentity} from '@persimmonwick/coordination';
import type {Incarnation} from '@persimmonwick/coordination';
import {validate, version} from 'uuid';

const timeOrderedUuidVersion = 7;

export class IncarnationRegistry {
  private readonly newest = new Map<HostId, Incarnation>();

  /**
   * Records the incarnation of a verified identity. Returns false if it is
   * malformed or older than the newest one seen of its host.
   */
  recordIfCurrent({host, incarnation}: PeerIdentity): boolean {
    if (!isTimeOrderedUuid(incarnation)) return false;
    const newest = this.newest.get(host);
    if (newest !== undefined && incarnation < newest) return false;
    if (newest !== incarnation) this.newest.set(host, incarnation);
    return true;
  }

  /** Returns the newest incarnation seen of `host`. */
  newestOf(host: HostId): Incarnation | undefined {
    return this.newest.get(host);
  }

  /** Removes hosts for which `isMember` is false, to bound the memory used. */
  removeUnless(isMember: (host: HostId) => boolean): void {
    for (const host of [...this.newest.keys()])
      if (!isMember(host)) this.newest.delete(host);
  }
}

function isTimeOrderedUuid(text: string): boolean {
  return (
    validate(text) &&
    version(text) === timeOrderedUuidVersion &&
    text === text.toLowerCase()
  );
}
