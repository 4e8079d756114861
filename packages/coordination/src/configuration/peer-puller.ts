/** Pulls newer versions from peers and applies them to the store. */

import {untilAborted} from '../abort.js';
import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {ConfigurationStore} from './configuration-store.js';
import {pullConfiguration} from './pull-configuration.js';

export interface PeerPullerParts {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly transport: PeerTransport;
  readonly isLikelyLive: (host: HostId) => boolean;
}

/**
 * A request that is unanswered for longer than this is assumed to have reached
 * its peer, which holds it as a long poll. A lost request is only noticed at
 * its timeout.
 */
const longPollThresholdMilliseconds = 1000;

/** Interval of the liveness checks on the peer of a long poll. */
const livenessCheckIntervalMilliseconds = 500;

export class PeerPuller {
  /** Start times of the transfers in flight, by peer. */
  private readonly transferStartTimes = new Map<HostId, number>();

  constructor(
    private readonly parts: PeerPullerParts,
    private readonly onAnswer: (peer: HostId) => void,
  ) {}

  /** Whether a transfer from `peer` is in flight. */
  hasTransferInFlight(peer: HostId): boolean {
    return this.transferStartTimes.has(peer);
  }

  /** Whether `peer` appears to hold a long poll until its version changes. */
  hasPendingLongPoll(peer: HostId): boolean {
    const since = this.transferStartTimes.get(peer);
    const now = this.parts.clock.now();
    return since !== undefined && now - since > longPollThresholdMilliseconds;
  }

  /**
   * Transfers the newer configuration of `peer`, if any, and applies it.
   * Returns whether the peer answered with a valid version that is not older
   * than the active one.
   */
  async pull(
    peer: HostId,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, store, transport} = this.parts;
    const {version} = store.current;
    this.transferStartTimes.set(peer, clock.now());
    const result = await untilAborted(
      pullConfiguration(transport, peer, version, waitMilliseconds),
      signal,
    );
    this.transferStartTimes.delete(peer);
    if (result === undefined || result.isErr) return false;
    this.onAnswer(peer);
    const outcome = store.apply(result.value, {kind: 'peer', host: peer});
    if (outcome.kind === 'refused' || outcome.kind === 'gap') return false;
    return result.value.to >= version;
  }

  /**
   * Sends a long poll to `peer` and cancels it when the peer no longer appears
   * to be live.
   */
  async pullWhileLive(
    peer: HostId,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, isLikelyLive} = this.parts;
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    signal.addEventListener('abort', cancel);
    const pulled = this.pull(peer, waitMilliseconds, cancellation.signal);
    void pulled.finally(cancel);
    while (!cancellation.signal.aborted) {
      await clock.sleep(livenessCheckIntervalMilliseconds, cancellation.signal);
      if (!isLikelyLive(peer)) cancel();
    }
    signal.removeEventListener('abort', cancel);
    return pulled;
  }
}
