/**
 * A host's view of an engine's prefix cache, built from cache events. A gap in
 * the sequence clears the view, because an eviction may be among the missing
 * events.
 */

import {createHash} from 'node:crypto';
import type {CacheEventPage} from '../upstreams/engine.js';

/** Computes the hashes of a prompt's cache blocks, in order. */
export type PromptBlockHasher = (
  cacheScope: string,
  prompt: string,
) => string[];

const maximumBlocks = 4_096;

export class PrefixCacheView {
  private readonly blocks = new Set<string>();
  private lastSequence = 0;

  /** Sequence number of the newest event read. */
  get newestSequence(): number {
    return this.lastSequence;
  }

  apply(page: CacheEventPage): void {
    if (page.newestSequence < this.lastSequence) this.reset(0);
    for (const event of page.events) {
      if (event.sequence <= this.lastSequence) continue;
      if (event.sequence !== this.lastSequence + 1) this.blocks.clear();
      this.lastSequence = event.sequence;
      if (event.kind === 'stored') this.store(event.blockHash);
      else this.blocks.delete(event.blockHash);
    }
    // The page ends before the newest event, which is a gap too.
    if (page.newestSequence > this.lastSequence)
      this.reset(page.newestSequence);
  }

  /** Number of leading blocks that the engine is expected to have cached. */
  countCachedPrefix(blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => !this.blocks.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /**
   * Adds a block, or makes it the newest. The oldest one is dropped at the
   * limit.
   */
  store(block: string): void {
    this.blocks.delete(block);
    this.blocks.add(block);
    if (this.blocks.size <= maximumBlocks) return;
    const [oldest] = this.blocks;
    this.blocks.delete(oldest!);
  }

  private reset(sequence: number): void {
    this.blocks.clear();
    this.lastSequence = sequence;
  }
}

/**
 * Splits prompts at whitespace into blocks of `blockTokens` tokens. Each hash
 * covers the block and everything before it.
 */
export function createWordBlockHasher(blockTokens: number): PromptBlockHasher {
  return (cacheScope, prompt) => {
    const words = prompt.split(/\s+/).filter(Boolean);
    const hash = createHash('sha256').update(`${cacheScope}\u0000`);
    const blocks: string[] = [];
    for (let end = blockTokens; end <= words.length; end += blockTokens) {
      const block = words.slice(end - blockTokens, end).join(' ');
      hash.update(end === blockTokens ? block : ` ${block}`);
      blocks.push(hash.copy().digest('hex'));
    }
    return blocks;
  };
}
