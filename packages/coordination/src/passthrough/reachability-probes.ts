/**
 * Probes unreachable upstreams, independently of calls, until they can be
 * reached again. A call that waits for a connection across a network partition
 * is late. For this reason an unreachable upstream is suspended until a probe
 * succeeds, and the other upstreams of its failure domain are probed as soon as
 * one of them is unreachable. Nothing is probed in an evacuated failure domain.
 *
 * A link that accepts connections and passes no bytes looks reachable to a probe
 * that only connects. An upstream that sends no byte to a call in time is probed
 * by a request, and is suspended until it answers one.
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock.js';
import {
  decideSilenceProbe,
  exchangeTimeoutMilliseconds,
  isDomainSuspect,
  unansweredMilliseconds,
} from '../decisions/link-silence.js';
import type {UpstreamDocument} from '../generated/documents.js';
import {sleepUntilRead} from '../pause-aware-sleep.js';
import type {PassthroughTransport} from './call.js';
import type {TrackedUpstream, UpstreamTable} from './upstream-table.js';

export interface ReachabilityProbesParts {
  readonly clock: Clock;
  readonly upstreams: UpstreamTable;
  readonly transport: Pick<PassthroughTransport, 'probe' | 'exchange'>;
  /** Path that an upstream answers without work; undefined if none is known. */
  readonly healthPathOf: (upstream: UpstreamDocument) => string | undefined;
  /** Whether an upstream may be sent a request now, which is then counted. */
  readonly acquireRequest: (upstream: UpstreamDocument) => boolean;
  /** Called when an upstream is suspended and when its suspension ends. */
  readonly onChange: (upstream: string, isReachable: boolean) => void;
  /** Called when a probe of a suspect upstream has ended. */
  readonly onSilenceProbe: (probe: SilenceProbe) => void;
}

/** A probe of an upstream that sent no byte to a call in time. */
export interface SilenceProbe {
  readonly upstream: string;
  readonly outcome: 'answered' | 'silent';
  readonly milliseconds: number;
  /** Whether the upstream had not answered an earlier probe either. */
  readonly isSuspended: boolean;
}

type IsReachable = (upstream: TrackedUpstream) => Promise<boolean>;

/**
 * Interval between probes of one upstream. A partition or a crash lasts for
 * seconds.
 */
const probeIntervalMilliseconds = 300;

/** A neighbour that has not answered a probe within this time is suspended. */
const neighbourGraceMilliseconds = 50;

/** Minimum interval between probes of all neighbours in one failure domain. */
const neighbourProbeIntervalMilliseconds = 1000;

/**
 * Added to the probe interval, which keeps a suspension from ending while a
 * probe is pending.
 */
const suspensionMarginMilliseconds = 1000;

export class ReachabilityProbes {
  private readonly closing = new AbortController();
  private readonly activeProbes = new Set<string>();
  private readonly domainsProbedAt = new Map<string, number>();
  /** Upstreams that do not answer a probe by a request at present. */
  private readonly silentUpstreams = new Set<TrackedUpstream>();
  private readonly silentDomainsProbedAt = new Map<string, number>();
  private readonly answeredAt = new WeakMap<TrackedUpstream, number>();
  private readonly unsubscribe: readonly (() => void)[];

  constructor(private readonly parts: ReachabilityProbesParts) {
    // Each upstream that is being probed adds one listener.
    setMaxListeners(0, this.closing.signal);
    this.unsubscribe = [
      parts.upstreams.subscribeUnreachable(each => this.startProbing(each)),
      parts.upstreams.subscribeSilence(each => void this.probeSilent(each)),
    ];
  }

  close(): void {
    for (const unsubscribe of this.unsubscribe) unsubscribe();
    this.closing.abort();
  }

  private startProbing(upstream: TrackedUpstream): void {
    void this.probeUntilReachable(upstream, 0);
    const {clock, upstreams} = this.parts;
    const {failureDomain} = upstream.document.spec;
    const now = clock.now();
    const probedAt = this.domainsProbedAt.get(failureDomain) ?? -Infinity;
    if (now - probedAt < neighbourProbeIntervalMilliseconds) return;
    if (upstreams.isEvacuated(upstream.document)) return;
    this.domainsProbedAt.set(failureDomain, now);
    for (const neighbour of upstreams.inFailureDomain(failureDomain))
      void this.probeUntilReachable(neighbour, neighbourGraceMilliseconds);
  }

  /**
   * Probes `upstream` until it is reachable or removed. Suspends it if the
   * first probe fails or takes longer than `graceMilliseconds`.
   */
  private async probeUntilReachable(
    upstream: TrackedUpstream,
    graceMilliseconds: number,
  ): Promise<void> {
    const {name} = upstream.document;
    if (this.activeProbes.has(name)) return;
    this.activeProbes.add(name);
    try {
      if (await this.isReachableWithin(upstream, graceMilliseconds)) return;
      this.parts.onChange(name, false);
      const {transport} = this.parts;
      await this.suspendUntilReachable(upstream, ({document}) =>
        transport.probe(document, this.closing.signal),
      );
    } finally {
      this.activeProbes.delete(name);
    }
  }

  /**
   * Probes an upstream that sent no byte to a call in time, and suspends it until
   * it answers if it does not.
   */
  private async probeSilent(upstream: TrackedUpstream): Promise<void> {
    const {clock, upstreams, healthPathOf, acquireRequest, onChange} =
      this.parts;
    const {document, health} = upstream;
    const {name} = document;
    if (this.activeProbes.has(name) || upstreams.isEvacuated(document)) return;
    const decision = decideSilenceProbe({
      now: clock.now(),
      answeredAt: this.answeredAt.get(upstream),
      healthPath: healthPathOf(document),
      canSend: () => acquireRequest(document),
    });
    if (decision.kind === 'none') {
      health.recordAnswer();
      return;
    }
    this.activeProbes.add(name);
    try {
      health.holdUntil(
        clock.now() +
          exchangeTimeoutMilliseconds +
          suspensionMarginMilliseconds,
      );
      const isAnswered =
        decision.kind === 'exchange'
          ? await this.exchange(upstream, decision.path)
          : await this.parts.transport.probe(document, this.closing.signal);
      if (this.closing.signal.aborted) return;
      if (isAnswered) {
        this.answeredAt.set(upstream, clock.now());
        health.recordAnswer();
        upstreams.notifyCapacity();
        return;
      }
      onChange(name, false);
      await this.suspendUntilReachable(upstream, each =>
        this.isAnsweringAgain(each),
      );
    } finally {
      this.activeProbes.delete(name);
      this.silentUpstreams.delete(upstream);
    }
  }

  /** Sends one request. Other upstreams are probed while it is not answered. */
  private async exchange(
    upstream: TrackedUpstream,
    path: string,
  ): Promise<boolean> {
    const {clock, transport, onSilenceProbe} = this.parts;
    const {document} = upstream;
    const startedAt = clock.now();
    const isSuspended = upstream.health.isUnreachable(startedAt);
    const ended = new AbortController();
    void clock.sleep(unansweredMilliseconds, ended.signal).then(() => {
      if (!ended.signal.aborted) this.recordUnanswered(upstream);
    });
    const isAnswered = await transport.exchange(
      document,
      path,
      exchangeTimeoutMilliseconds,
      this.closing.signal,
    );
    ended.abort();
    if (isAnswered) this.silentUpstreams.delete(upstream);
    onSilenceProbe({
      upstream: document.name,
      outcome: isAnswered ? 'answered' : 'silent',
      milliseconds: clock.now() - startedAt,
      isSuspended,
    });
    return isAnswered;
  }

  private isAnsweringAgain(upstream: TrackedUpstream): Promise<boolean> {
    const {transport, healthPathOf, acquireRequest} = this.parts;
    const {document} = upstream;
    const path = healthPathOf(document);
    if (path === undefined)
      return transport.probe(document, this.closing.signal);
    return acquireRequest(document)
      ? this.exchange(upstream, path)
      : Promise.resolve(false);
  }

  /** Probes all upstreams of a failure domain if several are silent at once. */
  private recordUnanswered(upstream: TrackedUpstream): void {
    const {clock, upstreams} = this.parts;
    const {failureDomain} = upstream.document.spec;
    const now = clock.now();
    this.silentUpstreams.add(upstream);
    const silent = [...this.silentUpstreams].filter(
      ({document}) => document.spec.failureDomain === failureDomain,
    );
    const probedAt = this.silentDomainsProbedAt.get(failureDomain);
    if (!isDomainSuspect(silent.length, now, probedAt)) return;
    this.silentDomainsProbedAt.set(failureDomain, now);
    for (const neighbour of upstreams.inFailureDomain(failureDomain))
      void this.probeSilent(neighbour);
  }

  /**
   * Sends one probe. Resolves with false if it fails or takes longer than
   * `milliseconds`. Sends none if that is 0.
   */
  private async isReachableWithin(
    upstream: TrackedUpstream,
    milliseconds: number,
  ): Promise<boolean> {
    if (milliseconds === 0) return false;
    const {clock, transport} = this.parts;
    const probe = transport.probe(upstream.document, this.closing.signal);
    const timeout = sleepUntilRead(clock, milliseconds).then(() => false);
    return Promise.race([probe, timeout]);
  }

  private async suspendUntilReachable(
    upstream: TrackedUpstream,
    isReachable: IsReachable,
  ): Promise<void> {
    const {clock, upstreams, onChange} = this.parts;
    const {signal} = this.closing;
    const {startedAt} = upstream.document.spec;
    while (!signal.aborted && upstreams.isListed(upstream)) {
      if (upstream.document.spec.startedAt !== startedAt) {
        // Another process is listed, about which nothing is known yet.
        upstream.health.endSuspension();
        upstreams.notifyCapacity();
        onChange(upstream.document.name, true);
        return;
      }
      upstream.health.suspendUntil(
        clock.now() +
          probeIntervalMilliseconds +
          exchangeTimeoutMilliseconds +
          suspensionMarginMilliseconds,
      );
      const isProbed = !upstreams.isEvacuated(upstream.document);
      if (isProbed && (await isReachable(upstream))) {
        upstream.health.recordReachable(clock.now());
        upstreams.notifyCapacity();
        onChange(upstream.document.name, true);
        return;
      }
      await clock.sleep(probeIntervalMilliseconds, signal);
    }
  }
}
