/**
 * Begins the calls that were read, in turns of the event loop between which all input is
 * read.
 */

import {
  ProcessorQueue,
  cancellationFailureOf,
} from '@persimmonwick/coordination';
import type {
  CallDecision,
  Clock,
  ProcessorTime,
  RandomSource,
  ReadCall,
  RequestFailure,
} from '@persimmonwick/coordination';
import type {CallReadMetrics} from './call-read-metrics.js';

export interface CallIntakeParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly processorTime: ProcessorTime;
  readonly reads: CallReadMetrics;
}

interface WaitingCall extends ReadCall {
  readonly settle: (failure: RequestFailure | undefined) => void;
}

export class CallIntake {
  private readonly queue: ProcessorQueue<WaitingCall>;
  private isTurnWatched = false;

  constructor(private readonly parts: CallIntakeParts) {
    this.queue = new ProcessorQueue(() => parts.random.next());
  }

  /**
   * Resolves with undefined when `call` may begin, or with why it may not. `signal` is
   * aborted when it is cancelled.
   */
  enter(
    call: ReadCall,
    signal: AbortSignal,
  ): Promise<RequestFailure | undefined> {
    return new Promise(resolve => {
      const {clock} = this.parts;
      const onAbort = () => {
        this.queue.remove(waiting, clock.now());
        resolve(cancellationFailureOf(signal, 'not-run'));
      };
      const waiting: WaitingCall = {
        ...call,
        settle: failure => {
          signal.removeEventListener('abort', onAbort);
          resolve(failure);
        },
      };
      if (signal.aborted) return onAbort();
      this.watchTurn();
      const decision = this.queue.enter(waiting, clock.now());
      if (decision.kind === 'wait') signal.addEventListener('abort', onAbort);
      else this.settle(waiting, decision);
    });
  }

  private settle(
    call: WaitingCall,
    decision: Exclude<CallDecision, {kind: 'wait'}>,
  ): void {
    const {clock, processorTime, reads} = this.parts;
    const now = clock.now();
    const waited = now - call.arrivedAt;
    switch (decision.kind) {
      case 'begin':
        if (processorTime.recordBegin(waited, now))
          reads.recordLateCall('begun');
        return call.settle(undefined);
      case 'refuse':
        processorTime.recordRefusal(waited, now);
        reads.recordLateCall(decision.reason);
        return call.settle({
          code: 'processor-short',
          message: 'the host has too little processor time for the request',
          ran: 'not-run',
          retryAfterMilliseconds: decision.retryAfterMilliseconds,
        });
    }
  }

  /** Ends the present turn behind all of its reads, and those after it while calls wait. */
  private watchTurn(): void {
    if (this.isTurnWatched) return;
    this.isTurnWatched = true;
    setImmediate(() => {
      this.isTurnWatched = false;
      const decided = this.queue.endTurn(this.parts.clock.now());
      if (this.queue.size > 0) this.watchTurn();
      for (const {call, decision} of decided) this.settle(call, decision);
    });
  }
}
