/**
 * Chooses the failure domain of each call of this host, from the speeds and the
 * demand that all hosts report. Placement of plain calls, prefills and decodes and
 * handover to other hosts use the same decision.
 */

import type {Clock} from '../clock.js';
import {
  ShareApproach,
  capacityCorrection,
  placedWork,
  planShares,
} from '../decisions/domain-choice.js';
import type {
  DomainShares,
  DomainState,
  LeavingReason,
} from '../decisions/domain-choice.js';
import {DomainDemand} from '../decisions/domain-demand.js';
import {domainRoundTripMilliseconds} from '../decisions/domain-traffic.js';
import type {WeighedTraffic} from '../decisions/domain-traffic.js';
import {drawByText} from '../decisions/hash-text.js';
import {plainSlots} from '../decisions/upstream-speeds.js';
import type {UpstreamSpeeds, WorkKind} from '../decisions/upstream-speeds.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {canDecode} from './can-decode.js';
import type {TrackedUpstream, UpstreamTable} from './upstream-table.js';

export type DomainDecision =
  | {readonly kind: 'stay'; readonly domain: string}
  | {
      readonly kind: 'leave';
      readonly domain: string;
      readonly reason: LeavingReason;
    };

/** A change of a share of this host's domain. */
export interface ShareChange {
  readonly pool: string;
  readonly kind: WorkKind;
  readonly from: string;
  readonly decision: DomainShares;
}

export interface DomainRouterParts {
  readonly clock: Clock;
  readonly upstreams: UpstreamTable;
  readonly speeds: UpstreamSpeeds;
  readonly self: string;
  readonly ownDomain: string;
  readonly traffic: WeighedTraffic;
  readonly onChange: (change: ShareChange) => void;
}

/** Size of the KV cache of one prompt token, of engines that do not state it. */
const defaultCacheBytesPerToken = 128 * 1024;

/** Time between two decisions, shorter than that between two reports. */
const decisionIntervalMilliseconds = 500;

/** Weight of one call in the mean work of calls. */
const meanGain = 0.02;

/** Weight of one observation; 3 s, above the age of reports. */
const correctionGain = 0.15;

const bytesPerMegabyte = 1e6;

/** Pools, kinds of work and domains beyond this number are not tracked. */
const maximumPlans = 64;

interface Plan {
  decidedAt: number;
  readonly approaches: Map<string, ShareApproach>;
  /** Capacity as a multiple of what measured times suggest. */
  correction: number;
  /** The same of single domains whose queues grow. */
  readonly overloads: Map<string, number>;
}

interface MeanCall {
  work: number;
  memoryTokens: number;
  linkBytes: number;
}

export class DomainRouter {
  readonly demand: DomainDemand;
  private readonly plans = new Map<string, Plan>();
  private readonly meanCalls = new Map<string, MeanCall>();

  constructor(private readonly parts: DomainRouterParts) {
    this.demand = new DomainDemand(parts.self, parts.ownDomain);
  }

  /** Records a call of this host. `linkBytes` are moved if it leaves. */
  recordCall(
    pool: PoolDocument,
    kind: WorkKind,
    work: number,
    linkBytes: number,
    memoryTokens = 1,
  ): void {
    this.demand.record(pool.name, kind, work);
    const key = `${kind} ${pool.name}`;
    const mean = this.meanCalls.get(key);
    if (mean === undefined) {
      if (this.meanCalls.size < maximumPlans)
        this.meanCalls.set(key, {work, memoryTokens, linkBytes});
      return;
    }
    mean.work += (work - mean.work) * meanGain;
    mean.memoryTokens += (memoryTokens - mean.memoryTokens) * meanGain;
    mean.linkBytes += (linkBytes - mean.linkBytes) * meanGain;
  }

  /**
   * Returns the domain for a call. The same call always gets the same answer while
   * the shares stay, however often it is asked.
   */
  choose(
    pool: PoolDocument,
    kind: WorkKind,
    callId: string,
    {from = this.parts.ownDomain, ignoresReachability = false} = {},
  ): DomainDecision {
    const shares = this.sharesOf(pool, kind, from, ignoresReachability);
    if (shares.kind === 'stay') return {kind: 'stay', domain: from};
    let remaining = drawByText(`${kind} ${callId}`);
    for (const [domain, share] of shares.shares) {
      remaining -= share;
      if (remaining < 0) return {kind: 'leave', domain, reason: shares.reason};
    }
    return {kind: 'stay', domain: from};
  }

  private sharesOf(
    pool: PoolDocument,
    kind: WorkKind,
    from: string,
    ignoresReachability: boolean,
  ): DomainShares {
    const {clock, ownDomain, onChange} = this.parts;
    const key = `${kind} ${ignoresReachability} ${pool.name}`;
    const now = clock.now();
    let plan = this.plans.get(key);
    if (plan === undefined) {
      if (this.plans.size >= maximumPlans) this.plans.clear();
      plan = {
        decidedAt: -Infinity,
        approaches: new Map(),
        correction: 1,
        overloads: new Map(),
      };
      this.plans.set(key, plan);
    }
    const {approaches} = plan;
    if (now - plan.decidedAt >= decisionIntervalMilliseconds) {
      plan.decidedAt = now;
      const current = new Map(
        [...approaches].map(([domain, approach]) => [domain, approach.current]),
      );
      const measured = this.statesOf(pool, kind, ignoresReachability);
      const states =
        kind === 'plain'
          ? this.correct(pool, measured, plan, current)
          : measured;
      const linkMilliseconds = this.linkMillisecondsOf(pool, kind);
      const planned = planShares({states, linkMilliseconds, current});
      const available = new Set(
        states.filter(each => each.capacity > 0).map(({domain}) => domain),
      );
      for (const [domain, shares] of planned) {
        const approach = approaches.get(domain) ?? new ShareApproach();
        approaches.set(domain, approach);
        const isChanged = approach.update(shares, each => available.has(each));
        if (isChanged && domain === ownDomain && !ignoresReachability)
          onChange({
            pool: pool.name,
            kind,
            from: domain,
            decision: approach.current,
          });
      }
      for (const domain of [...approaches.keys()])
        if (!planned.has(domain)) approaches.delete(domain);
    }
    return approaches.get(from)?.current ?? {kind: 'stay'};
  }

  private statesOf(
    pool: PoolDocument,
    kind: WorkKind,
    ignoresReachability: boolean,
  ): DomainState[] {
    const {clock, upstreams, speeds, ownDomain, traffic} = this.parts;
    const now = clock.now();
    const listed = upstreams
      .acceptingOf(pool)
      .filter(({document}) => canDo(document, kind));
    const names = listed.map(({document}) => document.name);
    const mean = speeds.meanOf(names, kind);
    const call = this.meanCalls.get(`${kind} ${pool.name}`);
    if (mean.kind === 'unknown' || call === undefined) return [];
    const rates = this.demand.rates(pool.name, kind, now);
    const domains = new Set([ownDomain, ...traffic.domains, ...rates.keys()]);
    for (const {document} of listed) domains.add(document.spec.failureDomain);
    const slots = this.slotsOf(pool, kind, call);
    // Work of a decode engine is done on all its memory at once.
    const batch = kind === 'decode' ? (pool.spec.engine?.memoryTokens ?? 1) : 1;
    return [...domains].map(domain => {
      let unitsPerMillisecond = 0;
      let servers = 0;
      for (const {document, health} of listed) {
        if (document.spec.failureDomain !== domain) continue;
        if (!ignoresReachability && !health.isUsable(now)) continue;
        const speed = speeds.estimate(document.name, kind);
        const {millisecondsPerUnit} = speed.kind === 'measured' ? speed : mean;
        const parallel = kind === 'plain' ? slots : batch;
        unitsPerMillisecond += parallel / millisecondsPerUnit;
        servers += slots;
      }
      const capacity = unitsPerMillisecond * 1000;
      return {
        domain,
        demand: rates.get(domain),
        capacity,
        capacityForOthers: capacity,
        servers: Math.max(1, servers),
        callMilliseconds:
          capacity > 0 ? (call.work * servers * 1000) / capacity : 0,
      };
    });
  }

  /**
   * Corrects the capacities by the calls that are at the upstreams. What measured
   * times contain too much is alike in all domains, and taken from all of them
   * together; one with a growing queue may have less.
   */
  private correct(
    pool: PoolDocument,
    measured: readonly DomainState[],
    plan: Plan,
    current: ReadonlyMap<string, DomainShares>,
  ): DomainState[] {
    const {upstreams} = this.parts;
    const listed = upstreams.acceptingOf(pool);
    const observations = measured.map(state => {
      const calls = listed
        .filter(({document}) => document.spec.failureDomain === state.domain)
        .map(
          ({document, localLoad}) =>
            localLoad.calls + upstreams.reportedLoad(document.name).calls,
        )
        .reduce((sum, each) => sum + each, 0);
      const placed = placedWork(state.domain, measured, current);
      return capacityCorrection(state, placed, calls, {
        slots: state.servers,
        slotsOfUpstream: plainSlots,
      });
    });
    const balanced = observations.flatMap(each =>
      each === undefined || each.isOverloaded ? [] : each.correction,
    );
    if (balanced.length > 0) {
      const mean =
        balanced.reduce((sum, each) => sum + each, 0) / balanced.length;
      plan.correction += (mean - plan.correction) * correctionGain;
    }
    return measured.map((state, index) => {
      const {domain, capacity} = state;
      const observation = observations[index];
      const before = plan.overloads.get(domain) ?? 1;
      const observed =
        observation?.isOverloaded === true
          ? Math.min(1, observation.correction / plan.correction)
          : 1;
      const factor = before + (observed - before) * correctionGain;
      plan.overloads.set(domain, factor);
      const corrected = capacity * plan.correction;
      const capacityForOthers = corrected * factor;
      return {...state, capacity: corrected, capacityForOthers};
    });
  }

  /** Calls that one upstream handles at a time. */
  private slotsOf(
    {spec}: PoolDocument,
    kind: WorkKind,
    {memoryTokens}: MeanCall,
  ): number {
    switch (kind) {
      case 'plain':
        return plainSlots;
      case 'prefill':
        return 1;
      case 'decode':
        return Math.max(
          1,
          Math.min(
            spec.engine?.slots ?? 1,
            (spec.engine?.memoryTokens ?? 1) / memoryTokens,
          ),
        );
    }
  }

  private linkMillisecondsOf({name}: PoolDocument, kind: WorkKind): number {
    const bytes = this.meanCalls.get(`${kind} ${name}`)?.linkBytes ?? 0;
    const {millisecondsPerMegabyte} = this.parts.traffic;
    return (
      domainRoundTripMilliseconds +
      (bytes / bytesPerMegabyte) * millisecondsPerMegabyte
    );
  }
}

/**
 * Upstreams of the decided domain; if there are none, those of `home`, or else all
 * of them.
 */
export function inDecidedDomain(
  candidates: readonly TrackedUpstream[],
  {domain}: DomainDecision,
  home: string,
): readonly TrackedUpstream[] {
  for (const wanted of [domain, home]) {
    const there = candidates.filter(
      ({document}) => document.spec.failureDomain === wanted,
    );
    if (there.length > 0) return there;
  }
  return candidates;
}

function canDo({labels = {}}: UpstreamDocument, kind: WorkKind): boolean {
  switch (kind) {
    case 'plain':
      return true;
    case 'prefill':
      return labels['stage'] === 'prefill';
    case 'decode':
      return canDecode(labels);
  }
}

/** Bytes of the KV cache of a prompt in `pool`. */
export function cacheBytesOf({spec}: PoolDocument, promptTokens: number) {
  const {cacheBytesPerToken = defaultCacheBytesPerToken} = spec.engine ?? {};
  return promptTokens * cacheBytesPerToken;
}
