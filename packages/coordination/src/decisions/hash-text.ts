/** Hashes that are the same at all hosts of any build. */

import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();
const hashRange = 2 ** 32;

/** Returns the 32-bit hash of `text`. */
export function hashText(text: string): number {
  return h32(text);
}

/** Returns a number from 0 (inclusive) to 1 that depends on `text` alone. */
export function drawByText(text: string): number {
  return h32(text) / hashRange;
}
