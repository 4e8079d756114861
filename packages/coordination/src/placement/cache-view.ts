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
  private sequence = 0;

  /** Sequence number after which the next page is requested. */
  get lastSequence(): number {
    return this.sequence;
  }

  apply(page: CacheEventPage): void {
    // A lower number means that the engine restarted its sequence.
    if (page.newestSequence < this.sequence) this.reset(0);
    for (const event of page.events) {
      if (event.sequence <= this.sequence) continue;
      if (event.sequence !== this.sequence + 1) this.blocks.clear();
      this.sequence = event.sequence;
      if (event.kind === 'stored') this.store(event.blockHash);
      else this.blocks.delete(event.blockHash);
    }
    // The page ends before the newest event, which is a gap too.
    if (page.newestSequence > this.sequence) this.reset(page.newestSequence);
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
    this.sequence = sequence;
  }
}

/**
 * Hashes blocks of `blockTokens` words, counting each word as a token. Each
 * hash covers the block and everything before it. An incomplete last block has
 * no hash.
 */
export function createWordBlockHasher(blockTokens: number): PromptBlockHasher {
  return (cacheScope, prompt) => {
    const words = prompt.split(/\s+/).filter(Boolean);
    const hash = createHash('sha256').update(`${cacheScope}\u0000`);
    const blockHashes: string[] = [];
    for (let end = blockTokens; end <= words.length; end += blockTokens) {
      const blockText = words.slice(end - blockTokens, end).join(' ');
      hash.update(end === blockTokens ? blockText : ` ${blockText}`);
      blockHashes.push(hash.copy().digest('hex'));
    }
    return blockHashes;
  };
}
