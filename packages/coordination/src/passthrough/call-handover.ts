/**
 * Hands calls over to other hosts, if this host can reach no upstream of their
 * pools and others can. The other host handles such a call like one of its own
 * callers: it checks the key, counts the rate, the limits and further retries, and
 * decides about continued streams. It never hands it over again. Its first send of
 * the call is covered by this host.
 */

import {Result} from 'true-myth';
import type {RequestFailure} from '../requests/failure.js';
import {upstreamFailed, upstreamTimeout} from './call-failures.js';
import {cancellationFailureOf} from './cancellation.js';
import type {
  PassthroughError,
  PassthroughResponse,
  RoutedCall,
  TransportResult,
} from './call.js';
import {provesCallNotRun, sendOutcomeOf} from './call.js';
import type {CallSends, SendOutcome, SendPurpose} from './call-sends.js';
import type {FleetMember} from './fleet-member.js';
import {chooseHandoverHost} from './handover-choice.js';
import type {PoolDocument} from '../generated/documents.js';
import {choosePoolByWeight} from './passthrough-parts.js';
import type {PassthroughParts} from './passthrough-parts.js';

/** Sends calls to other hosts. Its promises never reject. */
export interface HandoverTransport {
  /**
   * Sends a call and resolves with the head of the response. The error `refused`
   * means that the other host can't handle the call, and did not run it.
   */
  handOver(
    address: string,
    call: RoutedCall,
    remainingMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<PassthroughResponse>;
}

type CallResult = Result<PassthroughResponse, RequestFailure>;

/** Hosts that are asked to take over one call. */
const maximumHosts = 3;

export class CallHandover {
  private readonly callCounts = new Map<string, number>();

  constructor(private readonly parts: PassthroughParts) {}

  /**
   * Hands a call over, if `isHandoverNeeded`. Resolves with undefined if no host
   * takes it, and it has not run.
   */
  async forward(
    call: RoutedCall,
    sends: CallSends,
    signal: AbortSignal,
  ): Promise<CallResult | undefined> {
    const {clock} = this.parts;
    const {repeatable, maximumTries} = call.route.target;
    const pool = choosePoolByWeight(this.parts, call);
    if (pool === undefined) return undefined;
    sends.recordCall(pool.name);
    const triedHosts = new Set<string>();
    let possibleRuns = 0;
    while (triedHosts.size < maximumHosts) {
      const member = chooseHost(this.parts, call, triedHosts, this.callCounts);
      if (member === undefined) break;
      triedHosts.add(member.host);
      if (!(await this.coverSends(call, pool, sends))) break;
      if (clock.now() >= call.deadline) break;
      const begun = this.sendsOf(call, sends).map(purpose =>
        sends.begin(pool.name, purpose),
      );
      const response = await this.handOverTo(member, call, signal);
      for (const send of begun) send.end(...handoverOutcomeOf(response));
      if (response.isOk) return Result.ok(response.value);
      if (signal.aborted)
        return Result.err(cancellationFailureOf(signal, 'unknown'));
      if (provesCallNotRun(response.error)) continue;
      possibleRuns += 1;
      if (clock.now() >= call.deadline) return Result.err(upstreamTimeout);
      if (!repeatable || possibleRuns >= maximumTries) break;
    }
    return possibleRuns > 0 ? Result.err(upstreamFailed) : undefined;
  }

  /**
   * What the other host may send without a retry of its own: the first run and the
   * first prefill, which counts if another one was accepted before.
   */
  private sendsOf(call: RoutedCall, sends: CallSends): readonly SendPurpose[] {
    const isFree = call.generation === undefined || sends.isPrefillFree;
    return isFree ? ['run'] : ['prefill', 'run'];
  }

  private async coverSends(
    call: RoutedCall,
    {name}: PoolDocument,
    sends: CallSends,
  ): Promise<boolean> {
    const count = this.sendsOf(call, sends).length;
    if ((await sends.cover(name, count)) !== undefined) return true;
    this.parts.observer(call.id, {
      kind: 'retry-withheld',
      reason: 'handover',
      limit: 'budget',
    });
    return false;
  }

  private async handOverTo(
    member: FleetMember,
    call: RoutedCall,
    signal: AbortSignal,
  ): Promise<Result<PassthroughResponse, PassthroughError>> {
    const {clock, handoverTransport, observer, domains, failureDomain} =
      this.parts;
    const {host, handoverAddress, reportAgeMilliseconds} = member;
    if (domains !== undefined && member.failureDomain !== failureDomain)
      observer(call.id, {
        kind: 'domain-left',
        purpose: 'handover',
        domain: member.failureDomain,
        reason: 'handover',
        bytes: call.body.length,
      });
    const startedAt = clock.now();
    this.addCalls(host, 1);
    const response = await handoverTransport.handOver(
      handoverAddress,
      call,
      call.deadline - startedAt,
      signal,
    );
    observer(call.id, {
      kind: 'handed-over',
      peer: host,
      reportAge: reportAgeMilliseconds,
      outcome: response.isOk
        ? String(response.value.status)
        : response.error.kind,
      took: clock.now() - startedAt,
    });
    if (response.isErr) {
      this.addCalls(host, -1);
      return Result.err(response.error);
    }
    const body = this.relay(host, response.value.body);
    return Result.ok({...response.value, body});
  }

  private async *relay(
    host: string,
    body: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array> {
    try {
      yield* body;
    } finally {
      this.addCalls(host, -1);
    }
  }

  private addCalls(host: string, count: number): void {
    const calls = (this.callCounts.get(host) ?? 0) + count;
    if (calls > 0) this.callCounts.set(host, calls);
    else this.callCounts.delete(host);
  }
}

/** A host that declines a call has sent it to no upstream. */
function handoverOutcomeOf(
  response: Result<PassthroughResponse, PassthroughError>,
): [outcome: SendOutcome, detail: string] {
  if (response.isOk) return ['arrived', String(response.value.status)];
  const {kind} = response.error;
  return [kind === 'refused' ? 'not-sent' : sendOutcomeOf(response), kind];
}

/** Returns whether `call` needs upstreams that this host can't reach. */
export function isHandoverNeeded(
  {upstreams}: PassthroughParts,
  call: RoutedCall,
): boolean {
  const {route, isHandedOver} = call;
  return (
    !isHandedOver &&
    route.pools.some(({pool}) => upstreams.isOutOfReach(pool, call))
  );
}

/** Returns whether `call` needs a handover, and a host is known that takes it. */
export function isHandoverPossible(
  parts: PassthroughParts,
  call: RoutedCall,
): boolean {
  return (
    isHandoverNeeded(parts, call) &&
    chooseHost(parts, call, new Set(), new Map()) !== undefined
  );
}

function chooseHost(
  parts: PassthroughParts,
  call: RoutedCall,
  triedHosts: ReadonlySet<string>,
  callCounts: ReadonlyMap<string, number>,
): FleetMember | undefined {
  const {members, random} = parts;
  return chooseHandoverHost(
    {
      pools: call.route.pools.map(({pool}) => pool.name),
      members: members(),
      triedHosts,
      preferredDomain: handoverDomainOf(parts, call),
      isEligibleDomain: domain =>
        parts.upstreams.eligibilityOf(domain, call).kind === 'eligible',
      callsAt: ({host}) => callCounts.get(host) ?? 0,
    },
    random,
  );
}

/**
 * The domain whose hosts are asked first. Which upstreams this host reaches does
 * not count, because other hosts of its domain reach them.
 */
function handoverDomainOf(
  {domains, failureDomain}: PassthroughParts,
  {id, route, generation}: RoutedCall,
): string {
  const [first] = route.pools;
  if (domains === undefined || first === undefined) return failureDomain;
  const kind = generation === undefined ? 'plain' : 'decode';
  const options = {ignoresReachability: true};
  return domains.choose(first.pool, kind, id, options).domain;
}
