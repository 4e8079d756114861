/** What a server knows of a call, from its arrival to its end. */

import type {ServerResponse} from 'node:http';
import {cancellationCauseOf} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import type {
  CallProgress,
  CallerConnection,
  OpenCall,
} from './caller-connection.js';

/** What is known of a call so far. */
export interface CallContext extends OpenCall {
  requestId: string;
  progress: CallProgress;
  isCancelable: boolean;
  account: string;
  route: string;
  /** Aborted with a `Cancellation` when the call is cancelled, or has ended. */
  readonly ended: AbortController;
  /** Clock time at which it was read to its end; infinite until then. */
  receivedAt: number;
  /** Clock time of the first send to an upstream or another host. */
  sentAt: number;
  /** Expected duration at that time, in milliseconds; undefined without an estimate. */
  expectedAtSend: number | undefined;
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
  readonly timing: CallTiming;
}

/** When a call reached the steps before its response, in milliseconds. */
export interface CallTiming {
  /** Longest time for which it can have lain unread before. */
  readonly unread: number;
  /** From its head to its last byte; undefined if that was not read. */
  readonly body: number | undefined;
  /** From its head to its first send; undefined if it was not sent. */
  readonly send: number | undefined;
  /** Undefined unless the host is stopping. */
  readonly stop: StopTiming | undefined;
}

/** What decides which calls a host still sends that is stopping, in milliseconds. */
export interface StopTiming {
  /** From the signal to stop to the end of the call. */
  readonly sinceStop: number;
  /**
   * Duration that was expected of the call when it was first sent, or else at its end;
   * undefined without an estimate.
   */
  readonly expected: number | undefined;
}

/** The context of the call that is read next on `connection`. */
export function newCallContext(
  response: ServerResponse,
  connection: CallerConnection,
): CallContext {
  return {
    requestId: '',
    progress: 'waiting',
    isCancelable: true,
    response,
    ended: new AbortController(),
    account: '',
    route: '',
    arrivedAt: connection.arrivalOfNext(),
    unreadMilliseconds: connection.unreadTimeOfNext(),
    receivedAt: Infinity,
    sentAt: Infinity,
    expectedAtSend: undefined,
    isGeneration: false,
  };
}

/** The outcome of a call that ended at the clock time `endedAt`. */
export function summaryOf(
  context: CallContext,
  status: number,
  failure: RequestFailure | undefined,
  endedAt: number,
  stop: StopTiming | undefined,
): CallSummary {
  const {requestId, account, route, isGeneration, ended} = context;
  const {unreadMilliseconds} = context;
  const readAt = context.arrivedAt + unreadMilliseconds;
  return {
    requestId,
    account,
    route,
    status,
    durationMilliseconds: endedAt - readAt,
    failure,
    cause: cancellationCauseOf(ended.signal),
    isGeneration,
    timing: {
      unread: unreadMilliseconds,
      body: finiteOrUndefined(context.receivedAt - readAt),
      send: finiteOrUndefined(context.sentAt - readAt),
      stop,
    },
  };
}

function finiteOrUndefined(value: number): number | undefined {
  return Number.isFinite(value) ? value : undefined;
}
