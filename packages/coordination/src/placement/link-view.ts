/**
 * Estimates how long KV cache transfers between failure domains take, queued
 * behind this host's own transfers.
 */

import type {Configuration} from '../configuration/configuration.js';
import type {EngineState} from './engine-state.js';

/** Bandwidth of links that the configuration does not list. */
const defaultBytesPerSecond = 1_000_000_000;
const initialBytesPerToken = 1_000;
const crossDomainLatencyMilliseconds = 3;
const smoothingFactor = 0.2;
const maximumLinks = 4_096;

interface LinkState {
  /** Estimated end of this host's reserved transfers. */
  freeAt: number;
  /** Ratio of observed to unloaded transfer time. */
  slowness: number;
}

export class LinkView {
  private readonly links = new Map<string, LinkState>();
  private bytesPerToken = initialBytesPerToken;

  constructor(private readonly configuration: () => Configuration) {}

  /** Estimated duration of a transfer that is queued at `startAt`. */
  transferMilliseconds(
    from: EngineState,
    to: EngineState,
    tokens: number,
    startAt: number,
  ): number {
    const link = this.links.get(keyOf(from, to));
    const wait = Math.max(0, (link?.freeAt ?? 0) - startAt);
    const slowness = Math.max(1, link?.slowness ?? 1);
    return wait + this.unloadedMilliseconds(from, to, tokens) * slowness;
  }

  /** Reserves the link for a transfer that starts at `startAt`. */
  reserve(
    from: EngineState,
    to: EngineState,
    tokens: number,
    startAt: number,
  ): void {
    const link = this.linkOf(from, to);
    const transferStart = Math.max(startAt, link.freeAt);
    link.freeAt = transferStart + this.unloadedMilliseconds(from, to, tokens);
  }

  /** Records the duration of a finished transfer. */
  recordTransfer(
    from: EngineState,
    to: EngineState,
    tokens: number,
    milliseconds: number,
  ): void {
    const link = this.linkOf(from, to);
    const unloaded = Math.max(1, this.unloadedMilliseconds(from, to, tokens));
    const ratio = Math.min(20, milliseconds / unloaded);
    link.slowness += smoothingFactor * (ratio - link.slowness);
  }

  /** Records the size of a KV cache. */
  recordSize(tokens: number, bytes: number): void {
    if (tokens <= 0 || bytes <= 0) return;
    this.bytesPerToken +=
      smoothingFactor * (bytes / tokens - this.bytesPerToken);
  }

  /** Transfer time over an idle link at its configured bandwidth. */
  private unloadedMilliseconds(
    from: EngineState,
    to: EngineState,
    tokens: number,
  ): number {
    const fromDomain = from.upstream.spec.failureDomain;
    const toDomain = to.upstream.spec.failureDomain;
    const link = this.configuration().links.find(
      ({spec}) => spec.from === fromDomain && spec.to === toDomain,
    );
    const bytesPerSecond = link?.spec.bytesPerSecond ?? defaultBytesPerSecond;
    const latency =
      fromDomain === toDomain ? 0 : crossDomainLatencyMilliseconds;
    return latency + ((tokens * this.bytesPerToken) / bytesPerSecond) * 1000;
  }

  private linkOf(from: EngineState, to: EngineState): LinkState {
    const key = keyOf(from, to);
    const existing = this.links.get(key);
    if (existing !== undefined) return existing;
    // Bounds the memory; the estimates are then measured again.
    if (this.links.size >= maximumLinks) this.links.clear();
    const link = {freeAt: 0, slowness: 1};
    this.links.set(key, link);
    return link;
  }
}

function keyOf(from: EngineState, to: EngineState): string {
  return `${from.upstream.spec.failureDomain} ${to.upstream.spec.failureDomain}`;
}
