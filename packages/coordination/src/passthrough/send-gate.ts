/**
 * The check that each send of a call passes right before its first byte is written.
 * What was known when the upstream was chosen may have changed since: the call may
 * have waited for a reservation, a prefill, a retry or a connection.
 */

import type {UpstreamDocument} from '../generated/documents.js';
import {
  findAccountOfKey,
  hashKey,
  pathWithoutQuery,
} from '../requests/authentication.js';
import type {RequestFailure} from '../requests/failure.js';
import type {CallObserver} from './call-events.js';
import {hostStopping, keyWithdrawn, routeNotFound} from './call-failures.js';
import type {RoutedCall} from './call.js';
import type {RouteTable} from './route-table.js';
import type {ShutdownSchedule} from './shutdown-schedule.js';
import type {UpstreamDeparture, UpstreamTable} from './upstream-table.js';

/** Why a call may be sent nowhere any more. */
export type CallRefusal =
  /** The call would not end before this host does, and is not exempt. */
  | 'host-stopping'
  /** The configuration in force has no route for the call. */
  | 'route-withdrawn'
  /** The configuration in force does not let the key use the route. */
  | 'key-withdrawn';

/** Why a call is not sent to the upstream that was chosen for it. */
export type SendRefusal =
  | CallRefusal
  | UpstreamDeparture
  /** It holds values that can't be written as a request. */
  | 'unwritable-request';

export interface SendGateParts {
  readonly shutdown: ShutdownSchedule;
  readonly upstreams: Pick<UpstreamTable, 'departureOf'>;
  /** The configuration in force. */
  readonly routes: () => RouteTable | undefined;
  readonly observer: CallObserver;
  /** Receives the id of each call that is about to be sent. */
  readonly onSend: (requestId: string) => void;
}

/** What a configuration withdrew from a call. */
interface Withdrawal {
  readonly table: RouteTable;
  readonly refusal: CallRefusal | undefined;
}

export class SendGate {
  /** Of calls that were routed by an older configuration. */
  private readonly withdrawals = new WeakMap<RoutedCall, Withdrawal>();
  /** Calls that a stop does not refuse to send. */
  private readonly exempt = new WeakSet<RoutedCall>();

  constructor(private readonly parts: SendGateParts) {}

  /** Records that `call` begins, which ends when `ended` is aborted. */
  recordStart({route}: RoutedCall, ended: AbortSignal): void {
    this.parts.shutdown.recordStart(route.name, ended);
  }

  /**
   * Lets a stopping host send `call` once more: an upstream may have run it, or may
   * still answer it. A refusal would cut off its response, could not promise that it has
   * not run, or would reach its caller no sooner.
   */
  exemptFromStop(call: RoutedCall): void {
    this.exempt.add(call);
  }

  /**
   * Returns why `call` may not be sent to the process that `upstream` names, and
   * reports it.
   */
  refusalOf(
    call: RoutedCall,
    upstream: UpstreamDocument,
  ): SendRefusal | undefined {
    const refusal =
      this.callRefusalOf(call) ?? this.parts.upstreams.departureOf(upstream);
    return this.report(call, upstream.name, refusal);
  }

  /** Returns why `call` may not be handed over to the host at `address`. */
  handoverRefusalOf(
    call: RoutedCall,
    address: string,
  ): SendRefusal | undefined {
    return this.report(call, address, this.callRefusalOf(call));
  }

  /**
   * Returns the failure of a call that may be sent nowhere any more; undefined if
   * it may be sent.
   */
  failureOf(call: RoutedCall): RequestFailure | undefined {
    const refusal = this.callRefusalOf(call);
    switch (refusal) {
      case undefined:
        return undefined;
      case 'host-stopping':
        return hostStopping;
      case 'route-withdrawn':
        return routeNotFound;
      case 'key-withdrawn':
        return keyWithdrawn;
    }
  }

  private callRefusalOf(call: RoutedCall): CallRefusal | undefined {
    const isExempt = this.exempt.has(call);
    if (!isExempt && !this.parts.shutdown.canFinish(call))
      return 'host-stopping';
    return this.withdrawalOf(call);
  }

  /** What the configuration in force withdrew since it routed `call`. */
  private withdrawalOf(call: RoutedCall): CallRefusal | undefined {
    const table = this.parts.routes();
    if (table === undefined || table.contains(call.route)) return undefined;
    const known = this.withdrawals.get(call);
    // A call that waits is asked about again and again.
    if (known?.table === table) return known.refusal;
    const refusal = findWithdrawal(table, call);
    this.withdrawals.set(call, {table, refusal});
    return refusal;
  }

  private report(
    {id}: RoutedCall,
    upstream: string,
    reason: SendRefusal | undefined,
  ): SendRefusal | undefined {
    if (reason === undefined) this.parts.onSend(id);
    else this.parts.observer(id, {kind: 'send-withheld', upstream, reason});
    return reason;
  }
}

function findWithdrawal(
  table: RouteTable,
  {host, target, key, account}: RoutedCall,
): CallRefusal | undefined {
  const route = table.find(host, pathWithoutQuery(target));
  if (route === undefined) return 'route-withdrawn';
  if (account === undefined || route.document.spec.open === true)
    return undefined;
  const holder = findAccountOfKey(table.configuration, hashKey(key ?? ''));
  return holder.isOk && holder.value === account && table.canUse(route, account)
    ? undefined
    : 'key-withdrawn';
}
