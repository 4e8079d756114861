/** Buffers small responses, so that an interrupted one can be retried. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import {upstreamId} from '../ids.js';
import type {PassthroughResponse, PassthroughError} from './call.js';
import {InterruptedResponseError} from './call.js';
import {ChunkQueue} from './chunk-queue.js';
import type {HeldBytes} from './response-memory.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Responses up to this size are buffered before they are passed on. */
const maximumBufferedBytes = 1 << 20;

/** Lowest status that reports a failure of the upstream. */
const firstServerErrorStatus = 500;

/** A response whose body is buffered, or that is passed on while it arrives. */
export interface BufferedResponse extends PassthroughResponse {
  readonly isComplete: boolean;
}

/**
 * Buffers the body of a response. A longer body is streamed after the buffered
 * part, and its end is recorded in the health of the upstream. One that keeps sending
 * bytes without an end is given up at the clock time `deadline`.
 */
export async function bufferResponse(
  response: PassthroughResponse,
  upstream: TrackedUpstream,
  clock: Clock,
  deadline: number,
): Promise<Result<BufferedResponse, PassthroughError>> {
  const iterator = response.body[Symbol.asyncIterator]();
  const chunks = new ChunkQueue();
  const {held} = response;
  try {
    while (chunks.length <= bufferLimitOf(response)) {
      const {done, value} = await iterator.next();
      if (done === true)
        return Result.ok({
          ...response,
          isComplete: true,
          body: yieldChunks(chunks, held),
        });
      chunks.push(value);
      held?.add(value.length);
      if (clock.now() > deadline) {
        await iterator.return?.();
        return Result.err({
          kind: 'silent',
          upstream: upstreamId(upstream.document.name),
        });
      }
    }
  } catch (error) {
    if (!(error instanceof InterruptedResponseError)) throw error;
    return Result.err({kind: error.reason, upstream: error.upstream});
  }
  const body = yieldChunksAndRest(chunks, held, iterator);
  return Result.ok({
    ...response,
    isComplete: false,
    body:
      response.status < firstServerErrorStatus
        ? recordEnd(body, upstream, clock)
        : body,
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

/**
 * Records the end of a body in the health of its upstream. A body that was not whole
 * at its deadline tells nothing about the upstream if its caller read slowly.
 */
async function* recordEnd(
  body: AsyncIterable<Uint8Array>,
  {health}: TrackedUpstream,
  clock: Clock,
): AsyncGenerator<Uint8Array> {
  const startedAt = clock.now();
  let callerMilliseconds = 0;
  try {
    for await (const chunk of body) {
      const passedOnAt = clock.now();
      yield chunk;
      callerMilliseconds += clock.now() - passedOnAt;
    }
    health.recordSuccess(clock.now());
  } catch (error) {
    const now = clock.now();
    const isCallerSlow = callerMilliseconds > (now - startedAt) / 2;
    if (isUpstreamFailure(error, isCallerSlow)) health.recordFailure(now);
    throw error;
  }
}

function isUpstreamFailure(error: unknown, isCallerSlow: boolean): boolean {
  if (!(error instanceof InterruptedResponseError)) return false;
  switch (error.reason) {
    case 'broken':
      return true;
    case 'silent':
      return !isCallerSlow;
    case 'cancelled':
      return false;
  }
}
