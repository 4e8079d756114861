/** Which reports each peer is sent, so that none is lost and few go twice. */

import type {HostReport} from '../generated/messages/persimmonwick/fleet.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {ReportTable} from './report-table.js';

/** Reports in one message. */
const maximumReports = 16;

/** Reports for a peer and the number of the newest change among them. */
export interface News {
  readonly reports: HostReport[];
  readonly newestChange: number;
}

export class NewsExchange {
  /** Newest own change that each peer is known to have received. */
  private readonly sent = new Map<HostId, number>();
  /** Newest change of each peer that this host has received. */
  private readonly received = new Map<HostId, number>();

  constructor(private readonly table: ReportTable) {}

  /** Changes that `host` may not know; with what is known of itself or not. */
  newsFor(host: HostId, withItself: boolean): News {
    const sent = this.sent.get(host) ?? 0;
    const changes = this.table.changesAfter(sent, maximumReports);
    const reports = changes
      .map(change => change.report)
      .filter(report => report.host !== host);
    const itself = this.table.reportOf(host);
    if (withItself && itself !== undefined) reports.push(itself);
    return {reports, newestChange: changes.at(-1)?.changeNumber ?? sent};
  }

  /** Notes that `host` has the changes up to the numbered one. */
  confirmSent(host: HostId, changeNumber: number): void {
    const sent = this.sent.get(host) ?? 0;
    // A higher number than any was meant for the process before this one.
    if (changeNumber > sent && changeNumber <= this.table.newestChange)
      this.sent.set(host, changeNumber);
  }

  /** Number of the newest change of `host` that was received. */
  receivedFrom(host: HostId): number {
    return this.received.get(host) ?? 0;
  }

  /** Notes that this host has the sender's changes up to the numbered one. */
  confirmReceived(sender: HostReport | undefined, changeNumber: number): void {
    if (sender !== undefined)
      this.received.set(hostId(sender.host), changeNumber);
  }

  /** Merges reports; true when the sender's own one is as good as known. */
  take(
    sender: HostReport | undefined,
    reports: readonly HostReport[],
  ): boolean {
    for (const report of reports) this.table.merge(report);
    if (sender === undefined) return false;
    const host = hostId(sender.host);
    const before = this.table.reportOf(host)?.incarnation;
    // A new process knows nothing of what the old one was sent.
    if (before !== sender.incarnation) {
      this.sent.delete(host);
      this.received.delete(host);
    }
    return this.table.merge(sender);
  }
}
