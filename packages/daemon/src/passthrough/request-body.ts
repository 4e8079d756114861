/** Reads the body of a call. */

import type {IncomingMessage} from 'node:http';
import type {RequestFailure} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/** Reads a body of at most `maximumBytes`. Never rejects. */
export async function readRequestBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Uint8Array, RequestFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes)
        return Result.err({
          code: 'body-too-large',
          message: `the body exceeds ${maximumBytes} bytes`,
          ran: 'not-run',
        });
      chunks.push(chunk);
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
