/**
 * Finds out, apart from any call, when upstreams that could not be reached can
 * be reached again. Calls that wait for a connection across a cut come late, so
 * an upstream rests until a probe got through, and the others of its failure
 * domain are probed as soon as one of them is missed.
 */

import type {Clock} from '../clock.js';
import type {PassthroughTransport} from './call.js';
import type {TrackedUpstream, UpstreamTable} from './upstream-table.js';

export interface ReachabilityProbesParts {
  readonly clock: Clock;
  readonly upstreams: UpstreamTable;
  readonly transport: Pick<PassthroughTransport, 'probe'>;
  /** Told when probes begin and when one got through. */
  readonly onChange: (upstream: string, isReachable: boolean) => void;
}

/** Time between probes of one upstream; a cut or crash lasts for seconds. */
const probeMilliseconds = 300;

/** A neighbour that has not answered a probe by then gets no calls meanwhile. */
const doubtMilliseconds = 50;

/** Neighbours of one failure domain are probed once in so long. */
const neighboursMilliseconds = 1000;

/** Rest beyond the next probe, so that no call goes before it. */
const marginMilliseconds = 1000;

export class ReachabilityProbes {
  private readonly closing = new AbortController();
  private readonly probed = new Set<string>();
  private readonly domainsProbedAt = new Map<string, number>();
  private readonly unsubscribe: () => void;

  constructor(private readonly parts: ReachabilityProbesParts) {
    this.unsubscribe = parts.upstreams.subscribeUnreachable(upstream =>
      this.suspect(upstream),
    );
  }

  close(): void {
    this.unsubscribe();
    this.closing.abort();
  }

  private suspect(upstream: TrackedUpstream): void {
    void this.follow(upstream, 0);
    const {clock, upstreams} = this.parts;
    const {failureDomain} = upstream.document.spec;
    const now = clock.now();
    const probedAt = this.domainsProbedAt.get(failureDomain) ?? -Infinity;
    if (now - probedAt < neighboursMilliseconds) return;
    this.domainsProbedAt.set(failureDomain, now);
    for (const neighbour of upstreams.inDomain(failureDomain))
      void this.follow(neighbour, doubtMilliseconds);
  }

  /** Probes `upstream` until it is reached or gone; it rests after `grace`. */
  private async follow(
    upstream: TrackedUpstream,
    graceMilliseconds: number,
  ): Promise<void> {
    const {name} = upstream.document;
    if (this.probed.has(name)) return;
    this.probed.add(name);
    try {
      if (await this.answersWithin(upstream, graceMilliseconds)) return;
      this.parts.onChange(name, false);
      await this.restUntilReached(upstream);
    } finally {
      this.probed.delete(name);
    }
  }

  /** True when a probe got through before any call had to be held back. */
  private async answersWithin(
    upstream: TrackedUpstream,
    milliseconds: number,
  ): Promise<boolean> {
    if (milliseconds === 0) return false;
    const {clock, transport} = this.parts;
    const probe = transport.probe(upstream.document, this.closing.signal);
    return Promise.race([probe, clock.sleep(milliseconds).then(() => false)]);
  }

  private async restUntilReached(upstream: TrackedUpstream): Promise<void> {
    const {clock, upstreams, transport, onChange} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted && upstreams.isListed(upstream)) {
      upstream.health.rest(
        clock.now() + probeMilliseconds + marginMilliseconds,
      );
      if (await transport.probe(upstream.document, signal)) {
        upstream.health.recordReachable(clock.now());
        upstreams.notifyRoom();
        onChange(upstream.document.name, true);
        return;
      }
      await clock.sleep(probeMilliseconds, signal);
    }
  }
}
