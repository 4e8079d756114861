/** Buffers small responses, so that an interrupted one can be retried. */

import {Result} from 'true-myth';
import {upstreamId} from '../ids.js';
import type {PassthroughResponse, PassthroughError} from './call.js';
import {InterruptedResponseError} from './call.js';
import {ChunkQueue} from './chunk-queue.js';
import type {HeldBytes} from './response-memory.js';
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
  const {held} = response;
  try {
    while (chunks.length <= bufferLimitOf(response)) {
      const {done, value} = await iterator.next();
      if (done === true)
        return Result.ok({...response, body: yieldChunks(chunks, held)});
      chunks.push(value);
      held?.add(value.length);
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
  return Result.ok({
    ...response,
    body: yieldChunksAndRest(chunks, held, iterator),
  });
}

function bufferLimitOf({held}: PassthroughResponse): number {
  return Math.min(maximumBufferedBytes, held?.allowance ?? Infinity);
}

async function* yieldChunks(
  chunks: ChunkQueue,
  held: HeldBytes | undefined,
): AsyncGenerator<Uint8Array> {
  for (let next = chunks.shift(); next !== undefined; next = chunks.shift()) {
    held?.add(-next.length);
    yield next;
  }
}

async function* yieldChunksAndRest(
  chunks: ChunkQueue,
  held: HeldBytes | undefined,
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  try {
    yield* yieldChunks(chunks, held);
    for (;;) {
      const {done, value} = await iterator.next();
      if (done === true) return;
      yield value;
    }
  } finally {
    await iterator.return?.();
  }
}
