/** Reads the body of a call. */

import type {IncomingMessage} from 'node:http';
import {cancellationFailureOf} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/**
 * Reads a body of at most `maximumBytes`. Discards the rest of a larger one, so that
 * its caller can read the response behind its upload. `disconnected` says why the
 * connection has ended. Never rejects.
 */
export async function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
  disconnected: AbortSignal,
): Promise<Result<Uint8Array, RequestFailure>> {
  try {
    const body = await collectBody(request, maximumBytes);
    if (body !== undefined) return Result.ok(body);
  } catch {
    return Result.err(cancellationFailureOf(disconnected, 'not-run'));
  }
  request.resume();
  return Result.err({
    code: 'body-too-large',
    message: `the body exceeds ${maximumBytes} bytes`,
    ran: 'not-run',
  });
}

/** Returns undefined for a larger body; rejects if the connection ends. */
async function collectBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Uint8Array | undefined> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maximumBytes) return undefined;
  const chunks: Buffer[] = [];
  let size = 0;
  // A destroyed request would take no more bytes from its connection.
  const parts = request.iterator({destroyOnReturn: false});
  for await (const part of parts as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maximumBytes) return undefined;
    chunks.push(part);
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
