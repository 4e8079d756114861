/** Set of the calls in flight, which is drained on shutdown. */

import type {
  Clock,
  Configuration,
  RequestFailure,
} from '@persimmonwick/coordination';
import type {CallRecord} from './call-record.js';

/**
 * Time for interrupted calls to close. It exceeds the time after which a call
 * record destroys the connection of an interrupted call.
 */
const interruptedCloseTimeoutMilliseconds = 3000;

/** Failure of the calls that a draining host does not begin. */
export const drainingFailure: RequestFailure = {
  code: 'draining',
  message: 'the host is stopping; send the request to another one',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

export class DrainGate {
  private readonly calls = new Set<CallRecord>();
  private readonly drainedController = new AbortController();
  private closedAt: number | undefined;

  constructor(private readonly clock: Clock) {}

  get inFlight(): number {
    return this.calls.size;
  }

  /** True once new calls are rejected. */
  get isDraining(): boolean {
    return this.closedAt !== undefined;
  }

  /** Clock time from which new calls are rejected. */
  get drainingSince(): number | undefined {
    return this.closedAt;
  }

  add(call: CallRecord): void {
    this.calls.add(call);
  }

  remove(call: CallRecord): void {
    this.calls.delete(call);
    this.abortIfDrained();
  }

  /** Interrupts the calls whose keys `configuration` no longer contains. */
  interruptCallsOfWithdrawnKeys(configuration: Configuration): void {
    for (const call of this.calls) call.interruptIfKeyWithdrawn(configuration);
  }

  /** Rejects new calls from now on. */
  startDraining(): void {
    this.closedAt ??= this.clock.now();
    this.abortIfDrained();
  }

  /**
   * Waits for the calls in flight, then interrupts the remaining ones. Returns
   * the number of interrupted calls. A call that is still being read is refused
   * unless its time limit ends before: another host can serve it from the start.
   */
  async drain(timeoutMilliseconds: number): Promise<number> {
    this.startDraining();
    const endsAt = this.clock.now() + timeoutMilliseconds;
    for (const call of this.calls) call.refuseIfLate(endsAt, drainingFailure);
    const {signal} = this.drainedController;
    if (!signal.aborted) await this.clock.sleep(timeoutMilliseconds, signal);
    const interruptedCalls = [...this.calls];
    for (const call of interruptedCalls) call.interrupt('draining');
    if (!signal.aborted)
      await this.clock.sleep(interruptedCloseTimeoutMilliseconds, signal);
    return interruptedCalls.length;
  }

  private abortIfDrained(): void {
    if (this.isDraining && this.calls.size === 0)
      this.drainedController.abort();
  }
}
