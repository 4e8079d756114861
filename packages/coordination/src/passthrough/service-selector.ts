/** Selects upstreams for calls of plain services. */

import type {PoolDocument} from '../generated/documents.js';
import {randomBelow} from '../random.js';
import {AbortScope} from '../placement/abort-scope.js';
import {isHandoverPossible} from './call-handover.js';
import type {RoutedCall} from './call.js';
import type {DomainDecision} from './domain-router.js';
import {reportLeftDomain} from './report-left-domain.js';
import {inDecidedDomain} from './domain-router.js';
import {drawByCost} from './draw-by-cost.js';
import {minBy} from './min-by.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {slownessAmong} from './upstream-slowness.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * An upstream in another failure domain is treated as having this many more
 * calls. Also the amplitude of the random tie-break.
 */
const remoteDomainPenaltyCalls = 0.5;

/**
 * Fraction of the first-token target for which a call may wait until the limits
 * of its upstreams allow it.
 */
const limitWaitTargetFraction = 0.5;

/** Typical age of a reported load in a fleet of 60 to 90 hosts. */
const typicalReportAgeMilliseconds = 900;

/** The same time on a route without a first-token target. */
const defaultLimitWaitMilliseconds = 250;

/**
 * Interval at which a call that waits for suspect upstreams looks at them, if none
 * of them answers.
 */
const suspectPollMilliseconds = 50;

export type ServiceChoice =
  | {readonly kind: 'chosen'; readonly upstream: TrackedUpstream}
  /** The limits that the upstreams named are reached. */
  | {readonly kind: 'limited'; readonly waitMilliseconds: number}
  | {readonly kind: 'none'};

export interface ServiceSelectionOptions {
  readonly triedUpstreams: ReadonlySet<string>;
  /** Calls that are to be sent before this one. */
  readonly ahead: number;
  /** Whether to choose no unusable upstream if there is no other. */
  readonly requiresUsable?: boolean;
}

export class ServiceSelector {
  /** Calls that wait for the limits of the upstreams of each pool. */
  private readonly waitingLines = new Map<string, Set<RoutedCall>>();

  constructor(private readonly parts: PassthroughParts) {}

  /**
   * Selects an upstream for the first attempt of a call. If the limits of all
   * upstreams are reached, calls that can be sent in time wait in the order of
   * their arrival. A call also waits while no upstream is usable and some are
   * suspect: it would be lost if they turn out to be. `signal` ends the wait.
   */
  async chooseInTime(
    call: RoutedCall,
    pool: PoolDocument,
    signal: AbortSignal,
  ): Promise<ServiceChoice> {
    const {clock, observer} = this.parts;
    const line = this.waitingLineOf(pool);
    const latest = Math.min(call.deadline, call.receivedAt + limitWaitOf(call));
    const triedUpstreams = new Set<string>();
    try {
      for (;;) {
        if (this.areSuspect(pool) && clock.now() < call.deadline) {
          await this.waitForAnswer(signal);
          if (signal.aborted) return {kind: 'none'};
          continue;
        }
        // Another host takes the call, which is not sent over a lost link.
        if (isHandoverPossible(this.parts, call)) return {kind: 'none'};
        const ahead = line.has(call) ? [...line].indexOf(call) : line.size;
        const choice = this.choose(call, pool, {triedUpstreams, ahead});
        if (choice.kind !== 'limited') return choice;
        const {waitMilliseconds} = choice;
        const canWait = clock.now() + waitMilliseconds <= latest;
        observer(call.id, {
          kind: 'limit-reached',
          wait: waitMilliseconds,
          ahead,
          outcome: canWait ? 'waits' : 'refused',
        });
        if (!canWait) return choice;
        line.add(call);
        await clock.sleep(waitMilliseconds, signal);
        if (signal.aborted) return choice;
      }
    } finally {
      line.delete(call);
    }
  }

  /** Whether no upstream of `pool` is usable, and some of them are suspect. */
  private areSuspect(pool: PoolDocument): boolean {
    const now = this.parts.clock.now();
    const accepting = this.parts.upstreams.acceptingOf(pool);
    return (
      accepting.some(({health}) => health.isSuspect(now)) &&
      !accepting.some(({health}) => health.isUsable(now))
    );
  }

  private async waitForAnswer(signal: AbortSignal): Promise<void> {
    const {clock, upstreams} = this.parts;
    const woken = new AbortScope(signal);
    const unsubscribe = upstreams.subscribeCapacity(() => woken.abort());
    await clock.sleep(suspectPollMilliseconds, woken.signal);
    unsubscribe();
    woken.close();
  }

  /** Selects the least loaded upstream that was not tried yet. */
  choose(
    call: RoutedCall,
    pool: PoolDocument,
    {triedUpstreams, ahead, requiresUsable = false}: ServiceSelectionOptions,
  ): ServiceChoice {
    const {clock, upstreams, requestLimits, random, failureDomain} = this.parts;
    const now = clock.now();
    const untried = upstreams
      .acceptingOf(pool, call)
      .filter(({document}) => !triedUpstreams.has(document.name));
    const usable = untried.filter(each => each.health.isUsable(now));
    const candidates = usable.length > 0 || requiresUsable ? usable : untried;
    const waitMilliseconds = requestLimits.shortestWait(
      candidates.map(({document}) => document.name),
      1,
      ahead,
    );
    if (waitMilliseconds > 0) return {kind: 'limited', waitMilliseconds};
    const allowed = candidates.filter(({document}) =>
      requestLimits.canSend(document.name, 1),
    );
    const decision = this.decide(call, pool, triedUpstreams, allowed);
    const sendable =
      decision === undefined
        ? allowed
        : inDecidedDomain(allowed, decision, failureDomain);
    const slownessOf = slownessAmong(sendable, 'plain', this.parts, now);
    const chosen =
      this.parts.speeds === undefined
        ? minBy(
            sendable,
            each =>
              this.costOf(each, slownessOf(each), now) +
              random.next() * remoteDomainPenaltyCalls,
          )
        : drawByCost(
            sendable,
            each => this.costOf(each, slownessOf(each), now),
            random,
          );
    if (chosen === undefined) return {kind: 'none'};
    const slowness = slownessOf(chosen);
    this.reportChoice(call, chosen, sendable.length, slowness);
    if (decision !== undefined)
      reportLeftDomain(this.parts, call, decision, chosen.document, {
        purpose: 'run',
        home: failureDomain,
        bytes: call.body.length,
      });
    return {kind: 'chosen', upstream: chosen};
  }

  /**
   * A second attempt stays in the domain of the host, unless an upstream there
   * can't be reached: the others there may be lost with it.
   */
  private decide(
    call: RoutedCall,
    pool: PoolDocument,
    triedUpstreams: ReadonlySet<string>,
    allowed: readonly TrackedUpstream[],
  ): DomainDecision | undefined {
    const {domains, failureDomain, upstreams, clock, random} = this.parts;
    if (domains === undefined || triedUpstreams.size === 0)
      return domains?.choose(pool, 'plain', call.id);
    const now = clock.now();
    const lostDomains = upstreams
      .acceptingOf(pool)
      .filter(
        ({document, health}) =>
          triedUpstreams.has(document.name) && health.isUnreachable(now),
      )
      .map(({document}) => document.spec.failureDomain);
    const elsewhere = allowed.filter(
      ({document}) => !lostDomains.includes(document.spec.failureDomain),
    );
    if (lostDomains.length === 0 || elsewhere.length === 0)
      return {kind: 'stay', domain: failureDomain};
    const drawn = elsewhere[randomBelow(random, elsewhere.length)]!;
    const domain = drawn.document.spec.failureDomain;
    return domain === failureDomain
      ? {kind: 'stay', domain}
      : {kind: 'leave', domain, reason: 'failing'};
  }

  private costOf(
    {document, localLoad, health}: TrackedUpstream,
    slowness: number,
    now: number,
  ): number {
    const {requestLimits, failureDomain} = this.parts;
    const domainPenalty =
      document.spec.failureDomain === failureDomain
        ? 0
        : remoteDomainPenaltyCalls;
    const calls = localLoad.calls + this.relevantCallsAt(document.name);
    const failurePenalty = 1 + 4 * health.failureShare(now);
    return (
      (calls + domainPenalty + 1) *
      slowness *
      failurePenalty *
      requestLimits.penaltyOf(document.name)
    );
  }

  /**
   * Calls of other hosts at an upstream. With shared speeds, reported calls that
   * have ended by now in all likelihood don't count: there are others by now, of
   * which nothing is known.
   */
  private relevantCallsAt(name: string): number {
    const {speeds, upstreams} = this.parts;
    const {calls} = upstreams.reportedLoad(name);
    if (speeds === undefined) return calls;
    const speed = speeds.estimate(name, 'plain');
    if (speed.kind === 'unknown') return calls;
    const {millisecondsPerUnit} = speed;
    return (
      calls * Math.exp(-typicalReportAgeMilliseconds / millisecondsPerUnit)
    );
  }

  private reportChoice(
    call: RoutedCall,
    {document, localLoad}: TrackedUpstream,
    candidates: number,
    slowness: number,
  ): void {
    const {clock, upstreams, observer} = this.parts;
    observer(call.id, {
      kind: 'chosen',
      purpose: 'run',
      upstream: document.name,
      candidates,
      load: localLoad.calls + upstreams.reportedLoad(document.name).calls,
      slowness,
      waited: clock.now() - call.arrivedAt,
    });
  }

  private waitingLineOf({name}: PoolDocument): Set<RoutedCall> {
    const existing = this.waitingLines.get(name);
    if (existing !== undefined) return existing;
    const created = new Set<RoutedCall>();
    this.waitingLines.set(name, created);
    return created;
  }
}

function limitWaitOf({route}: RoutedCall): number {
  const {firstTokenTargetMilliseconds} = route;
  return firstTokenTargetMilliseconds === undefined
    ? defaultLimitWaitMilliseconds
    : firstTokenTargetMilliseconds * limitWaitTargetFraction;
}
