/** Sends orders to engines under a lease, one holder at a time. */

import {Result} from 'true-myth';
import {maximumClockDriftFraction} from '../claims/claim-timing.js';
import type {Clock} from '../clock.js';
import type {
  Engine,
  EngineOrder,
  LoadReport,
  RunningAttempt,
  UpstreamError,
} from '../upstreams/engine.js';
import type {Lease, LeaseManager, LeaseRefusal} from './lease-manager.js';
import {leaseRenewalMilliseconds} from './lease-timing.js';

/** What an engine says about itself around an order. */
export interface EngineState {
  readonly load: LoadReport;
  readonly running: readonly RunningAttempt[];
}

/** An order that the engine took. */
export interface OrderReport {
  readonly fencingToken: bigint;
  readonly before: EngineState;
  readonly after: EngineState;
}

/** Why an order was not, or perhaps not, carried out. */
export type OrderRefusal =
  | {readonly kind: 'no-lease'; readonly refusal: LeaseRefusal}
  /** The lease ran out before the order was sent. */
  | {readonly kind: 'lease-lost'}
  | {readonly kind: 'upstream'; readonly error: UpstreamError}
  | {readonly kind: 'cancelled'};

export interface OrderIssuerParts {
  readonly clock: Clock;
  readonly leases: LeaseManager;
  /** Longest life of an order on its way; see the operators' page. */
  readonly messageLifetimeMilliseconds: number;
  /** Highest number that an upstream has obeyed, where it reports one. */
  readonly reportedFencingToken?: (
    engine: Engine,
    signal: AbortSignal,
  ) => Promise<bigint | undefined>;
}

export class OrderIssuer {
  private readonly held = new Map<string, Lease>();
  /** The last order asked for, by engine: each waits for the one before. */
  private readonly last = new Map<string, Promise<unknown>>();

  constructor(private readonly parts: OrderIssuerParts) {}

  /**
   * Sends `order` once. An upstream that ignores fencing numbers is sent
   * nothing until every order of the previous holder has run out.
   */
  async issue(
    engine: Engine,
    checksFencing: boolean,
    order: EngineOrder,
    signal: AbortSignal,
  ): Promise<Result<OrderReport, OrderRefusal>> {
    const previous = this.last.get(engine.id);
    const current = Promise.resolve(previous).then(() =>
      this.issueNext(engine, checksFencing, order, signal),
    );
    this.last.set(engine.id, current);
    const result = await current;
    if (this.last.get(engine.id) === current) this.last.delete(engine.id);
    return result;
  }

  private async issueNext(
    engine: Engine,
    checksFencing: boolean,
    order: EngineOrder,
    signal: AbortSignal,
  ): Promise<Result<OrderReport, OrderRefusal>> {
    if (signal.aborted) return Result.err({kind: 'cancelled'});
    const lease = await this.leaseOf(engine, signal);
    if (lease.isErr) return Result.err(lease.error);
    if (!checksFencing) {
      const isKept = await this.waitForOldOrders(lease.value, signal);
      if (signal.aborted) return Result.err({kind: 'cancelled'});
      if (!isKept) return Result.err({kind: 'lease-lost'});
    }
    const before = await readState(engine, signal);
    if (before.isErr) return Result.err(before.error);
    const current = this.held.get(engine.id);
    if (current === undefined || !this.parts.leases.isValid(current))
      return Result.err({kind: 'lease-lost'});
    const {fencingToken} = current;
    const sent = await engine.order(order, fencingToken, signal);
    if (sent.isErr) return Result.err({kind: 'upstream', error: sent.error});
    const after = await readState(engine, signal);
    if (after.isErr) return Result.err(after.error);
    return Result.ok({
      fencingToken,
      before: before.value,
      after: after.value,
    });
  }

  /**
   * Releases every lease; the next holder waits for orders that are still on
   * their way.
   */
  async close(): Promise<void> {
    const leases = [...this.held.values()];
    this.held.clear();
    await Promise.all(
      leases.map(({resource, fencingToken}) =>
        this.parts.leases.release(resource, fencingToken),
      ),
    );
  }

  /** The lease in hand, renewed, or a new one with a higher number. */
  private async leaseOf(
    engine: Engine,
    signal: AbortSignal,
  ): Promise<Result<Lease, OrderRefusal>> {
    const {leases} = this.parts;
    const reported = await this.parts.reportedFencingToken?.(engine, signal);
    if (reported !== undefined) leases.recordFencingToken(engine.id, reported);
    const held = this.held.get(engine.id);
    const isOutdated =
      held !== undefined &&
      reported !== undefined &&
      reported > held.fencingToken;
    if (held !== undefined && !isOutdated && leases.isValid(held)) {
      const renewed = await leases.renew(held);
      if (renewed.isOk) return this.keep(renewed.value);
    }
    this.held.delete(engine.id);
    const acquired = await leases.acquire(engine.id);
    if (acquired.isOk) return this.keep(acquired.value);
    return Result.err({kind: 'no-lease', refusal: acquired.error});
  }

  private keep(lease: Lease): Result<Lease, OrderRefusal> {
    this.held.set(lease.resource, lease);
    return Result.ok(lease);
  }

  /** Waits out the orders of earlier holders; false when the lease was lost. */
  private async waitForOldOrders(
    lease: Lease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, leases} = this.parts;
    const quietAt = lease.acquiredAt + this.quietMilliseconds;
    let current = lease;
    while (clock.now() < quietAt && !signal.aborted) {
      const left = quietAt - clock.now();
      await clock.sleep(Math.min(left, leaseRenewalMilliseconds), signal);
      const renewed = await leases.renew(current);
      if (renewed.isErr && !leases.isValid(current)) return false;
      current = renewed.unwrapOr(current);
      this.held.set(lease.resource, current);
    }
    return leases.isValid(current);
  }

  private get quietMilliseconds(): number {
    const drift = 1 + 2 * maximumClockDriftFraction;
    return this.parts.messageLifetimeMilliseconds * drift;
  }
}

async function readState(
  engine: Engine,
  signal: AbortSignal,
): Promise<Result<EngineState, OrderRefusal>> {
  const [load, running] = await Promise.all([
    engine.load(signal),
    engine.running(signal),
  ]);
  if (load.isErr) return Result.err({kind: 'upstream', error: load.error});
  if (running.isErr)
    return Result.err({kind: 'upstream', error: running.error});
  return Result.ok({load: load.value, running: running.value});
}
