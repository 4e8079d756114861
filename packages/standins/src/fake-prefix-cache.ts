/** The prefix cache of a fake engine and its cache events. */

import {createWordBlockHasher, seededRandom} from '@persimmonwick/coordination';
import type {PromptBlockHasher} from '@persimmonwick/coordination';

interface FakeCacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly cacheScope: string;
  readonly blockHash: string;
}

const maximumEvents = 1000;

export class FakePrefixCache {
  private readonly blocks = new Map<string, string>();
  private readonly events: FakeCacheEvent[] = [];
  private readonly random = seededRandom(1);
  private readonly hashBlocks: PromptBlockHasher;
  private sequence = 0;

  constructor(
    private readonly maximumBlocks: number,
    private readonly blockTokens: number,
    /** Returns the share of events to drop. */
    private readonly droppedEventShare: () => number,
  ) {
    this.hashBlocks = createWordBlockHasher(blockTokens);
  }

  /** Number of prompt tokens in the leading blocks that are cached. */
  countCachedTokens(scope: string, prompt: string): number {
    const blocks = this.hashBlocks(scope, prompt);
    const firstMissing = blocks.findIndex(block => !this.blocks.has(block));
    const cachedBlocks = firstMissing === -1 ? blocks.length : firstMissing;
    return cachedBlocks * this.blockTokens;
  }

  /** Caches the blocks of a prompt and evicts the least recently stored ones. */
  store(scope: string, prompt: string): void {
    for (const block of this.hashBlocks(scope, prompt)) {
      this.blocks.delete(block);
      this.blocks.set(block, scope);
      this.record('stored', scope, block);
    }
    while (this.blocks.size > this.maximumBlocks) {
      const [oldest, oldestScope] = this.blocks.entries().next().value!;
      this.blocks.delete(oldest);
      this.record('evicted', oldestScope, oldest);
    }
  }

  /** Returns the response body of `/cache-events`. */
  eventsAfter(sequence: number) {
    return {
      newestSequence: this.sequence,
      events: this.events.filter(event => event.sequence > sequence),
    };
  }

  private record(
    kind: FakeCacheEvent['kind'],
    cacheScope: string,
    blockHash: string,
  ): void {
    this.sequence += 1;
    if (this.random.next() < this.droppedEventShare()) return;
    this.events.push({sequence: this.sequence, kind, cacheScope, blockHash});
    if (this.events.length > maximumEvents) this.events.shift();
  }
}
