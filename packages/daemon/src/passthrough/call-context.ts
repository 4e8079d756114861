/** What a server knows of a call, from its arrival to its end. */

import type {ServerResponse} from 'node:http';
import {cancellationCauseOf} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import type {CallProgress, OpenCall} from './caller-connection.js';

/** What is known of a call so far. */
export interface CallContext extends OpenCall {
  requestId: string;
  progress: CallProgress;
  isCancelable: boolean;
  account: string;
  route: string;
  /** Aborted with a `Cancellation` when the call is cancelled, or has ended. */
  readonly ended: AbortController;
  /** Clock time at which the call was complete. */
  forwardedAt: number;
  isGeneration: boolean;
}

/** Outcome of a finished call, for logs and metrics. */
export interface CallSummary {
  readonly requestId: string;
  readonly account: string;
  readonly route: string;
  readonly status: number;
  readonly durationMilliseconds: number;
  readonly failure: RequestFailure | undefined;
  /** What cancelled the call; empty if nothing has. */
  readonly cause: string;
  /** True for a call that generates tokens, as opposed to a service call. */
  readonly isGeneration: boolean;
}

/** The context of a call that arrived at the clock time `arrivedAt`. */
export function newCallContext(
  response: ServerResponse,
  arrivedAt: number,
): CallContext {
  return {
    requestId: '',
    progress: 'waiting',
    isCancelable: true,
    response,
    ended: new AbortController(),
    account: '',
    route: '',
    arrivedAt,
    forwardedAt: Infinity,
    isGeneration: false,
  };
}

/** The outcome of a call that ended at the clock time `endedAt`. */
export function summaryOf(
  {requestId, account, route, arrivedAt, isGeneration, ended}: CallContext,
  status: number,
  failure: RequestFailure | undefined,
  endedAt: number,
): CallSummary {
  return {
    requestId,
    account,
    route,
    status,
    durationMilliseconds: endedAt - arrivedAt,
    failure,
    cause: cancellationCauseOf(ended.signal),
    isGeneration,
  };
}
