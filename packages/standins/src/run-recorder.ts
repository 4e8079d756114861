/** Records the events of a run on real processes for the invariant checker. */

import {
  accountId,
  attemptId,
  checkInvariants,
  hostId,
  requestId,
  routeId,
  upstreamId,
} from '@persimmonwick/coordination';
import type {
  CallerAnswer,
  InvariantBounds,
  RunEvent,
  InvariantViolation,
} from '@persimmonwick/coordination';
import type {FakeEngine} from './fake-engine.js';
import type {SampleFleet} from './sample-fleet.js';

type UntimedEvent<Event> = Event extends RunEvent ? Omit<Event, 'at'> : never;

export class RunRecorder {
  readonly events: RunEvent[] = [];
  private readonly accountsByRequest = new Map<string, string>();

  /** Records the executions and the memory use of the fakes in `fleet`. */
  observe(fleet: SampleFleet): void {
    for (const engine of fleet.engines) {
      const upstream = upstreamId(engine.address);
      engine.observer = {
        memoryHeld: (_engine, request, attempt) =>
          this.record({
            kind: 'memory-held',
            upstream,
            attempt: attemptId(attempt),
            request: requestId(request),
          }),
        memoryFreed: (_engine, attempt) =>
          this.record({
            kind: 'memory-freed',
            upstream,
            attempt: attemptId(attempt),
          }),
        executed: (_engine, request, phase, body) =>
          this.recordEngineExecution(engine, request, phase, body),
      };
    }
    fleet.service.onExecution = call =>
      this.record({
        kind: 'upstream-ran',
        upstream: upstreamId(fleet.service.address),
        request: requestId(String(call.headers['x-request-id'])),
        account: accountId(String(call.headers['x-client-account'])),
        phase: 'call',
        sent: JSON.stringify(call),
      });
  }

  /** Records an event with the current time. */
  record(event: UntimedEvent<RunEvent>): void {
    this.events.push({...event, at: performance.now()} as RunEvent);
  }

  recordReceived(
    request: string,
    host: string,
    key: string,
    atMostOnceKey?:
      {account: string; route: string; idempotencyKey: string} | '',
  ): void {
    this.record({
      kind: 'request-received',
      request: requestId(request),
      host: hostId(host),
      key,
      isKeyOptional: false,
      atMostOnceKey: atMostOnceKey
        ? {
            account: accountId(atMostOnceKey.account),
            route: routeId(atMostOnceKey.route),
            idempotencyKey: atMostOnceKey.idempotencyKey,
          }
        : undefined,
    });
  }

  recordDelivered(
    request: string,
    offset: number,
    sourceRequest: string,
  ): void {
    this.record({
      kind: 'token-delivered',
      request: requestId(request),
      offset,
      madeFor: requestId(sourceRequest),
    });
  }

  recordAnswered(request: string, answer: CallerAnswer): void {
    this.record({
      kind: 'request-answered',
      request: requestId(request),
      answer,
    });
  }

  /** Records the end of the run and returns the violated invariants. */
  check(bounds: InvariantBounds): InvariantViolation[] {
    this.record({kind: 'run-ended'});
    return checkInvariants(this.events, bounds);
  }

  private recordEngineExecution(
    engine: FakeEngine,
    request: string,
    phase: 'prefill' | 'decode',
    body: object,
  ): void {
    const {account} = body as {account?: string};
    if (account !== undefined) this.accountsByRequest.set(request, account);
    this.record({
      kind: 'upstream-ran',
      upstream: upstreamId(engine.address),
      request: requestId(request),
      account: accountId(account ?? this.accountsByRequest.get(request) ?? ''),
      phase,
      sent: JSON.stringify(body),
    });
  }
}
