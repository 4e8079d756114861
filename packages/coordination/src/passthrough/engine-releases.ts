/**
 * Frees reservations and KV caches that are not used. An upstream that asked for
 * a pause gets few of these requests; what they would free expires there.
 */

import type {CacheSource, PassthroughTransport} from './call.js';
import type {EngineReservation} from './reservation-queue.js';
import type {UpstreamTable} from './upstream-table.js';

export class EngineReleases {
  constructor(
    private readonly transport: PassthroughTransport,
    private readonly upstreams: UpstreamTable,
  ) {}

  releaseCache(source: CacheSource): void {
    if (this.upstreams.acquireRequest(source.upstream.name))
      void this.transport.releaseCache(source);
  }

  /** Also removes the load of the reservation. */
  releaseReservation(reservation: EngineReservation): void {
    const {upstream, reservationId, load} = reservation;
    load.release();
    if (reservationId === undefined) return;
    if (this.upstreams.acquireRequest(upstream.document.name))
      void this.transport.releaseReservation(upstream.document, reservationId);
  }
}
