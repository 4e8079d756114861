/** What a model engine is like and what may be wrong with it. */

import {createWordBlockHasher} from '../placement/cache-view.js';
import type {PromptBlockHasher} from '../placement/cache-view.js';

/** Sizes and rates of a model engine. */
export interface SimulatedEngineOptions {
  readonly prefillTokensPerSecond: number;
  readonly decodeSlots: number;
  readonly decodeStepMilliseconds: number;
  readonly prefillResultMilliseconds: number;
  readonly cacheBlocks: number;
  readonly cacheBlockTokens: number;
  readonly bytesPerToken: number;
  readonly linkBytesPerSecond: number;
  readonly reportLagMilliseconds: number;
  readonly countTokens: (prompt: string) => number;
  readonly promptBlocks: PromptBlockHasher;
}

/** What is wrong with an engine; takes hold at once. */
export type EngineFault =
  | {readonly kind: 'none'}
  /** Connections break and none can be made. */
  | {readonly kind: 'dead'}
  /** Work stops, reports go on. */
  | {readonly kind: 'stalled'}
  /** Nothing is answered any more. */
  | {readonly kind: 'silent'}
  /** All work takes `factor` times as long. */
  | {readonly kind: 'slow'; readonly factor: number};

/** A fast engine with the sizes of a small deployment. */
export const defaultSimulatedEngineOptions: SimulatedEngineOptions = {
  prefillTokensPerSecond: 40_000,
  decodeSlots: 20,
  decodeStepMilliseconds: 20,
  prefillResultMilliseconds: 800,
  cacheBlocks: 64,
  cacheBlockTokens: 2_000,
  bytesPerToken: 1_000,
  linkBytesPerSecond: 1_000_000_000,
  reportLagMilliseconds: 0,
  countTokens: prompt => prompt.split(/\s+/).filter(Boolean).length,
  promptBlocks: createWordBlockHasher(2_000),
};
