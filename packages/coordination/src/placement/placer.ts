/**
 * Chooses a prefill and a decode engine together among those that the route's
 * selectors allow, and reserves them.
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
import {least, sample} from './selection.js';

/** What a placer works with. */
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

/** A request with what placing it needs to know beforehand. */
export interface PlacementDemand {
  readonly request: CompletionRequest;
  readonly promptTokens: number;
  readonly decodeTokens: number;
  readonly blocks: readonly string[];
}

/** What came of a choice. */
export type PlacementOutcome =
  | {readonly kind: 'placed'; readonly placement: Placement}
  /** Engines would serve it, but not now. */
  | {readonly kind: 'full'}
  /** No engine that can be reached serves it. */
  | {readonly kind: 'none'};

interface PairChoice {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly prefillMilliseconds: number;
  readonly transferMilliseconds: number;
  readonly score: number;
}

/** Work that may wait at a prefill engine before requests wait at the host. */
const maximumPrefillBacklogMilliseconds = 150;
export class Placer {
  readonly candidates: EngineCandidates;
  readonly cost: PlacementCost;
  private turn = 0;

  constructor(private readonly parts: PlacerParts) {
    this.candidates = new EngineCandidates(parts);
    this.cost = new PlacementCost(parts);
  }

  /** Measures a request before it is placed. */
  demandOf(request: CompletionRequest, delivered: number): PlacementDemand {
    const {promptBlocks} = this.parts;
    return {
      request,
      promptTokens: request.promptTokens,
      decodeTokens: request.maximumTokens - delivered,
      blocks: promptBlocks(request.account, request.prompt),
    };
  }

  /** Chooses and reserves. */
  place(demand: PlacementDemand): PlacementOutcome {
    const prefills = this.candidates.open(demand.request, 'prefill');
    const decodes = this.candidates.open(demand.request, 'decode');
    if (prefills.length === 0 || decodes.length === 0) return {kind: 'none'};
    const choice = this.choose(demand, prefills, decodes);
    if (choice === undefined) return {kind: 'full'};
    return {kind: 'placed', placement: this.reserve(demand, choice)};
  }

  /** Another decode engine with a free slot, nearest to the KV cache first. */
  anotherDecode(
    request: CompletionRequest,
    source: EngineState,
    tried: ReadonlySet<EngineState>,
  ): EngineState | undefined {
    const now = this.parts.clock.now();
    const free = this.candidates
      .open(request, 'decode')
      .filter(
        state =>
          !tried.has(state) &&
          !state.isFull(now) &&
          state.slotsUsedAt(now) < state.report.decodeSlots,
      );
    const tokens = request.promptTokens;
    return least(free, state =>
      this.cost.decodeScore(source, state, tokens, now),
    );
  }

  private choose(
    demand: PlacementDemand,
    prefills: EngineState[],
    decodes: EngineState[],
  ): PairChoice | undefined {
    const {policy, clock} = this.parts;
    switch (policy.kind) {
      case 'round-robin': {
        const turn = (this.turn += 1);
        const prefill = prefills[turn % prefills.length]!;
        const decode = decodes[turn % decodes.length]!;
        return this.pair(demand, prefill, decode, clock.now());
      }
      case 'least-reported': {
        const prefill = least(
          prefills,
          ({report}) => report.queuedPrefillTokens,
        );
        const decode = least(decodes, ({report}) => report.decodeSlotsUsed);
        return this.pair(demand, prefill!, decode!, clock.now());
      }
      case 'reserving':
        return this.chooseFree(demand, prefills, decodes, policy);
    }
  }

  private chooseFree(
    demand: PlacementDemand,
    prefills: EngineState[],
    decodes: EngineState[],
    policy: {choices: number; slots: SlotSharing},
  ): PairChoice | undefined {
    const now = this.parts.clock.now();
    const open = prefills.filter(state => this.mayPrefill(state, now));
    const cached = least(
      open,
      state => -state.cache.countCachedPrefix(demand.blocks),
    );
    const sources = sample(this.parts.random, open, policy.choices);
    if (
      cached !== undefined &&
      cached.cache.countCachedPrefix(demand.blocks) > 0
    )
      sources.push(cached);
    if (sources.length === 0) return undefined;
    const leadMilliseconds = Math.min(
      ...sources.map(state =>
        this.cost.prefillMilliseconds(demand, state, now),
      ),
    );
    const free = decodes.filter(state =>
      this.mayReserve(state, now, now + leadMilliseconds, policy.slots),
    );
    const targets = sample(this.parts.random, free, policy.choices);
    const pairs = sources.flatMap(prefill =>
      targets.map(decode => this.pair(demand, prefill, decode, now)),
    );
    return least(pairs, ({score}) => score);
  }

  private pair(
    demand: PlacementDemand,
    prefill: EngineState,
    decode: EngineState,
    now: number,
  ): PairChoice {
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
      this.cost.distance(prefill) +
      this.cost.decodeScore(prefill, decode, demand.promptTokens, importAt);
    return {prefill, decode, prefillMilliseconds, transferMilliseconds, score};
  }

  private reserve(demand: PlacementDemand, choice: PairChoice): Placement {
    const {clock, links, policy} = this.parts;
    const {prefill, decode, prefillMilliseconds} = choice;
    const now = clock.now();
    const tokens = this.cost.uncachedTokens(demand, prefill);
    if (policy.kind === 'reserving' && this.isBeyondShare(decode))
      decode.borrowable -= 1;
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

  private mayPrefill(state: EngineState, now: number): boolean {
    const rate = state.report.prefillTokensPerSecond / 1000;
    return state.prefillBacklog(now) / rate < maximumPrefillBacklogMilliseconds;
  }

  private mayReserve(
    state: EngineState,
    now: number,
    importAt: number,
    slots: SlotSharing,
  ): boolean {
    if (state.isFull(now)) return false;
    if (state.slotsUsedAt(importAt) >= state.report.decodeSlots) return false;
    if (slots !== 'shares') return true;
    return !this.isBeyondShare(state) || state.borrowable >= 1;
  }

  private isBeyondShare(state: EngineState): boolean {
    return state.ownSlots >= this.parts.view.slotShare(state);
  }
}
