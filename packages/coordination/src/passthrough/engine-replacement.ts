/**
 * Finds another engine for a generation whose engine is silent. The engine is
 * given up only for a reservation at another one, because a slow engine may
 * still complete the generation. The other one may reject the run although it has
 * granted the reservation, so that a retry is acquired for this as well: the first
 * connection is closed before the other engine is asked.
 */

import type {Result} from 'true-myth';
import type {RequestFailure} from '../requests/failure.js';
import type {RetryLimit} from './call-events.js';
import type {GenerationState} from './generation-run.js';
import type {EngineReservation} from './reservation-queue.js';
import type {RetryGate, RetryRequest} from './retry-gate.js';
import type {TrackedUpstream} from './upstream-table.js';

export interface EngineReplacementParts {
  readonly retryGate: RetryGate;
  readonly reserve: (
    signal: AbortSignal,
    avoidedUpstreams: ReadonlySet<string>,
  ) => Promise<Result<EngineReservation, RequestFailure>>;
  readonly releaseReservation: (reservation: EngineReservation) => void;
}

export class EngineReplacement {
  private reportedLimit: RetryLimit | undefined;

  /** `possibleRuns` includes the attempt at the silent engine. */
  constructor(
    private readonly parts: EngineReplacementParts,
    private readonly state: GenerationState,
    private readonly engine: TrackedUpstream,
    private readonly possibleRuns: number,
  ) {}

  /** Resolves with undefined if no engine may or can take over now. */
  async find(signal: AbortSignal): Promise<EngineReservation | undefined> {
    const {retryGate, reserve, releaseReservation} = this.parts;
    const {avoidedUpstreams} = this.state;
    const limit = retryGate.limitOfReplacement(this.retryRequest());
    if (limit !== undefined) return this.withhold(limit);
    const {name} = this.engine.document;
    const reserved = await reserve(
      signal,
      new Set([...avoidedUpstreams, name]),
    );
    if (reserved.isErr)
      return signal.aborted ? undefined : this.withhold('capacity');
    const reservation = reserved.value;
    if (
      !signal.aborted &&
      (await retryGate.acquireReplacement(this.retryRequest()))
    )
      return reservation;
    releaseReservation(reservation);
    return undefined;
  }

  private retryRequest(): RetryRequest {
    const {call, pool, attempts, sends} = this.state;
    const {possibleRuns} = this;
    const counts = {attempts, possibleRuns};
    return {call, pool, counts, sends, reason: 'silent'};
  }

  /** Reports each limit once, although the search is repeated. */
  private withhold(limit: RetryLimit): undefined {
    if (limit === this.reportedLimit) return;
    this.reportedLimit = limit;
    this.parts.retryGate.reportWithheld(this.retryRequest(), limit);
  }
}
