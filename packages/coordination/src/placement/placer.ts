/**
 * Chooses a pair of prefill and decode engines that the route's selectors
 * allow, and reserves both.
 */

import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {FailureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {PromptBlockHasher} from './cache-view.js';
import {EngineCandidates} from './engine-candidates.js';
import type {PlacedRequest} from './engine-candidates.js';
import type {EngineState} from './engine-state.js';
import type {EngineView} from './engine-view.js';
import type {LinkView} from './link-view.js';
import {Placement} from './placement.js';
import {PlacementCost} from './placement-cost.js';
import type {PlacementPolicy, SlotSharing} from './placement-policy.js';
import {minimumBy, sample} from './list-selection.js';

/** Dependencies and options of a placer. */
export interface PlacerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: () => Configuration;
  readonly view: EngineView;
  readonly links: LinkView;
  readonly policy: PlacementPolicy;
  readonly hashPromptBlocks: PromptBlockHasher;
  readonly blockTokens: number;
  readonly failureDomain: () => FailureDomainId | undefined;
  readonly onRelease: () => void;
}

/** A request with its resource demand. */
export interface PlacementDemand {
  readonly request: PlacedRequest;
  readonly promptTokens: number;
  readonly decodeTokens: number;
  readonly blockHashes: readonly string[];
}

/** Outcome of a placement. */
export type PlacementOutcome =
  | {readonly kind: 'placed'; readonly placement: Placement}
  /** Engines are available, but have no free capacity. */
  | {readonly kind: 'full'}
  /** No allowed engine of a role admits a further request. */
  | {readonly kind: 'none'};

interface EnginePair {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly prefillMilliseconds: number;
  readonly transferMilliseconds: number;
  readonly costMilliseconds: number;
}

/**
 * Prefill backlog of an engine above which requests stay queued at the host.
 */
const maximumBacklogMilliseconds = 150;

export class Placer {
  readonly candidates: EngineCandidates;
  readonly cost: PlacementCost;
  private roundRobinIndex = 0;

  constructor(private readonly parts: PlacerParts) {
    this.candidates = new EngineCandidates(parts);
    this.cost = new PlacementCost(parts);
  }

  describeDemand(
    request: PlacedRequest,
    deliveredTokens: number,
  ): PlacementDemand {
    const {hashPromptBlocks} = this.parts;
    return {
      request,
      promptTokens: request.promptTokens,
      decodeTokens: request.maximumTokens - deliveredTokens,
      blockHashes: hashPromptBlocks(request.account, request.prompt),
    };
  }

  /** Chooses a pair of engines and reserves them. */
  place(demand: PlacementDemand): PlacementOutcome {
    const prefillEngines = this.candidates.admittingEngines(
      demand.request,
      'prefill',
    );
    const decodeEngines = this.candidates.admittingEngines(
      demand.request,
      'decode',
    );
    if (prefillEngines.length === 0 || decodeEngines.length === 0)
      return {kind: 'none'};
    const choice = this.choose(demand, prefillEngines, decodeEngines);
    if (choice === undefined) return {kind: 'full'};
    return {kind: 'placed', placement: this.reserve(demand, choice)};
  }

  /** The decode engine with a free slot and the lowest cost from `source`. */
  chooseDecode(
    request: PlacedRequest,
    source: EngineState,
    excluded: ReadonlySet<EngineState>,
  ): EngineState | undefined {
    const now = this.parts.clock.now();
    const freeDecodeEngines = this.candidates
      .admittingEngines(request, 'decode')
      .filter(
        state =>
          !excluded.has(state) &&
          !state.isFull(now) &&
          state.slotsUsedAt(now) < state.report.decodeSlots,
      );
    const tokens = request.promptTokens;
    return minimumBy(freeDecodeEngines, state =>
      this.cost.decodePlacementCostMilliseconds(source, state, tokens, now),
    );
  }

  private choose(
    demand: PlacementDemand,
    prefillEngines: EngineState[],
    decodeEngines: EngineState[],
  ): EnginePair | undefined {
    const {policy, clock} = this.parts;
    switch (policy.kind) {
      case 'round-robin': {
        const roundRobinIndex = (this.roundRobinIndex += 1);
        const prefill =
          prefillEngines[roundRobinIndex % prefillEngines.length]!;
        const decode = decodeEngines[roundRobinIndex % decodeEngines.length]!;
        return this.evaluatePair(demand, prefill, decode, clock.now());
      }
      case 'least-reported': {
        const prefill = minimumBy(
          prefillEngines,
          ({report}) => report.queuedPrefillTokens,
        );
        const decode = minimumBy(
          decodeEngines,
          ({report}) => report.decodeSlotsUsed,
        );
        return this.evaluatePair(demand, prefill!, decode!, clock.now());
      }
      case 'reserving':
        return this.chooseByCost(demand, prefillEngines, decodeEngines, policy);
    }
  }

  private chooseByCost(
    demand: PlacementDemand,
    prefillEngines: EngineState[],
    decodeEngines: EngineState[],
    policy: {choices: number; slots: SlotSharing},
  ): EnginePair | undefined {
    const now = this.parts.clock.now();
    const freePrefillEngines = prefillEngines.filter(state =>
      this.canPrefill(state, now),
    );
    const bestCached = minimumBy(
      freePrefillEngines,
      state => -state.cache.countCachedPrefix(demand.blockHashes),
    );
    const prefillChoices = sample(
      this.parts.random,
      freePrefillEngines,
      policy.choices,
    );
    if (
      bestCached !== undefined &&
      bestCached.cache.countCachedPrefix(demand.blockHashes) > 0
    )
      prefillChoices.push(bestCached);
    if (prefillChoices.length === 0) return undefined;
    const earliestPrefillMilliseconds = Math.min(
      ...prefillChoices.map(state =>
        this.cost.prefillMilliseconds(demand, state, now),
      ),
    );
    const freeDecodeEngines = decodeEngines.filter(state =>
      this.canReserve(
        state,
        now,
        now + earliestPrefillMilliseconds,
        policy.slots,
      ),
    );
    const decodeChoices = sample(
      this.parts.random,
      freeDecodeEngines,
      policy.choices,
    );
    const pairs = prefillChoices.flatMap(prefill =>
      decodeChoices.map(decode =>
        this.evaluatePair(demand, prefill, decode, now),
      ),
    );
    return minimumBy(pairs, ({costMilliseconds}) => costMilliseconds);
  }

  private evaluatePair(
    demand: PlacementDemand,
    prefill: EngineState,
    decode: EngineState,
    now: number,
  ): EnginePair {
    const prefillMilliseconds = this.cost.prefillMilliseconds(
      demand,
      prefill,
      now,
    );
    const transferStartAt = now + prefillMilliseconds;
    const transferMilliseconds = this.parts.links.transferMilliseconds(
      prefill,
      decode,
      demand.promptTokens,
      transferStartAt,
    );
    const costMilliseconds =
      prefillMilliseconds +
      this.cost.domainPenaltyMilliseconds(prefill) +
      this.cost.decodePlacementCostMilliseconds(
        prefill,
        decode,
        demand.promptTokens,
        transferStartAt,
      );
    return {
      prefill,
      decode,
      prefillMilliseconds,
      transferMilliseconds,
      costMilliseconds,
    };
  }

  private reserve(demand: PlacementDemand, choice: EnginePair): Placement {
    const {clock, links, policy} = this.parts;
    const {prefill, decode, prefillMilliseconds} = choice;
    const now = clock.now();
    const tokens = this.cost.uncachedTokens(demand, prefill);
    if (policy.kind === 'reserving' && this.hasUsedGuaranteedSlots(decode))
      decode.borrowableSlots -= 1;
    prefill.reservePrefill(now, tokens);
    links.reserve(
      prefill,
      decode,
      demand.promptTokens,
      now + prefillMilliseconds,
    );
    return new Placement(
      clock,
      prefill,
      decode,
      choice,
      this.cost.decodeMilliseconds(decode, demand.decodeTokens),
      this.parts.onRelease,
    );
  }

  private canPrefill(state: EngineState, now: number): boolean {
    const rate = state.report.prefillTokensPerSecond / 1000;
    return state.prefillBacklogTokens(now) / rate < maximumBacklogMilliseconds;
  }

  private canReserve(
    state: EngineState,
    now: number,
    transferStartAt: number,
    slots: SlotSharing,
  ): boolean {
    if (state.isFull(now)) return false;
    if (state.slotsUsedAt(transferStartAt) >= state.report.decodeSlots)
      return false;
    if (slots !== 'shares') return true;
    return !this.hasUsedGuaranteedSlots(state) || state.borrowableSlots >= 1;
  }

  private hasUsedGuaranteedSlots(state: EngineState): boolean {
    return state.reservedSlots >= this.parts.view.guaranteedSlotsOf(state);
  }
}
