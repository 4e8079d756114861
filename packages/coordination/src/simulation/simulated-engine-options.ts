/** Options and faults of simulated engines. */

import {createWordBlockHasher} from '../placement/cache-view.js';
import type {PromptBlockHasher} from '../placement/cache-view.js';

/** Capacities and rates of a simulated engine. */
export interface SimulatedEngineOptions {
  readonly prefillTokensPerSecond: number;
  readonly decodeSlots: number;
  readonly decodeStepMilliseconds: number;
  /** Time after which an unused prefill result expires. */
  readonly prefillResultMilliseconds: number;
  /** Maximum number of cached blocks. */
  readonly cacheBlocks: number;
  readonly cacheBlockTokens: number;
  readonly bytesPerToken: number;
  /** Bandwidth of the engine's link for KV cache transfers. */
  readonly linkBytesPerSecond: number;
  readonly reportLagMilliseconds: number;
  readonly countTokens: (prompt: string) => number;
  /** Returns the block hashes of a prompt. */
  readonly promptBlocks: PromptBlockHasher;
}

/** A fault of an engine. */
export type SimulatedEngineFault =
  | {readonly kind: 'none'}
  /** Connections break and the engine is unreachable. */
  | {readonly kind: 'dead'}
  /** Work stops but load reports continue. */
  | {readonly kind: 'stalled'}
  /** The engine sends no answers. */
  | {readonly kind: 'silent'}
  /** Work that starts during the fault takes `factor` times as long. */
  | {readonly kind: 'slow'; readonly factor: number};

/** Options of a fast engine with the capacities of a small deployment. */
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
