/** Buffers small responses, so that an interrupted one can be retried. */

import {Result} from 'true-myth';
import {upstreamId} from '../ids.js';
import type {PassthroughResponse, PassthroughError} from './call.js';
import {InterruptedResponseError} from './call.js';
import {ChunkQueue} from './chunk-queue.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Responses up to this size are buffered before they are passed on. */
const maximumBufferedBytes = 1 << 20;

/**
 * Buffers the body of a response. A longer body is streamed after the buffered
 * part. One that keeps sending bytes without an end is given up when `isOverdue`.
 */
export async function bufferResponse(
  response: PassthroughResponse,
  {document}: TrackedUpstream,
  isOverdue: () => boolean,
): Promise<Result<PassthroughResponse, PassthroughError>> {
  const iterator = response.body[Symbol.asyncIterator]();
  const chunks = new ChunkQueue();
  try {
    while (chunks.length <= maximumBufferedBytes) {
      const {done, value} = await iterator.next();
      if (done === true)
        return Result.ok({...response, body: yieldChunks(chunks)});
      chunks.push(value);
      if (isOverdue()) {
        await iterator.return?.();
        return Result.err({
          kind: 'silent',
          upstream: upstreamId(document.name),
        });
      }
    }
  } catch (error) {
    if (!(error instanceof InterruptedResponseError)) throw error;
    return Result.err({kind: error.reason, upstream: error.upstream});
  }
  return Result.ok({...response, body: yieldChunksAndRest(chunks, iterator)});
}

async function* yieldChunks(chunks: ChunkQueue): AsyncGenerator<Uint8Array> {
  for (let next = chunks.shift(); next !== undefined; next = chunks.shift())
    yield next;
}

async function* yieldChunksAndRest(
  chunks: ChunkQueue,
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  try {
    yield* yieldChunks(chunks);
    for (;;) {
      const {done, value} = await iterator.next();
      if (done === true) return;
      yield value;
    }
  } finally {
    await iterator.return?.();
  }
}
