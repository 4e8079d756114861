/** Cost estimates, in milliseconds, that placements are compared by. */

import type {Clock} from '../clock.js';
import type {FailureDomainId} from '../ids.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import type {PlacementDemand} from './placer.js';

/** Dependencies of the cost estimates. */
export interface PlacementCostParts {
  readonly clock: Clock;
  readonly links: LinkView;
  readonly blockTokens: number;
  readonly failureDomain: () => FailureDomainId | undefined;
}

/** Penalty of a fully used decode engine; spreads work over equal engines. */
const utilizationPenaltyMilliseconds = 40;
/** Penalty of an engine outside the host's failure domain. */
const crossDomainPenaltyMilliseconds = 10;

export class PlacementCost {
  constructor(private readonly parts: PlacementCostParts) {}

  /** Estimated time in which a decode engine generates `tokens` tokens. */
  decodeMilliseconds(decode: EngineState, tokens: number): number {
    return (
      tokens *
      decode.report.decodeStepMilliseconds *
      decode.health.slowness(this.parts.clock.now())
    );
  }

  /**
   * Estimated time until the prefill of a request ends, including the backlog.
   */
  prefillMilliseconds(
    demand: PlacementDemand,
    state: EngineState,
    now: number,
  ): number {
    const tokens =
      state.prefillBacklogTokens(now) + this.uncachedTokens(demand, state);
    const tokensPerMillisecond = state.report.prefillTokensPerSecond / 1000;
    return (tokens / tokensPerMillisecond) * state.health.slowness(now);
  }

  /** Prompt tokens that are not expected in the engine's prefix cache. */
  uncachedTokens(demand: PlacementDemand, state: EngineState): number {
    const cached = state.cache.countCachedPrefix(demand.blockHashes);
    const tokens = demand.promptTokens - cached * this.parts.blockTokens;
    return Math.max(0, tokens);
  }

  /**
   * Cost of a decode engine: estimated transfer and first decode step, plus
   * penalties for utilization and for another failure domain.
   */
  decodePlacementCostMilliseconds(
    source: EngineState,
    decode: EngineState,
    tokens: number,
    transferStartAt: number,
  ): number {
    const {links} = this.parts;
    const utilization =
      decode.slotsUsedAt(transferStartAt) / decode.report.decodeSlots;
    return (
      links.transferMilliseconds(source, decode, tokens, transferStartAt) +
      decode.report.decodeStepMilliseconds *
        decode.health.slowness(transferStartAt) +
      utilization * utilizationPenaltyMilliseconds +
      this.domainPenaltyMilliseconds(decode)
    );
  }

  /** Penalty for an engine outside the host's failure domain. */
  domainPenaltyMilliseconds(state: EngineState): number {
    const failureDomain = this.parts.failureDomain();
    if (failureDomain === undefined) return 0;
    const isOwn = state.upstream.spec.failureDomain === failureDomain;
    return isOwn ? 0 : crossDomainPenaltyMilliseconds;
  }
}
