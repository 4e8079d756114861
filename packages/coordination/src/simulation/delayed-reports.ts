/** Load reports that show an earlier state. */

import type {LoadReport} from '../upstreams/engine.js';

interface PastReport {
  readonly at: number;
  readonly report: LoadReport;
}

export class DelayedReports {
  private readonly reports: PastReport[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /** Takes the present report and gives the newest that has come of age. */
  delay(report: LoadReport, now: number): LoadReport {
    this.reports.push({at: now, report});
    const isOfAge = (past: PastReport | undefined) =>
      past !== undefined && past.at <= now - this.lagMilliseconds;
    while (isOfAge(this.reports[1])) this.reports.shift();
    const first = this.reports[0]!;
    return {...first.report, ageMilliseconds: now - first.at};
  }
}
