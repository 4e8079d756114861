/** Bodies with which callers exhaust the memory or the processor of a host. */

import {setTimeout as sleep} from 'node:timers/promises';
import {chunksOf} from './caller-crowd.js';
import type {BodyFraming, WrittenParts} from './caller-crowd.js';

/** A kind of body that each caller of a crowd sends. */
export interface ExhaustingBody {
  readonly name: string;
  readonly callers: number;
  readonly framing: BodyFraming;
  readonly parts: () => WrittenParts;
}

/** Bytes that are missing at the end of a body that stops short of it. */
const missingBytes = 10;

const largeChunkBytes = 64 * 1024;
const pieceBytes = 64 * 1024;
const pauseMilliseconds = 20;

/** Callers whose bodies exceed the memory of a host of 200 MB by a quarter. */
const largeBodyCallers = 60;

/** Each sends its bytes faster than a host parses them. */
const smallChunkCallers = 40;

/** The bodies for a host that accepts up to `limitBytes`. */
export function exhaustingBodies(
  limitBytes: number,
): readonly ExhaustingBody[] {
  const whole = Buffer.alloc(limitBytes, 'x');
  const short = whole.subarray(0, limitBytes - missingBytes);
  const declared: BodyFraming = {kind: 'length', bytes: limitBytes};
  const chunked: BodyFraming = {kind: 'chunks'};
  const large = {callers: largeBodyCallers};
  return [
    {
      ...{name: 'whole bodies', framing: declared, ...large},
      parts: () => [whole],
    },
    {
      ...{name: 'bodies that stop short of their end', framing: declared},
      ...large,
      parts: () => [short],
    },
    {
      ...{name: 'bodies in pieces that stop short of their end', ...large},
      framing: declared,
      parts: () => piecesOf(short),
    },
    {
      ...{name: 'large chunks without the last one', framing: chunked},
      ...large,
      parts: () => chunksOf(largeChunkBytes, limitBytes),
    },
    {
      ...{name: 'chunks of one byte without the last one', framing: chunked},
      callers: smallChunkCallers,
      parts: () => chunksOf(1, limitBytes),
    },
    {
      ...{name: 'chunks beyond the limit', framing: chunked, ...large},
      parts: () => chunksOf(largeChunkBytes, 4 * limitBytes),
    },
    {
      ...{name: 'bodies announced beyond the limit', ...large},
      framing: {kind: 'length', bytes: 4 * limitBytes},
      parts: () => [whole, whole, whole, short],
    },
  ];
}

async function* piecesOf(body: Buffer): AsyncIterable<Buffer> {
  for (let start = 0; start < body.length; start += pieceBytes) {
    yield body.subarray(start, start + pieceBytes);
    await sleep(pauseMilliseconds);
  }
}
