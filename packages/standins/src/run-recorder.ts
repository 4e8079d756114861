/** Records a run on real processes for the invariant checker. */

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
  Violation,
} from '@persimmonwick/coordination';
import type {FakeEngine} from './fake-engine.js';
import type {SampleFleet} from './sample-fleet.js';

type Unstamped<Event> = Event extends RunEvent ? Omit<Event, 'at'> : never;

export class RunRecorder {
  readonly events: RunEvent[] = [];
  private readonly accounts = new Map<string, string>();

  /** Records what the fakes of `fleet` see. */
  watch(fleet: SampleFleet): void {
    for (const engine of fleet.engines) {
      const upstream = upstreamId(engine.address);
      engine.observer = {
        held: (_engine, request, attempt) =>
          this.record({
            kind: 'memory-held',
            upstream,
            attempt: attemptId(attempt),
            request: requestId(request),
          }),
        freed: (_engine, attempt) =>
          this.record({
            kind: 'memory-freed',
            upstream,
            attempt: attemptId(attempt),
          }),
        ran: (_engine, request, phase, body) =>
          this.engineRan(engine, request, phase, body),
      };
    }
    fleet.service.onRun = run =>
      this.record({
        kind: 'upstream-ran',
        upstream: upstreamId(fleet.service.address),
        request: requestId(String(run.headers['x-request-id'])),
        account: accountId(String(run.headers['x-client-account'])),
        phase: 'call',
        sent: JSON.stringify(run),
      });
  }

  /** Records an event, now. */
  record(event: Unstamped<RunEvent>): void {
    this.events.push({...event, at: performance.now()} as RunEvent);
  }

  received(
    request: string,
    host: string,
    key: string,
    once?: {account: string; route: string; idempotencyKey: string} | '',
  ): void {
    this.record({
      kind: 'request-received',
      request: requestId(request),
      host: hostId(host),
      key,
      isRouteOpen: false,
      atMostOnceKey: once
        ? {
            account: accountId(once.account),
            route: routeId(once.route),
            idempotencyKey: once.idempotencyKey,
          }
        : undefined,
    });
  }

  delivered(request: string, offset: number, madeFor: string): void {
    this.record({
      kind: 'token-delivered',
      request: requestId(request),
      offset,
      madeFor: requestId(madeFor),
    });
  }

  answered(request: string, answer: CallerAnswer): void {
    this.record({
      kind: 'request-answered',
      request: requestId(request),
      answer,
    });
  }

  /** Ends the run and checks it. */
  check(bounds: InvariantBounds): Violation[] {
    this.record({kind: 'run-ended'});
    return checkInvariants(this.events, bounds);
  }

  private engineRan(
    engine: FakeEngine,
    request: string,
    phase: 'prefill' | 'decode',
    body: object,
  ): void {
    const {account} = body as {account?: string};
    if (account !== undefined) this.accounts.set(request, account);
    this.record({
      kind: 'upstream-ran',
      upstream: upstreamId(engine.address),
      request: requestId(request),
      account: accountId(account ?? this.accounts.get(request) ?? ''),
      phase,
      sent: JSON.stringify(body),
    });
  }
}
