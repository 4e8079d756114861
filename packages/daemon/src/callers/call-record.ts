/** State of one call, until its response is sent or its connection is lost. */

import type {ServerResponse} from 'node:http';
import {httpStatusOf} from '@persimmonwick/coordination';
import type {
  AccountId,
  Clock,
  Configuration,
  KeyHash,
  RequestFailure,
  RequestId,
  Route,
} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {EventLog} from '../log/logger.js';
import type {CallProgress, OpenCall} from '../passthrough/caller-connection.js';
import {requestAttributesOf} from '../operators/request-observer.js';
import type {
  RequestObservation,
  RequestObserver,
} from '../operators/request-observer.js';
import {sendFailure} from './failure-reply.js';

declare module 'fastify' {
  interface FastifyRequest {
    /** Null until the `onRequest` hook has run. */
    callRecord: CallRecord | null;
  }
}

/** Why a call ended before its response was complete. */
export type InterruptionReason =
  'caller-gone' | 'draining' | 'time-limit' | 'key-withdrawn';

export interface CallRecordParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly observer: RequestObserver;
  readonly requestMilliseconds: number;
}

/** Time that an interrupted call has left to write its error response. */
const interruptedWriteTimeoutMilliseconds = 2000;

/** Tracks a call, interrupts it when necessary, and reports its outcome. */
export class CallRecord implements OpenCall {
  progress: CallProgress = 'waiting';
  readonly isCancelable = true;
  private readonly interruptedController = new AbortController();
  private readonly closedController = new AbortController();
  private interruptionReason: InterruptionReason | undefined;
  private account: AccountId | undefined;
  private route: Route | undefined;
  private failure: RequestFailure | undefined;
  /** What interrupted the call, if it failed because of that. */
  private cause: InterruptionReason | '' = '';
  private keyHash: KeyHash | undefined;
  /** Set once the account and route are known. */
  observation: RequestObservation | undefined;

  constructor(
    readonly requestId: RequestId,
    private readonly reply: FastifyReply,
    private readonly parts: CallRecordParts,
    /** Earliest clock time at which the call can have arrived, in milliseconds. */
    readonly arrivedAt = parts.clock.now(),
    readonly unreadMilliseconds = 0,
  ) {
    void this.enforceTimeLimit();
  }

  /** Clock time at which the call is interrupted by its time limit. */
  get deadline(): number {
    return this.arrivedAt + this.parts.requestMilliseconds;
  }

  /** Aborted when the call is interrupted. */
  get signal(): AbortSignal {
    return this.interruptedController.signal;
  }

  /** Aborted when the response was sent or the connection is lost. */
  get closed(): AbortSignal {
    return this.closedController.signal;
  }

  get response(): ServerResponse {
    return this.reply.raw;
  }

  /** Records that all calls before it on its connection are answered. */
  begin(): void {
    this.progress = 'receiving';
  }

  /** Records that the call was read to its end. */
  recordReceipt(): void {
    this.progress = 'queued';
  }

  /**
   * Refuses the call with `failure` if it is still being read and may not end until
   * the clock time `endsAt`.
   */
  refuseIfLate(endsAt: number, failure: RequestFailure): void {
    if (this.progress !== 'receiving' || this.deadline <= endsAt) return;
    void sendFailure(this.reply, failure);
  }

  /** Refuses the call while its body is received, and ends its connection. */
  refuse(failure: RequestFailure): void {
    if (this.reply.sent || this.closed.aborted) return;
    void sendFailure(this.reply.header('connection', 'close'), failure);
  }

  /** Sets the account and route; metrics count the call from here on. */
  assign(account: AccountId, route: Route): void {
    this.account = account;
    this.route = route;
    this.observation = this.parts.observer.startObservation(
      requestAttributesOf(account, route),
      this.arrivedAt,
    );
  }

  /** Sets the hash of the key with which the call was authenticated. */
  bindToKey(keyHash: KeyHash): void {
    this.keyHash = keyHash;
  }

  /**
   * Interrupts the call if its key no longer belongs to its account, unless its
   * route has `onKeyWithdrawal: 'finish-streams'`.
   */
  interruptIfKeyWithdrawn(configuration: Configuration): void {
    if (this.keyHash === undefined) return;
    if (this.route?.spec.onKeyWithdrawal === 'finish-streams') return;
    if (configuration.accountOfKey.get(this.keyHash) === this.account) return;
    this.interrupt('key-withdrawn');
  }

  /**
   * Records why the call failed, if nothing is recorded yet, and returns the
   * failure to send. After an interruption, an upstream failure is only a
   * consequence of it, so the interruption is reported, unless the failure
   * proves that the request was not executed.
   */
  recordFailure(failure: RequestFailure): RequestFailure {
    if (this.interruptionReason !== undefined && failure.ran !== 'not-run')
      return this.recordInterruption(this.interruptionReason);
    this.failure ??= failure;
    return failure;
  }

  private recordInterruption(reason: InterruptionReason): RequestFailure {
    const failure = interruptionFailure(reason);
    if (this.failure === undefined) this.cause = reason;
    this.failure ??= failure;
    return failure;
  }

  /** Aborts the call and, after a timeout, destroys its connection. */
  interrupt(reason: InterruptionReason): void {
    if (
      this.interruptionReason !== undefined ||
      this.closedController.signal.aborted
    )
      return;
    this.interruptionReason = reason;
    this.interruptedController.abort();
    void this.destroyAfterTimeout();
  }

  /** Closes the record when the response is sent or the connection is lost. */
  close(): void {
    if (this.closedController.signal.aborted) return;
    if (!this.reply.raw.writableFinished) {
      this.interrupt('caller-gone');
      this.recordInterruption(this.interruptionReason ?? 'caller-gone');
    }
    this.closedController.abort();
    this.reportEnd();
  }

  private async enforceTimeLimit(): Promise<void> {
    const {clock, requestMilliseconds} = this.parts;
    const elapsed = clock.now() - this.arrivedAt;
    await clock.sleep(
      Math.max(0, requestMilliseconds - elapsed),
      this.closedController.signal,
    );
    this.interrupt('time-limit');
  }

  /** Frees the connection of a caller that does not read its response. */
  private async destroyAfterTimeout(): Promise<void> {
    const {signal} = this.closedController;
    await this.parts.clock.sleep(interruptedWriteTimeoutMilliseconds, signal);
    if (!signal.aborted) this.reply.raw.destroy();
  }

  private reportEnd(): void {
    const {clock, log, observer} = this.parts;
    const subject = {
      request: this.requestId,
      account: this.account ?? '',
      route: this.route?.name ?? '',
    };
    if (this.failure === undefined) {
      this.observation?.finished();
      const milliseconds = Math.round(clock.now() - this.arrivedAt);
      const status = this.reply.raw.statusCode;
      log.write('requestFinished', {...subject, status, milliseconds});
      return;
    }
    if (this.observation === undefined) observer.refused(this.failure);
    else this.observation.failed(this.failure);
    const {code, ran} = this.failure;
    log.write('requestFailed', {
      ...subject,
      status: httpStatusOf(code),
      code,
      ran,
      cause: this.cause,
      milliseconds: Math.round(clock.now() - this.arrivedAt),
      ...unknownTiming,
    });
  }
}

/** Only hosts that pass calls through know these times. */
const unknownTiming = {
  bodyMilliseconds: -1,
  sendMilliseconds: -1,
  unreadMilliseconds: -1,
  millisecondsSinceStop: -1,
  expectedMilliseconds: -1,
} as const;

/** Returns the record of a call; throws if the `onRequest` hook has not run. */
export function callRecordOf(request: FastifyRequest): CallRecord {
  if (request.callRecord === null) throw new MissingCallRecordError();
  return request.callRecord;
}

/** A handler ran without the hook that creates call records. */
export class MissingCallRecordError extends Error {
  constructor() {
    super('callRecord is not set: the onRequest hook has not run');
  }
}

function interruptionFailure(reason: InterruptionReason): RequestFailure {
  switch (reason) {
    case 'caller-gone':
      return {
        code: 'caller-gone',
        message: 'the caller closed the connection',
        ran: 'unknown',
      };
    case 'draining':
      return {
        code: 'draining',
        message: 'the host stopped before the response was complete',
        ran: 'unknown',
      };
    case 'key-withdrawn':
      return {
        code: 'key-withdrawn',
        message: 'the key was withdrawn before the response was complete',
        ran: 'unknown',
      };
    case 'time-limit':
      return {
        code: 'upstream-timeout',
        message: 'the response was not complete within the time limit',
        ran: 'unknown',
      };
  }
}
