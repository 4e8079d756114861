/**
 * Bytes of a response in the order of their arrival. Small chunks are joined, because
 * an object for each costs many times their bytes, and a view keeps the whole
 * buffer that it was read into.
 */

/** Chunks from this size on are queued as they are. */
const largeChunkBytes = 1024;

/** Size of the blocks into which smaller chunks are copied. */
const blockBytes = 4096;

export class ChunkQueue {
  private readonly chunks: Uint8Array[] = [];
  /** Small chunk at the end of the queue, not copied yet. */
  private single: Uint8Array | undefined;
  /** Block at the end of the queue that has room for small chunks. */
  private block: Uint8Array | undefined;
  private blockLength = 0;
  /** Number of bytes in the queue. */
  length = 0;

  push(chunk: Uint8Array): void {
    this.length += chunk.length;
    if (chunk.length >= largeChunkBytes) {
      this.closeBlock();
      this.chunks.push(chunk);
    } else if (this.block === undefined && this.single === undefined) {
      this.single = chunk;
    } else this.join(chunk);
  }

  /** Removes the first bytes; returns undefined if there are none. */
  shift(): Uint8Array | undefined {
    const chunk = this.chunks.shift() ?? this.takeLast();
    this.length -= chunk?.length ?? 0;
    return chunk;
  }

  private join(chunk: Uint8Array): void {
    const {single} = this;
    this.single = undefined;
    if (this.blockLength + chunk.length > blockBytes) this.closeBlock();
    this.block ??= new Uint8Array(blockBytes);
    if (single !== undefined) this.append(this.block, single);
    this.append(this.block, chunk);
  }

  private append(block: Uint8Array, chunk: Uint8Array): void {
    block.set(chunk, this.blockLength);
    this.blockLength += chunk.length;
  }

  private closeBlock(): void {
    const chunk = this.single?.slice() ?? this.takeLast();
    this.single = undefined;
    if (chunk !== undefined) this.chunks.push(chunk);
  }

  private takeLast(): Uint8Array | undefined {
    const chunk = this.single ?? this.block?.subarray(0, this.blockLength);
    this.single = undefined;
    this.block = undefined;
    this.blockLength = 0;
    return chunk;
  }
}
