/** Delays the load reports of an engine by a fixed lag. */

import type {LoadReport} from '../upstreams/engine.js';

interface TimestampedReport {
  readonly at: number;
  readonly report: LoadReport;
}

export class DelayedReports {
  private readonly reports: TimestampedReport[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /**
   * Records the current report and returns the newest recorded one that is at
   * least as old as the lag, or the oldest one if there is none.
   */
  recordAndReadDelayed(report: LoadReport, now: number): LoadReport {
    this.reports.push({at: now, report});
    const isOldEnough = (timestamped: TimestampedReport | undefined) =>
      timestamped !== undefined && timestamped.at <= now - this.lagMilliseconds;
    while (isOldEnough(this.reports[1])) this.reports.shift();
    const visible = this.reports[0]!;
    return {...visible.report, ageMilliseconds: now - visible.at};
  }
}
