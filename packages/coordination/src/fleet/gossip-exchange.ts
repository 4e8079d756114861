/**
 * Gossip of status reports. Tracks which changes each peer has acknowledged, so
 * that every change is delivered and few are sent twice.
 */

import type {HostReport} from '../generated/messages/persimmonwick/fleet.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {ReportTable} from './report-table.js';

/** Maximum number of changed reports in one message. */
const maximumReports = 16;

/** The reports for a peer and the number of the newest change among them. */
export interface GossipUpdate {
  readonly reports: HostReport[];
  readonly newestChange: number;
}

export class GossipExchange {
  /** Newest change of this host that each peer has acknowledged. */
  private readonly acknowledged = new Map<HostId, number>();
  /** Newest change of each peer that this host has received. */
  private readonly received = new Map<HostId, number>();

  constructor(private readonly table: ReportTable) {}

  /**
   * Returns the changes that `host` has not acknowledged. `includesHost` adds
   * the report about the host itself, which lets the host refute it.
   */
  updateFor(host: HostId, includesHost: boolean): GossipUpdate {
    const acknowledged = this.acknowledged.get(host) ?? 0;
    const changes = this.table.changesAfter(acknowledged, maximumReports);
    const reports = changes
      .map(change => change.report)
      .filter(report => report.host !== host);
    const hostReport = this.table.reportOf(host);
    if (includesHost && hostReport !== undefined) reports.push(hostReport);
    return {
      reports,
      newestChange: changes.at(-1)?.changeNumber ?? acknowledged,
    };
  }

  /** Records that `host` has received the changes up to `changeNumber`. */
  recordAcknowledgement(host: HostId, changeNumber: number): void {
    const acknowledged = this.acknowledged.get(host) ?? 0;
    // A number that this incarnation has not issued yet acknowledges changes of
    // the previous incarnation of this host.
    if (changeNumber > acknowledged && changeNumber <= this.table.newestChange)
      this.acknowledged.set(host, changeNumber);
  }

  /** Returns the number of the newest change received from `host`. */
  newestReceivedFrom(host: HostId): number {
    return this.received.get(host) ?? 0;
  }

  /** Records the receipt of the changes of `sender` up to `changeNumber`. */
  recordReceipt(sender: HostReport | undefined, changeNumber: number): void {
    if (sender !== undefined)
      this.received.set(hostId(sender.host), changeNumber);
  }

  /**
   * Merges received reports. Returns whether the table now holds exactly the
   * report of the sender about itself.
   */
  mergeReports(
    sender: HostReport | undefined,
    reports: readonly HostReport[],
  ): boolean {
    for (const report of reports) this.table.merge(report);
    if (sender === undefined) return false;
    const host = hostId(sender.host);
    const before = this.table.reportOf(host)?.incarnation;
    // A new incarnation has not received the changes sent to the previous one.
    if (before !== sender.incarnation) {
      this.acknowledged.delete(host);
      this.received.delete(host);
    }
    return this.table.merge(sender);
  }
}
