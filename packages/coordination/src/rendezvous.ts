/**
 * Rendezvous hashing: every host ranks the same candidates in the same order
 * for a name, with no message, and the loss of one candidate moves only what it
 * held.
 */

import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** Candidates by falling rank for `name`; ties go by the candidate's text. */
export function rankByRendezvous<Candidate>(
  name: string,
  candidates: readonly Candidate[],
  idOf: (candidate: Candidate) => string,
): Candidate[] {
  const scored = candidates.map(candidate => {
    const id = idOf(candidate);
    return {candidate, id, score: h64(`${name}\u0000${id}`)};
  });
  scored.sort((left, right) => {
    if (left.score !== right.score) return left.score > right.score ? -1 : 1;
    return left.id < right.id ? -1 : 1;
  });
  return scored.map(({candidate}) => candidate);
}
