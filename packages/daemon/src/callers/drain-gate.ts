/** Tracks the calls in flight and drains them on shutdown. */

import type {Clock, Configuration} from '@persimmonwick/coordination';
import type {CallRecord} from './call-record.js';

const finalResponseTimeoutMilliseconds = 3000;

export class DrainGate {
  private readonly calls = new Set<CallRecord>();
  private readonly drained = new AbortController();
  private hasStartedDraining = false;

  constructor(private readonly clock: Clock) {}

  get inFlight(): number {
    return this.calls.size;
  }

  /** True once new calls are rejected. */
  get isDraining(): boolean {
    return this.hasStartedDraining;
  }

  enter(call: CallRecord): void {
    this.calls.add(call);
  }

  leave(call: CallRecord): void {
    this.calls.delete(call);
    this.checkDrained();
  }

  /** Interrupts the calls whose keys `configuration` no longer contains. */
  interruptCallsOfWithdrawnKeys(configuration: Configuration): void {
    for (const call of this.calls) call.interruptIfKeyWithdrawn(configuration);
  }

  /** Rejects new calls from now on. */
  startDraining(): void {
    this.hasStartedDraining = true;
    this.checkDrained();
  }

  /**
   * Waits for the calls in flight, then interrupts the remaining ones. Returns
   * the number of interrupted calls.
   */
  async drain(timeoutMilliseconds: number): Promise<number> {
    this.startDraining();
    const {signal} = this.drained;
    if (!signal.aborted) await this.clock.sleep(timeoutMilliseconds, signal);
    const interruptedCalls = [...this.calls];
    for (const call of interruptedCalls) call.interrupt('host-stopping');
    if (!signal.aborted)
      await this.clock.sleep(finalResponseTimeoutMilliseconds, signal);
    return interruptedCalls.length;
  }

  private checkDrained(): void {
    if (this.hasStartedDraining && this.calls.size === 0) this.drained.abort();
  }
}
