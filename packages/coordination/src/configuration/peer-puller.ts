/** Asks peers for newer versions and hands what they give to the store. */

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

/** A question that is open for longer than this reached its peer. */
const heldMilliseconds = 1000;

/** Time between two looks at whether the peer still looks live. */
const lookMilliseconds = 500;

export class PeerPuller {
  /** Peers with an open question, and since when. */
  private readonly open = new Map<HostId, number>();

  constructor(
    private readonly parts: PeerPullerParts,
    private readonly onAnswer: (peer: HostId) => void,
  ) {}

  /** True while a question to `peer` is open. */
  isAsking(peer: HostId): boolean {
    return this.open.has(peer);
  }

  /** True while `peer` seems to hold a question until there is news. */
  isHeldBy(peer: HostId): boolean {
    const since = this.open.get(peer);
    const now = this.parts.clock.now();
    return since !== undefined && now - since > heldMilliseconds;
  }

  /** True when the peer answered and is not behind. */
  async pull(
    peer: HostId,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, store, transport} = this.parts;
    const {version} = store.current;
    this.open.set(peer, clock.now());
    const answer = await untilAborted(
      pullConfiguration(transport, peer, version, waitMilliseconds),
      signal,
    );
    this.open.delete(peer);
    if (answer === undefined || answer.isErr) return false;
    this.onAnswer(peer);
    const outcome = store.apply(answer.value, {kind: 'peer', host: peer});
    if (outcome.kind === 'refused' || outcome.kind === 'gap') return false;
    return answer.value.to >= version;
  }

  /** Asks with a long wait, which ends early when the peer looks gone. */
  async pullWhileLive(
    peer: HostId,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, isLikelyLive} = this.parts;
    const ended = new AbortController();
    const end = () => ended.abort();
    signal.addEventListener('abort', end);
    const pulled = this.pull(peer, waitMilliseconds, ended.signal);
    void pulled.finally(end);
    while (!ended.signal.aborted) {
      await clock.sleep(lookMilliseconds, ended.signal);
      if (!isLikelyLive(peer)) end();
    }
    signal.removeEventListener('abort', end);
    return pulled;
  }
}
