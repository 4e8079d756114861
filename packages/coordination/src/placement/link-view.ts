/** Time that moving KV caches takes, with the host's own transfers added. */

import type {Configuration} from '../configuration/configuration.js';
import type {EngineState} from './engine-state.js';

/** Taken for links that the configuration does not name. */
const defaultBytesPerSecond = 1_000_000_000;
const initialBytesPerToken = 1_000;
const crossDomainMilliseconds = 3;
const gain = 0.2;
const maximumLinks = 4_096;

interface LinkUse {
  freeAt: number;
  /** Observed over computed transfer time. */
  slowness: number;
}

export class LinkView {
  private readonly links = new Map<string, LinkUse>();
  private bytesPerToken = initialBytesPerToken;

  constructor(private readonly configuration: () => Configuration) {}

  /** Milliseconds until a transfer that starts at `startAt` has ended. */
  transferMilliseconds(
    from: EngineState,
    to: EngineState,
    tokens: number,
    startAt: number,
  ): number {
    const link = this.links.get(keyOf(from, to));
    const wait = Math.max(0, (link?.freeAt ?? 0) - startAt);
    const slowness = Math.max(1, link?.slowness ?? 1);
    return wait + this.plainMilliseconds(from, to, tokens) * slowness;
  }

  /** Sets aside the link for a transfer that starts at `startAt`. */
  reserve(
    from: EngineState,
    to: EngineState,
    tokens: number,
    startAt: number,
  ): void {
    const link = this.linkOf(from, to);
    const begin = Math.max(startAt, link.freeAt);
    link.freeAt = begin + this.plainMilliseconds(from, to, tokens);
  }

  /** Learns from a transfer that has ended. */
  recordTransfer(
    from: EngineState,
    to: EngineState,
    tokens: number,
    milliseconds: number,
  ): void {
    const link = this.linkOf(from, to);
    const expected = Math.max(1, this.plainMilliseconds(from, to, tokens));
    const ratio = Math.min(20, milliseconds / expected);
    link.slowness += gain * (ratio - link.slowness);
  }

  /** Learns how large KV caches are. */
  recordSize(tokens: number, bytes: number): void {
    if (tokens <= 0 || bytes <= 0) return;
    this.bytesPerToken += gain * (bytes / tokens - this.bytesPerToken);
  }

  private plainMilliseconds(
    from: EngineState,
    to: EngineState,
    tokens: number,
  ): number {
    const source = from.upstream.spec.failureDomain;
    const target = to.upstream.spec.failureDomain;
    const link = this.configuration().links.find(
      ({spec}) => spec.from === source && spec.to === target,
    );
    const bytesPerSecond = link?.spec.bytesPerSecond ?? defaultBytesPerSecond;
    const distance = source === target ? 0 : crossDomainMilliseconds;
    return distance + ((tokens * this.bytesPerToken) / bytesPerSecond) * 1000;
  }

  private linkOf(from: EngineState, to: EngineState): LinkUse {
    const key = keyOf(from, to);
    const known = this.links.get(key);
    if (known !== undefined) return known;
    if (this.links.size >= maximumLinks) this.links.clear();
    const link = {freeAt: 0, slowness: 1};
    this.links.set(key, link);
    return link;
  }
}

function keyOf(from: EngineState, to: EngineState): string {
  return `${from.upstream.spec.failureDomain} ${to.upstream.spec.failureDomain}`;
}
