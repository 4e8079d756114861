/**
 * Remembers which processes of upstreams are leaving or gone. A process never
 * returns from leaving, whatever a later list says: the list may be a copy from
 * before the process left, or lag behind what the process itself announced.
 */

import type {UpstreamDocument} from '../generated/documents.js';

/** Departures that are remembered; beyond it the oldest are forgotten. */
const maximumDepartures = 4096;

interface Departure {
  readonly address: string;
  /** Undefined if the upstream does not publish its start. */
  readonly startedAt: number | undefined;
  /** Reports of the process when it was last listed. */
  readonly reports: number;
  readonly isLeaving: boolean;
  readonly isGone: boolean;
}

export class UpstreamLifetimes {
  /** By name, in the order of the departures. */
  private readonly departures = new Map<string, Departure>();

  /** Records that the process of `document` is leaving. */
  recordLeaving(document: UpstreamDocument): void {
    const isGone = this.departures.get(document.name)?.isGone ?? false;
    this.record(document, {isLeaving: true, isGone});
  }

  /** Records that the process of `document` is no longer listed. */
  recordGone(document: UpstreamDocument): void {
    // Without a start time, a later process of the same name looks the same.
    if (document.spec.startedAt === undefined) {
      this.departures.delete(document.name);
      return;
    }
    const isLeaving = document.spec.state === 'leaving';
    this.record(document, {isLeaving, isGone: true});
  }

  /**
   * Returns the document to use for a listed one: with the state `leaving` if
   * its process is leaving; undefined if the entry is a copy of a process that
   * is gone.
   */
  admit(document: UpstreamDocument): UpstreamDocument | undefined {
    const departure = this.departures.get(document.name);
    if (departure === undefined) return document;
    const {startedAt, address, reports = Infinity} = document.spec;
    const isSameProcess =
      address === departure.address &&
      startedAt === departure.startedAt &&
      // Reports are counted anew by a process that publishes no start time.
      (startedAt !== undefined || reports >= departure.reports);
    if (!isSameProcess) {
      const isEarlier = (startedAt ?? Infinity) < (departure.startedAt ?? 0);
      if (!isEarlier) this.departures.delete(document.name);
      return isEarlier ? undefined : document;
    }
    // A process that is alive has reported again since it was last listed.
    if (departure.isGone && reports <= departure.reports) return undefined;
    return departure.isLeaving ? withStateLeaving(document) : document;
  }

  private record(
    document: UpstreamDocument,
    state: Pick<Departure, 'isLeaving' | 'isGone'>,
  ): void {
    const {address, startedAt, reports = 0} = document.spec;
    this.departures.delete(document.name);
    this.departures.set(document.name, {address, startedAt, reports, ...state});
    const [oldest] = this.departures.keys();
    if (this.departures.size > maximumDepartures && oldest !== undefined)
      this.departures.delete(oldest);
  }
}

function withStateLeaving(document: UpstreamDocument): UpstreamDocument {
  return {...document, spec: {...document.spec, state: 'leaving'}};
}
