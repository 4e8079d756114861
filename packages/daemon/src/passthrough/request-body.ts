/** Reads the body of a call. */

import type {IncomingMessage} from 'node:http';
import type {RequestFailure} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/**
 * Reads a body of at most `maximumBytes`. Discards the rest of a larger one, so that
 * its caller can read the response behind its upload. Never rejects.
 */
export async function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Uint8Array, RequestFailure>> {
  const chunks: Buffer[] = [];
  let size = Number(request.headers['content-length'] ?? 0);
  try {
    if (size <= maximumBytes) {
      size = 0;
      // A destroyed request would take no more bytes from its connection.
      const parts = request.iterator({destroyOnReturn: false});
      for await (const part of parts as AsyncIterable<Buffer>) {
        size += part.length;
        if (size > maximumBytes) break;
        chunks.push(part);
      }
    }
    if (size > maximumBytes) {
      request.resume();
      return Result.err({
        code: 'body-too-large',
        message: `the body exceeds ${maximumBytes} bytes`,
        ran: 'not-run',
      });
    }
  } catch {
    return Result.err({
      code: 'caller-gone',
      message: 'the caller disconnected while sending the body',
      ran: 'not-run',
    });
  }
  return Result.ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
}
