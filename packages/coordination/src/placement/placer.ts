/**
 * Chooses a pair of prefill and decode engines that the route's selectors
 * allow, and reserves both.
 */

import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {FailureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {PromptBlockHasher} from './cache-view.js';
import {EngineCandidates} from './engine-candidates.js';
import type {EngineState} from './engine-state.js';
import type {EngineView} from './engine-view.js';
import type {LinkView} from './link-view.js';
import {Placement} from './placement.js';
import {PlacementCost} from './placement-cost.js';
import type {PlacementPolicy, SlotSharing} from './placement-policy.js';
import {minimumBy, sample} from './selection.js';

/** Dependencies and options of a placer. */
export interface PlacerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: () => Configuration;
  readonly view: EngineView;
  readonly links: LinkView;
  readonly policy: PlacementPolicy;
  readonly promptBlocks: PromptBlockHasher;
  readonly blockTokens: number;
  readonly failureDomain: () => FailureDomainId | undefined;
  readonly onRelease: () => void;
}

/** A request with its resource demand. */
export interface PlacementDemand {
  readonly request: CompletionRequest;
  readonly promptTokens: number;
  readonly decodeTokens: number;
  readonly blocks: readonly string[];
}

/** Outcome of a placement. */
export type PlacementOutcome =
  | {readonly kind: 'placed'; readonly placement: Placement}
  /** Engines are available, but have no free capacity. */
  | {readonly kind: 'full'}
  /** No engine is available. */
  | {readonly kind: 'none'};

interface EnginePair {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly prefillMilliseconds: number;
  readonly transferMilliseconds: number;
  readonly score: number;
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

  /** Computes the demand of a request. */
  describeDemand(
    request: CompletionRequest,
    deliveredTokens: number,
  ): PlacementDemand {
    const {promptBlocks} = this.parts;
    return {
      request,
      promptTokens: request.promptTokens,
      decodeTokens: request.maximumTokens - deliveredTokens,
      blocks: promptBlocks(request.account, request.prompt),
    };
  }

  /** Chooses a pair of engines and reserves them. */
  place(demand: PlacementDemand): PlacementOutcome {
    const prefills = this.candidates.availableEngines(
      demand.request,
      'prefill',
    );
    const decodes = this.candidates.availableEngines(demand.request, 'decode');
    if (prefills.length === 0 || decodes.length === 0) return {kind: 'none'};
    const choice = this.choose(demand, prefills, decodes);
    if (choice === undefined) return {kind: 'full'};
    return {kind: 'placed', placement: this.reserve(demand, choice)};
  }

  /** The decode engine with a free slot and the lowest cost from `source`. */
  chooseDecode(
    request: CompletionRequest,
    source: EngineState,
    excluded: ReadonlySet<EngineState>,
  ): EngineState | undefined {
    const now = this.parts.clock.now();
    const freeDecodes = this.candidates
      .availableEngines(request, 'decode')
      .filter(
        state =>
          !excluded.has(state) &&
          !state.isFull(now) &&
          state.slotsUsedAt(now) < state.report.decodeSlots,
      );
    const tokens = request.promptTokens;
    return minimumBy(freeDecodes, state =>
      this.cost.decodeCostMilliseconds(source, state, tokens, now),
    );
  }

  private choose(
    demand: PlacementDemand,
    prefills: EngineState[],
    decodes: EngineState[],
  ): EnginePair | undefined {
    const {policy, clock} = this.parts;
    switch (policy.kind) {
      case 'round-robin': {
        const roundRobinIndex = (this.roundRobinIndex += 1);
        const prefill = prefills[roundRobinIndex % prefills.length]!;
        const decode = decodes[roundRobinIndex % decodes.length]!;
        return this.evaluatePair(demand, prefill, decode, clock.now());
      }
      case 'least-reported': {
        const prefill = minimumBy(
          prefills,
          ({report}) => report.queuedPrefillTokens,
        );
        const decode = minimumBy(decodes, ({report}) => report.decodeSlotsUsed);
        return this.evaluatePair(demand, prefill!, decode!, clock.now());
      }
      case 'reserving':
        return this.chooseByCost(demand, prefills, decodes, policy);
    }
  }

  private chooseByCost(
    demand: PlacementDemand,
    prefills: EngineState[],
    decodes: EngineState[],
    policy: {choices: number; slots: SlotSharing},
  ): EnginePair | undefined {
    const now = this.parts.clock.now();
    const availablePrefills = prefills.filter(state =>
      this.canPrefill(state, now),
    );
    const bestCached = minimumBy(
      availablePrefills,
      state => -state.cache.countCachedPrefix(demand.blocks),
    );
    const sources = sample(
      this.parts.random,
      availablePrefills,
      policy.choices,
    );
    if (
      bestCached !== undefined &&
      bestCached.cache.countCachedPrefix(demand.blocks) > 0
    )
      sources.push(bestCached);
    if (sources.length === 0) return undefined;
    const earliestPrefillMilliseconds = Math.min(
      ...sources.map(state =>
        this.cost.prefillMilliseconds(demand, state, now),
      ),
    );
    const freeDecodes = decodes.filter(state =>
      this.canReserve(
        state,
        now,
        now + earliestPrefillMilliseconds,
        policy.slots,
      ),
    );
    const targets = sample(this.parts.random, freeDecodes, policy.choices);
    const pairs = sources.flatMap(prefill =>
      targets.map(decode => this.evaluatePair(demand, prefill, decode, now)),
    );
    return minimumBy(pairs, ({score}) => score);
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
    const importAt = now + prefillMilliseconds;
    const transferMilliseconds = this.parts.links.transferMilliseconds(
      prefill,
      decode,
      demand.promptTokens,
      importAt,
    );
    const score =
      prefillMilliseconds +
      this.cost.domainPenaltyMilliseconds(prefill) +
      this.cost.decodeCostMilliseconds(
        prefill,
        decode,
        demand.promptTokens,
        importAt,
      );
    return {prefill, decode, prefillMilliseconds, transferMilliseconds, score};
  }

  private reserve(demand: PlacementDemand, choice: EnginePair): Placement {
    const {clock, links, policy} = this.parts;
    const {prefill, decode, prefillMilliseconds} = choice;
    const now = clock.now();
    const tokens = this.cost.uncachedTokens(demand, prefill);
    if (policy.kind === 'reserving' && this.hasUsedGuaranteedSlots(decode))
      decode.borrowableSlots -= 1;
    prefill.startPrefill(now, tokens);
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
    importAt: number,
    slots: SlotSharing,
  ): boolean {
    if (state.isFull(now)) return false;
    if (state.slotsUsedAt(importAt) >= state.report.decodeSlots) return false;
    if (slots !== 'shares') return true;
    return !this.hasUsedGuaranteedSlots(state) || state.borrowableSlots >= 1;
  }

  private hasUsedGuaranteedSlots(state: EngineState): boolean {
    return state.reservedSlots >= this.parts.view.guaranteedSlots(state);
  }
}
