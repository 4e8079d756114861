/** Expected times that placements are compared by. */

import type {Clock} from '../clock.js';
import type {FailureDomainId} from '../ids.js';
import type {EngineState} from './engine-state.js';
import type {LinkView} from './link-view.js';
import type {PlacementDemand} from './placer.js';

/** What costs are computed from. */
export interface PlacementCostParts {
  readonly clock: Clock;
  readonly links: LinkView;
  readonly blockTokens: number;
  readonly failureDomain: () => FailureDomainId | undefined;
}

/** Cost of a decode engine's fill, to spread work over equal engines. */
const fillMilliseconds = 40;
/** Cost of leaving the host's own failure domain. */
const foreignDomainMilliseconds = 10;

export class PlacementCost {
  constructor(private readonly parts: PlacementCostParts) {}

  /** Time in which a decode engine makes `tokens`. */
  decodeMilliseconds(decode: EngineState, tokens: number): number {
    return (
      tokens *
      decode.report.decodeStepMilliseconds *
      decode.health.slowness(this.parts.clock.now())
    );
  }

  prefillMilliseconds(
    demand: PlacementDemand,
    state: EngineState,
    now: number,
  ): number {
    const tokens =
      state.prefillBacklog(now) + this.uncachedTokens(demand, state);
    const rate = state.report.prefillTokensPerSecond / 1000;
    return (tokens / rate) * state.health.slowness(now);
  }

  uncachedTokens(demand: PlacementDemand, state: EngineState): number {
    const cached = state.cache.countCachedPrefix(demand.blocks);
    const tokens = demand.promptTokens - cached * this.parts.blockTokens;
    return Math.max(0, tokens);
  }

  decodeScore(
    source: EngineState,
    decode: EngineState,
    tokens: number,
    importAt: number,
  ): number {
    const {links} = this.parts;
    const fill = decode.slotsUsedAt(importAt) / decode.report.decodeSlots;
    return (
      links.transferMilliseconds(source, decode, tokens, importAt) +
      decode.report.decodeStepMilliseconds * decode.health.slowness(importAt) +
      fill * fillMilliseconds +
      this.distance(decode)
    );
  }

  distance(state: EngineState): number {
    const failureDomain = this.parts.failureDomain();
    if (failureDomain === undefined) return 0;
    const isOwn = state.upstream.spec.failureDomain === failureDomain;
    return isOwn ? 0 : foreignDomainMilliseconds;
  }
}
