/**
 * The status reports about all hosts, as merged by one host. The report with
 * the higher revision wins, then the one with the higher status: live < leaving
 * < suspect < dead. Only the reported host increments its revision, so reports
 * can be merged in any order. Changes are numbered, so a peer is sent only
 * unacknowledged ones.
 */

import type {Clock} from '../clock.js';
import {HostReport_Status as Status} from '../generated/messages/persimmonwick/fleet.js';
import type {HostReport} from '../generated/messages/persimmonwick/fleet.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {PeerIdentity} from '../peers/transport.js';

interface Entry {
  readonly report: HostReport;
  readonly changeNumber: number;
  readonly changedAt: number;
}

export class ReportTable {
  private readonly entries = new Map<HostId, Entry>();
  private changeNumber = 0;
  private own: HostReport;

  constructor(
    self: PeerIdentity,
    private readonly clock: Clock,
  ) {
    this.own = {
      host: self.host,
      incarnation: self.incarnation,
      revision: 0,
      status: Status.STATUS_LIVE,
    };
    this.set(this.own);
  }

  /** The report of this host about itself. */
  get ownReport(): HostReport {
    return this.own;
  }

  get newestChange(): number {
    return this.changeNumber;
  }

  reportOf(host: HostId): HostReport | undefined {
    return this.entries.get(host)?.report;
  }

  get reports(): HostReport[] {
    return [...this.entries.values()].map(entry => entry.report);
  }

  /**
   * Changes the status of this host. The new revision overrides old reports.
   */
  setOwnStatus(status: Status): void {
    this.updateOwnReport(this.own.revision + 1, status);
  }

  /**
   * Merges a report. Returns whether the table now holds exactly this report;
   * always false for reports about this host.
   */
  merge(report: HostReport): boolean {
    if (report.host === this.own.host) {
      this.refute(report);
      return false;
    }
    const known = this.reportOf(hostId(report.host));
    if (known !== undefined && !supersedes(report, known))
      return isSameReport(report, known);
    this.set(report);
    return true;
  }

  /** Marks `host` as suspect because it did not answer. */
  markSuspect(host: HostId): void {
    const known = this.reportOf(host);
    const report = known ?? {
      host,
      incarnation: '',
      revision: 0,
      status: Status.STATUS_LIVE,
    };
    if (report.status < Status.STATUS_SUSPECT)
      this.set({...report, status: Status.STATUS_SUSPECT});
  }

  /** Marks hosts dead that have not refuted a suspicion in time. */
  expireSuspicions(timeoutMilliseconds: number): void {
    const now = this.clock.now();
    for (const {report, changedAt} of [...this.entries.values()])
      if (
        report.status === Status.STATUS_SUSPECT &&
        now - changedAt >= timeoutMilliseconds
      )
        this.set({...report, status: Status.STATUS_DEAD});
  }

  /** Restarts the timeouts of all suspicions, after a pause of this host. */
  restartSuspicionTimeouts(): void {
    const changedAt = this.clock.now();
    for (const [host, entry] of [...this.entries])
      if (entry.report.status === Status.STATUS_SUSPECT)
        this.entries.set(host, {...entry, changedAt});
  }

  /**
   * Returns the first `limit` reports of other hosts that changed after
   * `changeNumber`.
   */
  changesAfter(changeNumber: number, limit: number): NumberedReport[] {
    return [...this.entries.values()]
      .filter(entry => entry.changeNumber > changeNumber)
      .filter(entry => entry.report.host !== this.own.host)
      .sort((left, right) => left.changeNumber - right.changeNumber)
      .slice(0, limit);
  }

  /** Refutes a wrong or outdated report about this host by a newer revision. */
  private refute(report: HostReport): void {
    if (report.revision < this.own.revision || isSameReport(report, this.own))
      return;
    this.updateOwnReport(report.revision + 1, this.own.status);
  }

  private updateOwnReport(revision: number, status: Status): void {
    this.own = {...this.own, revision, status};
    this.set(this.own);
  }

  private set(report: HostReport): void {
    this.changeNumber += 1;
    this.entries.set(hostId(report.host), {
      report,
      changeNumber: this.changeNumber,
      changedAt: this.clock.now(),
    });
  }
}

/** A report and the number of its latest change. */
export interface NumberedReport {
  readonly report: HostReport;
  readonly changeNumber: number;
}

function supersedes(report: HostReport, known: HostReport): boolean {
  if (report.revision !== known.revision)
    return report.revision > known.revision;
  // Incarnations have no order, so a report about another incarnation needs a
  // higher revision.
  return (
    (known.incarnation === '' || report.incarnation === known.incarnation) &&
    report.status > known.status
  );
}

function isSameReport(left: HostReport, right: HostReport): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.revision === right.revision &&
    left.status === right.status
  );
}
