/** Tracks holders that did not reply recently; no request waits for them. */

import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import {probeIntervalMilliseconds} from './constants.js';

/** Suspected holders; a reply to a probe clears the suspicion. */
export class PeerSuspicion {
  private readonly nextProbeTimes = new Map<HostId, number>();

  constructor(
    private readonly clock: Clock,
    /** Sends an empty request; resolves to true if the holder replies. */
    private readonly probe: (host: HostId) => Promise<boolean>,
  ) {}

  suspect(host: HostId): void {
    this.nextProbeTimes.set(host, this.clock.now() + probeIntervalMilliseconds);
  }

  /**
   * Also starts a background probe of a suspected holder if the previous one
   * was at least `probeIntervalMilliseconds` ago.
   */
  isSuspected(host: HostId): boolean {
    const nextProbeTime = this.nextProbeTimes.get(host);
    if (nextProbeTime === undefined) return false;
    if (nextProbeTime <= this.clock.now()) {
      this.suspect(host);
      void this.clearIfResponsive(host);
    }
    return true;
  }

  private async clearIfResponsive(host: HostId): Promise<void> {
    if (await this.probe(host)) this.nextProbeTimes.delete(host);
  }
}
