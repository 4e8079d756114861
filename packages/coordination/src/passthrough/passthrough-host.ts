/**
 * Handles passed-through calls of one host. A call is authorized if its route and
 * key are valid under a configuration that is proven to be fresh. It is
 * admitted if the rate of its account allows it, and then forwarded.
 */

import {Result} from 'true-myth';
import {intersectRegions} from '../decisions/upstream-eligibility.js';
import type {Exclusion} from '../decisions/upstream-eligibility.js';
import type {AccountId} from '../ids.js';
import {
  findAccountOfKey,
  hashKey,
  missingKeyFailure,
  pathWithoutQuery,
} from '../requests/authentication.js';
import type {FailureCode, RequestFailure} from '../requests/failure.js';
import {fingerprintOf} from '../requests/request-fingerprint.js';
import {
  CallHandover,
  isHandoverNeeded,
  isHandoverPossible,
} from './call-handover.js';
import {
  noConfiguration,
  placementExcluded,
  routeNotFound,
  staleConfiguration,
} from './call-failures.js';
import type {RoutedCall, IncomingCall, PassthroughResponse} from './call.js';
import type {CallSends} from './call-sends.js';
import {GenerationForwarder} from './generations.js';
import type {ConfigurationFreshness} from './configuration-freshness.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {weightedPoolsOf} from './passthrough-parts.js';
import {PlainCallForwarder} from './plain-calls.js';
import {RetryGate} from './retry-gate.js';
import {
  isIncompleteContinuation,
  refuseIncomplete,
} from './stream-continuations.js';
import type {PassthroughRoute, RouteTable} from './route-table.js';
import {UpstreamLosses} from './upstream-losses.js';
import type {UsageLimiter} from './usage-limiter.js';

export interface PassthroughHostParts extends PassthroughParts {
  readonly routes: () => RouteTable | undefined;
  readonly freshness: ConfigurationFreshness;
  readonly limiter: UsageLimiter;
}

type CallResult = Result<PassthroughResponse, RequestFailure>;

/** Route and account that `authorize` found for a call. */
export interface CallRouting {
  readonly route: PassthroughRoute;
  readonly account: AccountId | undefined;
}

/** Failures that upstreams which may not serve a call can have caused. */
const placementFailures: ReadonlySet<FailureCode> = new Set([
  'no-upstream',
  'queue-full',
  'stream-not-resumable',
]);

/** Failures of calls that found no upstream here. */
const upstreamShortages: ReadonlySet<FailureCode> = new Set([
  'no-upstream',
  'queue-full',
]);

export class PassthroughHost {
  private readonly plainCalls: PlainCallForwarder;
  private readonly generations: GenerationForwarder;
  private readonly handover: CallHandover;
  private readonly retryGate: RetryGate;

  constructor(private readonly parts: PassthroughHostParts) {
    const upstreamLosses = new UpstreamLosses(parts);
    this.handover = new CallHandover(parts);
    this.retryGate = new RetryGate(parts);
    this.plainCalls = new PlainCallForwarder(parts, upstreamLosses);
    this.generations = new GenerationForwarder(parts, upstreamLosses);
  }

  close(): void {
    this.generations.close();
  }

  /** Number of calls that wait for engine memory. */
  get waitingCallCount(): number {
    return this.generations.waitingCallCount;
  }

  /**
   * Finds the route and the account of a call. Charges nothing to the account.
   */
  authorize(call: IncomingCall): Result<CallRouting, RequestFailure> {
    const {routes, freshness} = this.parts;
    const table = routes();
    if (table === undefined) return Result.err(noConfiguration);
    const route = table.find(call.host, pathWithoutQuery(call.target));
    const isFresh = freshness.isFresh();
    // An outdated configuration does not prove that a route or a key is
    // unknown.
    if (route === undefined)
      return Result.err(isFresh ? routeNotFound : staleConfiguration);
    if (route.document.spec.open === true)
      return Result.ok({route, account: undefined});
    if (!isFresh) return Result.err(staleConfiguration);
    if (call.key === undefined) return Result.err(missingKeyFailure);
    return findAccountOfKey(table.configuration, hashKey(call.key)).andThen(
      account =>
        table.canUse(route, account)
          ? Result.ok<CallRouting, RequestFailure>({route, account})
          : Result.err<CallRouting, RequestFailure>(routeNotFound),
    );
  }

  /**
   * Forwards an authorized call. `signal` is aborted when the caller disconnects,
   * and at the end of the response.
   */
  async forward(
    incoming: IncomingCall,
    {route, account}: CallRouting,
    body: Uint8Array,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const call = this.buildRoutedCall(incoming, route, account, body);
    const sends = this.retryGate.createSends(call);
    this.parts.sendGate.recordStart(call, signal);
    const response = await this.handOverOrForward(call, sends, signal);
    sends.settle();
    if (
      response.isErr &&
      response.error.ran === 'not-run' &&
      placementFailures.has(response.error.code)
    )
      this.reportRestriction(call);
    return response.mapErr(failure =>
      sends.wasSent ? {...failure, wasSent: true} : failure,
    );
  }

  private async handOverOrForward(
    call: RoutedCall,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const refusal = this.parts.sendGate.failureOf(call);
    if (refusal !== undefined) return Result.err(refusal);
    const exclusion = this.exclusionOf(call);
    if (exclusion !== undefined)
      return Result.err(placementExcluded(exclusion));
    if (isHandoverNeeded(this.parts, call)) {
      const response = await this.handover.forward(call, sends, signal);
      if (response !== undefined) return response;
    }
    const response = await this.forwardToUpstream(call, sends, signal);
    const canHandOver =
      response.isErr &&
      response.error.ran === 'not-run' &&
      upstreamShortages.has(response.error.code) &&
      !signal.aborted &&
      isHandoverPossible(this.parts, call);
    if (!canHandOver) return response;
    return (await this.handover.forward(call, sends, signal)) ?? response;
  }

  /** Returns why no upstream of the call's route may serve it, if so. */
  private exclusionOf(call: RoutedCall): Exclusion | undefined {
    const exclusions = weightedPoolsOf(call.route).map(({pool}) =>
      this.parts.upstreams.exclusionOf(pool, call),
    );
    return exclusions.includes(undefined) ? undefined : exclusions[0];
  }

  /** Reports a refusal while some upstreams may not serve the call. */
  private reportRestriction(call: RoutedCall): void {
    const {upstreams, observer} = this.parts;
    const restrictions = weightedPoolsOf(call.route).map(({pool}) =>
      upstreams.restrictionOf(pool, call),
    );
    const reasons = new Set(restrictions.flatMap(each => [...each.reasons]));
    if (call.allowedRegions?.size === 0) reasons.add('region');
    if (reasons.size === 0) return;
    observer(call.id, {
      kind: 'placement-restricted',
      route: call.route.name,
      account: call.account ?? '',
      reason: [...reasons].sort().join(' '),
      eligible: restrictions.reduce((sum, {eligible}) => sum + eligible, 0),
      regions: [...(call.allowedRegions ?? [])].join(' '),
      evacuated: [...upstreams.evacuatedDomains].join(' '),
    });
  }

  private async forwardToUpstream(
    call: RoutedCall,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const {account} = call;
    const tokens = this.tokenCostOf(call);
    const refusal = this.admit(call, tokens);
    if (refusal !== undefined) return Result.err(refusal);
    const response = await this.forwardAdmitted(call, sends, signal);
    if (
      response.isErr &&
      response.error.ran === 'not-run' &&
      account !== undefined
    )
      this.parts.limiter.refund(account, tokens);
    return response;
  }

  private async forwardAdmitted(
    call: RoutedCall,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult> {
    if (isIncompleteContinuation(call))
      return Result.err(refuseIncomplete(this.parts, call));
    return call.generation === undefined
      ? this.plainCalls.forward(call, sends, signal)
      : this.generations.forward(call, call.generation, sends, signal);
  }

  /** Clock time by which a call on `route` must end. */
  deadlineOf(
    {arrivedAt, callerTimeoutMilliseconds = Infinity}: IncomingCall,
    {route}: CallRouting,
  ): number {
    const {timeoutMilliseconds} = route.target;
    return arrivedAt + Math.min(callerTimeoutMilliseconds, timeoutMilliseconds);
  }

  /** Urgency of a call; 0 is the most urgent. */
  urgencyOf({route, account}: CallRouting): number {
    return this.accountSpec(account)?.urgency ?? route.urgency;
  }

  private buildRoutedCall(
    incoming: IncomingCall,
    route: PassthroughRoute,
    account: AccountId | undefined,
    body: Uint8Array,
  ): RoutedCall {
    return {
      ...incoming,
      body,
      receivedAt: this.parts.clock.now(),
      account,
      route,
      deadline: this.deadlineOf(incoming, {route, account}),
      urgency: this.urgencyOf({route, account}),
      fingerprint: fingerprintOf({...incoming, body}, account ?? ''),
      allowedRegions: intersectRegions([
        route.allowedRegions,
        this.accountSpec(account)?.allowedRegions,
      ]),
    };
  }

  private accountSpec(account: AccountId | undefined) {
    if (account === undefined) return undefined;
    return this.parts.routes()?.configuration.accounts.get(account)?.spec;
  }

  private tokenCostOf({account, generation}: RoutedCall): number {
    const spec = this.accountSpec(account);
    if (spec?.costsTokens === false) return 1;
    if (generation === undefined) return spec?.defaultCostTokens ?? 1;
    return generation.promptTokens + generation.maximumOutputTokens;
  }

  private admit(call: RoutedCall, tokens: number): RequestFailure | undefined {
    const {limiter, freshness, observer, routes} = this.parts;
    const {account, route, id} = call;
    const spec = this.accountSpec(account);
    const eventFields = {
      route: route.name,
      account: account ?? '',
      version: String(routes()?.configuration.version ?? 0n),
      tokens,
    };
    if (account !== undefined) {
      const admission = limiter.admit(account, tokens);
      if (admission !== 'admitted') {
        const {level, share, retryAfterMilliseconds} = admission;
        observer(id, {
          kind: 'over-rate',
          ...eventFields,
          level,
          share,
          tokensPerSecond: spec?.rateTokensPerSecond ?? 0,
          retryAfter: retryAfterMilliseconds,
        });
        return {
          code: 'rate-exceeded',
          message: 'the client account has exceeded its rate and burst',
          ran: 'not-run',
          retryAfterMilliseconds,
        };
      }
    }
    observer(id, {kind: 'admitted', ...eventFields, proofAge: freshness.age()});
    return undefined;
  }
}
