/** The prefix cache of a fake engine, with the events that it publishes. */

import {createWordBlockHasher, seededRandom} from '@persimmonwick/coordination';
import type {PromptBlockHasher} from '@persimmonwick/coordination';

interface FakeCacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly cacheScope: string;
  readonly blockHash: string;
}

const keptEvents = 1000;

export class FakePrefixCache {
  private readonly blocks = new Map<string, string>();
  private readonly events: FakeCacheEvent[] = [];
  private readonly random = seededRandom(1);
  private readonly blocksOf: PromptBlockHasher;
  private sequence = 0;

  constructor(
    private readonly capacity: number,
    private readonly blockTokens: number,
    /** Share of events that are lost, now. */
    private readonly droppedEventShare: () => number,
  ) {
    this.blocksOf = createWordBlockHasher(blockTokens);
  }

  /** Tokens of the prompt whose blocks are cached, from its start on. */
  countCached(scope: string, prompt: string): number {
    const blocks = this.blocksOf(scope, prompt);
    const missing = blocks.findIndex(block => !this.blocks.has(block));
    const hits = missing === -1 ? blocks.length : missing;
    return hits * this.blockTokens;
  }

  /** Caches the prompt's blocks and evicts the least recently stored. */
  store(scope: string, prompt: string): void {
    for (const block of this.blocksOf(scope, prompt)) {
      this.blocks.delete(block);
      this.blocks.set(block, scope);
      this.record('stored', scope, block);
    }
    while (this.blocks.size > this.capacity) {
      const [oldest, oldestScope] = this.blocks.entries().next().value!;
      this.blocks.delete(oldest);
      this.record('evicted', oldestScope, oldest);
    }
  }

  /** What `/cache-events` answers. */
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
    if (this.events.length > keptEvents) this.events.shift();
  }
}
