/**
 * What is known of an engine's prefix cache. A gap in the sequence of events
 * makes everything before it unknown, because an eviction may be missing.
 */

import {createHash} from 'node:crypto';
import type {CacheEventPage} from '../upstreams/engine.js';

/** Names the cache blocks of a prompt, in order. */
export type PromptBlockHasher = (
  cacheScope: string,
  prompt: string,
) => string[];

const maximumBlocks = 4_096;

export class PrefixCacheView {
  private readonly blocks = new Set<string>();
  private sequence = 0;

  /** Newest event that was read. */
  get newestSequence(): number {
    return this.sequence;
  }

  apply(page: CacheEventPage): void {
    if (page.newestSequence < this.sequence) this.forget(0);
    for (const event of page.events) {
      if (event.sequence <= this.sequence) continue;
      if (event.sequence !== this.sequence + 1) this.blocks.clear();
      this.sequence = event.sequence;
      if (event.kind === 'stored') this.store(event.blockHash);
      else this.blocks.delete(event.blockHash);
    }
    // Events up to the newest are missing from the page: a gap at its end.
    if (page.newestSequence > this.sequence) this.forget(page.newestSequence);
  }

  /** Number of leading blocks that are believed to be cached. */
  countCachedPrefix(blocks: readonly string[]): number {
    const missing = blocks.findIndex(block => !this.blocks.has(block));
    return missing === -1 ? blocks.length : missing;
  }

  /** Notes blocks that an engine has just computed for this host. */
  store(block: string): void {
    this.blocks.delete(block);
    this.blocks.add(block);
    if (this.blocks.size <= maximumBlocks) return;
    const [oldest] = this.blocks;
    this.blocks.delete(oldest!);
  }

  private forget(sequence: number): void {
    this.blocks.clear();
    this.sequence = sequence;
  }
}

/** Blocks of whitespace-separated tokens, each hashed with all before it. */
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
