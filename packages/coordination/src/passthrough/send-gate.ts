/**
 * The check that each send of a call passes right before its first byte is written.
 * What was known when the upstream was chosen may have changed since: the call may
 * have waited for a reservation, a prefill, a retry or a connection.
 */

import type {RequestFailure} from '../requests/failure.js';
import type {CallObserver} from './call-events.js';
import {hostStopping} from './call-failures.js';
import type {RoutedCall} from './call.js';
import type {ShutdownSchedule} from './shutdown-schedule.js';

/** Why a call may be sent nowhere any more. */
export type CallRefusal =
  /** The call would not end before this host does. */
  'host-stopping';

/** Why a call is not sent to the upstream that was chosen for it. */
export type SendRefusal =
  | CallRefusal
  /** It holds values that can't be written as a request. */
  | 'unwritable-request';

export interface SendGateParts {
  readonly shutdown: ShutdownSchedule;
  readonly observer: CallObserver;
}

export class SendGate {
  constructor(private readonly parts: SendGateParts) {}

  /** Returns why `call` may not be sent to `upstream` now, and reports it. */
  refusalOf(call: RoutedCall, upstream: string): SendRefusal | undefined {
    const refusal = this.callRefusalOf(call);
    if (refusal !== undefined)
      this.parts.observer(call.id, {
        kind: 'send-withheld',
        upstream,
        reason: refusal,
      });
    return refusal;
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
    }
  }

  private callRefusalOf(call: RoutedCall): CallRefusal | undefined {
    return this.parts.shutdown.canFinish(call) ? undefined : 'host-stopping';
  }
}
