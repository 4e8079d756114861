/**
 * Log entries for changes of other hosts. After a cut or a restart of the fleet a
 * host sees as many changes as there are hosts; of such a wave only the first are
 * logged one by one, and the rest as counts.
 */

import type {Clock, FleetChange} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';

/** Changes that are logged one by one in each interval. */
const singleChangesPerInterval = 8;

const intervalMilliseconds = 2000;

export class FleetChangeLog {
  private changesInInterval = 0;
  private readonly omittedCounts = new Map<FleetChange['kind'], number>();
  private readonly closing = new AbortController();

  constructor(
    private readonly log: EventLog,
    private readonly clock: Clock,
    private readonly hostCount: () => number,
  ) {}

  record({kind, host}: FleetChange): void {
    if (this.changesInInterval === 0) this.endIntervalLater();
    this.changesInInterval += 1;
    if (this.changesInInterval <= singleChangesPerInterval) {
      const hosts = this.hostCount();
      this.log.write('hostChanged', {peer: host, change: kind, hosts});
      return;
    }
    this.omittedCounts.set(kind, (this.omittedCounts.get(kind) ?? 0) + 1);
  }

  /** Writes the counts that are not logged yet. */
  close(): void {
    this.closing.abort();
    this.endInterval();
  }

  private endIntervalLater(): void {
    const {signal} = this.closing;
    void this.clock.sleep(intervalMilliseconds, signal).then(() => {
      if (!signal.aborted) this.endInterval();
    });
  }

  private endInterval(): void {
    for (const [change, count] of this.omittedCounts)
      this.log.write('hostsChanged', {change, count, hosts: this.hostCount()});
    this.omittedCounts.clear();
    this.changesInInterval = 0;
  }
}
