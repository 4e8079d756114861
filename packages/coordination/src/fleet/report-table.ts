/**
 * What one host believes about all hosts. Reports are ordered by a revision
 * that only the reported host raises, so that they merge in any order; each
 * change has a number, so that a peer is sent just what it may not know.
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

  /** Changes the own status; others believe it over all they knew. */
  setOwnStatus(status: Status): void {
    this.raiseOwn(this.own.revision + 1, status);
  }

  /** Takes a report; false when something newer is known. */
  merge(report: HostReport): boolean {
    if (report.host === this.own.host) {
      this.defend(report);
      return false;
    }
    const known = this.reportOf(hostId(report.host));
    if (known !== undefined && !isNewer(report, known))
      return isSame(report, known);
    this.set(report);
    return true;
  }

  /** Notes that `host` does not answer. */
  suspect(host: HostId): void {
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

  /** Suspects that did not defend themselves in time count as dead. */
  buryOldSuspects(suspicionMilliseconds: number): void {
    const now = this.clock.now();
    for (const {report, changedAt} of [...this.entries.values()])
      if (
        report.status === Status.STATUS_SUSPECT &&
        now - changedAt >= suspicionMilliseconds
      )
        this.set({...report, status: Status.STATUS_DEAD});
  }

  /** Gives all suspects their time again, after a pause of this host. */
  renewSuspicions(): void {
    const changedAt = this.clock.now();
    for (const [host, entry] of [...this.entries])
      if (entry.report.status === Status.STATUS_SUSPECT)
        this.entries.set(host, {...entry, changedAt});
  }

  /**
   * The first `limit` reports of others that changed after the numbered change.
   */
  changesAfter(changeNumber: number, limit: number): NumberedReport[] {
    return [...this.entries.values()]
      .filter(entry => entry.changeNumber > changeNumber)
      .filter(entry => entry.report.host !== this.own.host)
      .sort((left, right) => left.changeNumber - right.changeNumber)
      .slice(0, limit);
  }

  /** A false or outdated report of this host is answered by a newer one. */
  private defend(report: HostReport): void {
    if (report.revision < this.own.revision || isSame(report, this.own)) return;
    this.raiseOwn(report.revision + 1, this.own.status);
  }

  private raiseOwn(revision: number, status: Status): void {
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

/** A report and the number of the change that brought it. */
export interface NumberedReport {
  readonly report: HostReport;
  readonly changeNumber: number;
}

function isNewer(report: HostReport, known: HostReport): boolean {
  if (report.revision !== known.revision)
    return report.revision > known.revision;
  // Which of two processes came later only the host itself can tell.
  return (
    (known.incarnation === '' || report.incarnation === known.incarnation) &&
    report.status > known.status
  );
}

function isSame(left: HostReport, right: HostReport): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.revision === right.revision &&
    left.status === right.status
  );
}
