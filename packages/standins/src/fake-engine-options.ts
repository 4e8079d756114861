/** Options, faults and observers of fake engines. */

import type {FakeEngine} from './fake-engine.js';

export interface FakeEngineOptions {
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
  readonly checksFencing: boolean;
}

/** Faults of a fake engine, effective from its next step. */
export interface FakeEngineFaults {
  /** Steps stop but connections stay open. */
  isStalled: boolean;
  /** No answers are sent but connections stay open. */
  isSilent: boolean;
  /** Factor by which steps are slowed down. */
  slowFactor: number;
  /** Reported age of load reports. */
  reportAgeMilliseconds: number;
  /** Share of cache events that are lost. */
  droppedEventShare: number;
}

/** Receives events about the memory and the executions of an engine. */
export interface EngineObserver {
  memoryHeld(engine: FakeEngine, request: string, attempt: string): void;
  memoryFreed(engine: FakeEngine, attempt: string): void;
  executed(
    engine: FakeEngine,
    request: string,
    phase: 'prefill' | 'decode',
    body: object,
  ): void;
}

export const defaultEngineOptions: FakeEngineOptions = {
  prefillTokensPerSecond: 40_000,
  decodeSlots: 20,
  decodeStepMilliseconds: 5,
  prefillResultMilliseconds: 800,
  cacheBlocks: 64,
  cacheBlockTokens: 2_000,
  bytesPerToken: 1_000,
  linkBytesPerSecond: 1_000_000_000,
  checksFencing: true,
};
