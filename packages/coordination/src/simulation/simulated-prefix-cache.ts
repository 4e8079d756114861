/** The prefix cache of a simulated engine and its cache events. */

import type {CacheEvent, CacheEventPage} from '../upstreams/engine.js';

const maximumEvents = 256;

export class SimulatedPrefixCache {
  /** Cache scope by block, in order from least to most recently stored. */
  private readonly blocks = new Map<string, string>();
  private readonly events: CacheEvent[] = [];
  private sequence = 0;

  constructor(private readonly maximumBlocks: number) {}

  /** Returns the number of leading blocks that are cached. */
  countCachedPrefix(blocks: readonly string[]): number {
    const firstMissing = blocks.findIndex(block => !this.blocks.has(block));
    return firstMissing === -1 ? blocks.length : firstMissing;
  }

  clear(): void {
    this.blocks.clear();
  }

  eventsAfter(afterSequence: number): CacheEventPage {
    return {
      newestSequence: this.sequence,
      events: this.events.filter(({sequence}) => sequence > afterSequence),
    };
  }

  store(scope: string, block: string): void {
    const isNew = !this.blocks.delete(block);
    this.blocks.set(block, scope);
    if (isNew) this.record('stored', scope, block);
    if (this.blocks.size <= this.maximumBlocks) return;
    const [oldest, oldestScope] = this.blocks.entries().next().value!;
    this.blocks.delete(oldest);
    this.record('evicted', oldestScope, oldest);
  }

  private record(kind: CacheEvent['kind'], scope: string, block: string): void {
    this.sequence += 1;
    this.events.push({
      sequence: this.sequence,
      kind,
      cacheScope: scope,
      blockHash: block,
    });
    if (this.events.length > maximumEvents) this.events.shift();
  }
}
