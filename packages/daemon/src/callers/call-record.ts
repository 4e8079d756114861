/** What one call of a caller carries from start to end. */

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
import {requestAttributesOf} from '../operators/request-observer.js';
import type {
  RequestObservation,
  RequestObserver,
} from '../operators/request-observer.js';

declare module 'fastify' {
  interface FastifyRequest {
    /** Null until the first hook has run. */
    callRecord: CallRecord | null;
  }
}

/** Why a call ended before its answer was whole. */
export type Interruption =
  'caller-gone' | 'host-stopping' | 'time-limit' | 'key-withdrawn';

/** What a call record works with. */
export interface CallRecordParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly observer: RequestObserver;
  readonly requestMilliseconds: number;
}

const lastWriteMilliseconds = 2000;

/** Follows a call until its connection is done with it. */
export class CallRecord {
  private readonly arrivedAt: number;
  private readonly interrupted = new AbortController();
  private readonly closed = new AbortController();
  private interruption: Interruption | undefined;
  private account: AccountId | undefined;
  private route: Route | undefined;
  private failure: RequestFailure | undefined;
  private key: KeyHash | undefined;
  /** Set as soon as account and route are known. */
  observation: RequestObservation | undefined;

  constructor(
    readonly request: RequestId,
    private readonly reply: FastifyReply,
    private readonly parts: CallRecordParts,
  ) {
    this.arrivedAt = parts.clock.now();
    void this.enforceTimeLimit();
  }

  /** Aborted when nobody waits for the answer any longer. */
  get signal(): AbortSignal {
    return this.interrupted.signal;
  }

  /** Names whose call this is; from here on it counts for the account. */
  assign(account: AccountId, route: Route): void {
    this.account = account;
    this.route = route;
    this.observation = this.parts.observer.startObservation(
      requestAttributesOf(account, route),
      this.arrivedAt,
    );
  }

  /** Ends the call when `key` is withdrawn, unless its route says otherwise. */
  bindToKey(key: KeyHash): void {
    this.key = key;
  }

  /** Looks whether the call's key still belongs to its account. */
  checkKey(configuration: Configuration): void {
    if (this.key === undefined) return;
    if (this.route?.spec.onKeyWithdrawal === 'finish-streams') return;
    if (configuration.accountOfKey.get(this.key) === this.account) return;
    this.interrupt('key-withdrawn');
  }

  /**
   * Records why the call failed. After an interruption the failure of the
   * upstream is only its echo, unless it proves that the request did not run.
   */
  fail(failure: RequestFailure): RequestFailure {
    const shown =
      this.interruption === undefined || failure.ran === 'not-run'
        ? failure
        : interruptionFailure(this.interruption);
    this.failure ??= shown;
    return shown;
  }

  /** Stops the work of the call and, soon after, its connection. */
  interrupt(interruption: Interruption): void {
    if (this.interruption !== undefined || this.closed.signal.aborted) return;
    this.interruption = interruption;
    this.interrupted.abort();
    void this.destroyLater();
  }

  /** Ends the record when the connection is done with the call. */
  close(): void {
    if (this.closed.signal.aborted) return;
    if (!this.reply.raw.writableFinished) {
      this.interrupt('caller-gone');
      this.failure ??= interruptionFailure(this.interruption ?? 'caller-gone');
    }
    this.closed.abort();
    this.report();
  }

  private async enforceTimeLimit(): Promise<void> {
    const {clock, requestMilliseconds} = this.parts;
    await clock.sleep(requestMilliseconds, this.closed.signal);
    this.interrupt('time-limit');
  }

  /** A caller that does not read must not keep its connection. */
  private async destroyLater(): Promise<void> {
    const {signal} = this.closed;
    await this.parts.clock.sleep(lastWriteMilliseconds, signal);
    if (!signal.aborted) this.reply.raw.destroy();
  }

  private report(): void {
    const {clock, log, observer} = this.parts;
    const names = {
      request: this.request,
      account: this.account ?? '',
      route: this.route?.name ?? '',
    };
    if (this.failure === undefined) {
      this.observation?.finished();
      const milliseconds = Math.round(clock.now() - this.arrivedAt);
      const status = this.reply.raw.statusCode;
      log.write('requestFinished', {...names, status, milliseconds});
      return;
    }
    if (this.observation === undefined) observer.refused(this.failure);
    else this.observation.failed(this.failure);
    const {code, ran} = this.failure;
    log.write('requestFailed', {
      ...names,
      status: httpStatusOf(code),
      code,
      ran,
    });
  }
}

/** The record of a call whose first hook has run. */
export function callRecordOf(request: FastifyRequest): CallRecord {
  if (request.callRecord === null) throw new MissingCallRecordError();
  return request.callRecord;
}

/** A handler ran without the hook that makes call records. */
export class MissingCallRecordError extends Error {
  constructor() {
    super('the call has no record');
  }
}

function interruptionFailure(interruption: Interruption): RequestFailure {
  switch (interruption) {
    case 'caller-gone':
      return {
        code: 'caller-gone',
        message: 'the caller closed the connection',
        ran: 'unknown',
      };
    case 'host-stopping':
      return {
        code: 'draining',
        message: 'the host stopped before the answer was whole',
        ran: 'unknown',
      };
    case 'key-withdrawn':
      return {
        code: 'key-withdrawn',
        message: 'the key was withdrawn before the answer was whole',
        ran: 'unknown',
      };
    case 'time-limit':
      return {
        code: 'upstream-timeout',
        message: 'the answer was not whole within the time limit',
        ran: 'unknown',
      };
  }
}
