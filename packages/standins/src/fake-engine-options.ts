/** What fake engines are made of, how they fail and who hears of it. */

import type {FakeEngine} from './fake-engine.js';

export interface FakeEngineOptions {
  readonly prefillTokensPerSecond: number;
  readonly decodeSlots: number;
  readonly decodeStepMilliseconds: number;
  readonly prefillResultMilliseconds: number;
  readonly cacheBlocks: number;
  readonly cacheBlockTokens: number;
  readonly bytesPerToken: number;
  readonly linkBytesPerSecond: number;
  readonly checksFencing: boolean;
}

/** Switches to fail; they take hold on the next step. */
export interface FakeEngineFaults {
  /** Steps stop, connections stay open. */
  stalled: boolean;
  /** Answers are never sent, connections stay open. */
  silent: boolean;
  /** Steps take this many times as long. */
  slowFactor: number;
  /** Load reports are this old. */
  reportAgeMilliseconds: number;
  /** Share of cache events that are dropped. */
  droppedEventShare: number;
}

/** Told of what an engine holds and runs. */
export interface EngineObserver {
  held(engine: FakeEngine, request: string, attempt: string): void;
  freed(engine: FakeEngine, attempt: string): void;
  ran(
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
