/** Buffers small responses, so that an interrupted one can be retried. */

import {Result} from 'true-myth';
import {upstreamId} from '../ids.js';
import type {PassthroughResponse, PassthroughError} from './call.js';
import {InterruptedResponseError} from './call.js';
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
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    while (size <= maximumBufferedBytes) {
      const {done, value} = await iterator.next();
      if (done === true)
        return Result.ok({...response, body: yieldChunks(chunks)});
      chunks.push(value);
      size += value.length;
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

async function* yieldChunks(chunks: Uint8Array[]): AsyncGenerator<Uint8Array> {
  yield* chunks;
}

async function* yieldChunksAndRest(
  chunks: Uint8Array[],
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  try {
    yield* chunks;
    for (;;) {
      const {done, value} = await iterator.next();
      if (done === true) return;
      yield value;
    }
  } finally {
    await iterator.return?.();
  }
}
