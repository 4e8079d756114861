/** Which holders gave no answer lately, so that no request waits for them. */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import {suspectMilliseconds} from './constants.js';

/** Suspected holders; one that answers a probe is not suspected any more. */
export class PeerSuspicion {
  private readonly nextProbes = new Map<HostId, number>();

  constructor(
    private readonly clock: Clock,
    /** Asks the holder for nothing; true when it answered. */
    private readonly probe: (host: HostId) => Promise<boolean>,
  ) {}

  suspect(host: HostId): void {
    this.nextProbes.set(host, this.clock.now() + suspectMilliseconds);
  }

  /** Probes a suspected holder from time to time, besides the answer. */
  isSuspected(host: HostId): boolean {
    const nextProbe = this.nextProbes.get(host);
    if (nextProbe === undefined) return false;
    if (nextProbe <= this.clock.now()) {
      this.suspect(host);
      void this.clearIfAnswering(host);
    }
    return true;
  }

  private async clearIfAnswering(host: HostId): Promise<void> {
    if (await this.probe(host)) this.nextProbes.delete(host);
  }
}
