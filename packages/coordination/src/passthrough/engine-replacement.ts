/** Reserves memory at another engine for a generation whose engine is silent. */

import type {Result} from 'true-myth';
import type {RequestFailure} from '../requests/failure.js';
import type {RetryLimit} from './call-events.js';
import {retryRequestOf} from './generation-run.js';
import type {GenerationState} from './generation-run.js';
import type {EngineReservation} from './reservation-queue.js';
import type {RetryGate, RetryRequest} from './retry-gate.js';

export interface EngineReplacementParts {
  readonly retryGate: RetryGate;
  readonly reserve: (
    signal: AbortSignal,
  ) => Promise<Result<EngineReservation, RequestFailure>>;
  readonly releaseReservation: (reservation: EngineReservation) => void;
}

export class EngineReplacement {
  private reportedLimit: RetryLimit | undefined;

  constructor(
    private readonly parts: EngineReplacementParts,
    private readonly state: GenerationState,
  ) {}

  /** Resolves with undefined if no engine may or can take over now. */
  async find(signal: AbortSignal): Promise<EngineReservation | undefined> {
    const {retryGate, reserve, releaseReservation} = this.parts;
    const limit = retryGate.limitOf(this.retryRequest());
    if (limit !== undefined) return this.withhold(limit);
    const reserved = await reserve(signal);
    if (reserved.isErr)
      return signal.aborted ? undefined : this.withhold('capacity');
    const reservation = reserved.value;
    if (!signal.aborted && (await retryGate.acquire(this.retryRequest())))
      return reservation;
    releaseReservation(reservation);
    return undefined;
  }

  private retryRequest(): RetryRequest {
    return retryRequestOf(this.state, 'silent');
  }

  /** Reports each limit once, although the search is repeated. */
  withhold(limit: RetryLimit): undefined {
    if (limit === this.reportedLimit) return;
    this.reportedLimit = limit;
    this.parts.retryGate.reportWithheld(this.retryRequest(), limit);
  }
}
