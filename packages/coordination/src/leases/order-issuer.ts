/** Sends orders to engines under a lease that one host holds at a time. */

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
import {leaseRenewalIntervalMilliseconds} from './lease-timing.js';

/** State that an engine reports before or after an order. */
export interface EngineSnapshot {
  readonly load: LoadReport;
  readonly running: readonly RunningAttempt[];
}

/** Result of an order that the engine accepted. */
export interface OrderReport {
  readonly fencingToken: bigint;
  readonly before: EngineSnapshot;
  readonly after: EngineSnapshot;
}

/**
 * Reason why there is no report on an order. With `upstream`, the order may
 * have been carried out.
 */
export type OrderRefusal =
  | {readonly kind: 'no-lease'; readonly refusal: LeaseRefusal}
  /** The lease expired before the order was sent. */
  | {readonly kind: 'lease-lost'}
  | {readonly kind: 'upstream'; readonly error: UpstreamError}
  | {readonly kind: 'cancelled'};

export interface OrderIssuerParts {
  readonly clock: Clock;
  readonly leases: LeaseManager;
  /**
   * Longest time from the check of a lease until an upstream has carried out
   * the order.
   */
  readonly messageLifetimeMilliseconds: number;
  /**
   * Reads the highest fencing token that an upstream has accepted; undefined if
   * the upstream reports none.
   */
  readonly readHighestFencingToken?: (
    engine: Engine,
    signal: AbortSignal,
  ) => Promise<bigint | undefined>;
}

export class OrderIssuer {
  private readonly heldLeases = new Map<string, Lease>();
  /** Last requested order of each engine; the next one waits for it. */
  private readonly lastOrders = new Map<string, Promise<unknown>>();

  constructor(private readonly parts: OrderIssuerParts) {}

  /**
   * Sends `order` once. An upstream that ignores fencing tokens receives no
   * order until every order of the previous holder has expired.
   */
  async issue(
    engine: Engine,
    checksFencing: boolean,
    order: EngineOrder,
    signal: AbortSignal,
  ): Promise<Result<OrderReport, OrderRefusal>> {
    const previous = this.lastOrders.get(engine.id);
    const current = Promise.resolve(previous).then(() =>
      this.issueNext(engine, checksFencing, order, signal),
    );
    this.lastOrders.set(engine.id, current);
    const result = await current;
    if (this.lastOrders.get(engine.id) === current)
      this.lastOrders.delete(engine.id);
    return result;
  }

  private async issueNext(
    engine: Engine,
    checksFencing: boolean,
    order: EngineOrder,
    signal: AbortSignal,
  ): Promise<Result<OrderReport, OrderRefusal>> {
    if (signal.aborted) return Result.err({kind: 'cancelled'});
    const lease = await this.renewOrAcquireLease(engine, signal);
    if (lease.isErr) return Result.err(lease.error);
    if (!checksFencing) {
      const isLeaseValid = await this.waitForPreviousOrders(
        lease.value,
        signal,
      );
      if (signal.aborted) return Result.err({kind: 'cancelled'});
      if (!isLeaseValid) return Result.err({kind: 'lease-lost'});
    }
    const before = await readState(engine, signal);
    if (before.isErr) return Result.err(before.error);
    const current = this.heldLeases.get(engine.id);
    if (current === undefined || !this.parts.leases.isValid(current))
      return Result.err({kind: 'lease-lost'});
    const {fencingToken} = current;
    const orderResult = await engine.order(order, fencingToken, signal);
    if (orderResult.isErr)
      return Result.err({kind: 'upstream', error: orderResult.error});
    const after = await readState(engine, signal);
    if (after.isErr) return Result.err(after.error);
    return Result.ok({
      fencingToken,
      before: before.value,
      after: after.value,
    });
  }

  /**
   * Releases all leases. Orders may still be in transit; the next holder waits
   * for them if the engine ignores fencing tokens.
   */
  async close(): Promise<void> {
    const leases = [...this.heldLeases.values()];
    this.heldLeases.clear();
    await Promise.all(
      leases.map(({resource, fencingToken}) =>
        this.parts.leases.release(resource, fencingToken),
      ),
    );
  }

  /** Renews the held lease or acquires one with a higher fencing token. */
  private async renewOrAcquireLease(
    engine: Engine,
    signal: AbortSignal,
  ): Promise<Result<Lease, OrderRefusal>> {
    const {leases} = this.parts;
    const reportedToken = await this.parts.readHighestFencingToken?.(
      engine,
      signal,
    );
    if (reportedToken !== undefined)
      leases.recordFencingToken(engine.id, reportedToken);
    const heldLease = this.heldLeases.get(engine.id);
    const isOutdated =
      heldLease !== undefined &&
      reportedToken !== undefined &&
      reportedToken > heldLease.fencingToken;
    if (heldLease !== undefined && !isOutdated && leases.isValid(heldLease)) {
      const renewed = await leases.renew(heldLease);
      if (renewed.isOk) return this.storeLease(renewed.value);
    }
    this.heldLeases.delete(engine.id);
    const acquired = await leases.acquire(engine.id);
    if (acquired.isOk) return this.storeLease(acquired.value);
    return Result.err({kind: 'no-lease', refusal: acquired.error});
  }

  private storeLease(lease: Lease): Result<Lease, OrderRefusal> {
    this.heldLeases.set(lease.resource, lease);
    return Result.ok(lease);
  }

  /**
   * Waits until orders of earlier holders have expired; returns false if the
   * lease is lost.
   */
  private async waitForPreviousOrders(
    lease: Lease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, leases} = this.parts;
    const previousOrdersExpireAt =
      lease.acquiredAt + this.messageLifetimeWithDriftMilliseconds;
    let current = lease;
    while (clock.now() < previousOrdersExpireAt && !signal.aborted) {
      const remainingMilliseconds = previousOrdersExpireAt - clock.now();
      await clock.sleep(
        Math.min(remainingMilliseconds, leaseRenewalIntervalMilliseconds),
        signal,
      );
      const renewed = await leases.renew(current);
      if (renewed.isErr && !leases.isValid(current)) return false;
      current = renewed.unwrapOr(current);
      this.heldLeases.set(lease.resource, current);
    }
    return leases.isValid(current);
  }

  private get messageLifetimeWithDriftMilliseconds(): number {
    const driftFactor = 1 + 2 * maximumClockDriftFraction;
    return this.parts.messageLifetimeMilliseconds * driftFactor;
  }
}

async function readState(
  engine: Engine,
  signal: AbortSignal,
): Promise<Result<EngineSnapshot, OrderRefusal>> {
  const [load, running] = await Promise.all([
    engine.load(signal),
    engine.running(signal),
  ]);
  if (load.isErr) return Result.err({kind: 'upstream', error: load.error});
  if (running.isErr)
    return Result.err({kind: 'upstream', error: running.error});
  return Result.ok({load: load.value, running: running.value});
}
