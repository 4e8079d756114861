/**
 * Frees reservations and KV caches that are not used. An upstream that asked for
 * a pause or named a limit gets few of these requests, and one in an evacuated
 * failure domain none; what they would free expires there.
 */

import type {UpstreamDocument} from '../generated/documents.js';
import type {CacheSource, PassthroughTransport} from './call.js';
import type {EngineReservation} from './reservation-queue.js';
import type {UpstreamRequestLimits} from './upstream-request-limits.js';
import type {UpstreamTable} from './upstream-table.js';

export class EngineReleases {
  constructor(
    private readonly transport: PassthroughTransport,
    private readonly upstreams: UpstreamTable,
    private readonly requestLimits: UpstreamRequestLimits,
  ) {}

  releaseCache(source: CacheSource): void {
    if (this.acquireRequest(source.upstream))
      void this.transport.releaseCache(source);
  }

  /** Releases a reservation and its load. No run has been sent with it. */
  releaseReservation(reservation: EngineReservation): void {
    // The request of the run was acquired together with the reservation.
    this.requestLimits.refund(reservation.upstream.document.name);
    this.releaseUsedReservation(reservation);
  }

  /** Releases a reservation and its load after a run that failed. */
  releaseUsedReservation(reservation: EngineReservation): void {
    const {upstream, reservationId, load} = reservation;
    load.release();
    if (reservationId === undefined) return;
    if (this.acquireRequest(upstream.document))
      void this.transport.releaseReservation(upstream.document, reservationId);
  }

  private acquireRequest(upstream: UpstreamDocument): boolean {
    return (
      this.requestLimits.canSend(upstream.name, 1) &&
      this.upstreams.acquireRequest(upstream) &&
      this.requestLimits.tryAcquire(upstream.name)
    );
  }
}
