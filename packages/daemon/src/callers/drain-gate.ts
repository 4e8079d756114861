/** Counts the calls in flight and lets no new ones in while the host drains. */

import type {Clock, Configuration} from '@persimmonwick/coordination';
import type {CallRecord} from './call-record.js';

const lastAnswerMilliseconds = 3000;

export class DrainGate {
  private readonly calls = new Set<CallRecord>();
  private readonly emptied = new AbortController();
  private isClosed = false;

  constructor(private readonly clock: Clock) {}

  get inFlight(): number {
    return this.calls.size;
  }

  /** True once no new call is taken. */
  get isDraining(): boolean {
    return this.isClosed;
  }

  enter(call: CallRecord): void {
    this.calls.add(call);
  }

  leave(call: CallRecord): void {
    this.calls.delete(call);
    this.checkEmptied();
  }

  /** Ends the calls whose keys `configuration` no longer holds. */
  interruptCallsOfWithdrawnKeys(configuration: Configuration): void {
    for (const call of this.calls) call.checkKey(configuration);
  }

  /** Refuses new calls from now on. */
  startDraining(): void {
    this.isClosed = true;
    this.checkEmptied();
  }

  /**
   * Waits for the calls in flight, then interrupts those that are left.
   * Returns how many were cut.
   */
  async drain(timeoutMilliseconds: number): Promise<number> {
    this.startDraining();
    const {signal} = this.emptied;
    if (!signal.aborted) await this.clock.sleep(timeoutMilliseconds, signal);
    const cut = [...this.calls];
    for (const call of cut) call.interrupt('host-stopping');
    if (!signal.aborted) await this.clock.sleep(lastAnswerMilliseconds, signal);
    return cut.length;
  }

  private checkEmptied(): void {
    if (this.isClosed && this.calls.size === 0) this.emptied.abort();
  }
}
