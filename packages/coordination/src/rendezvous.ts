/**
 * Rendezvous hashing. Every host ranks the same candidates in the same order
 * for a name, without communication. Removing a candidate reassigns only the
 * names that were assigned to it.
 */

import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/**
 * Returns `candidates` in descending order of their score for `name`. Ties are
 * ordered by the id of the candidate.
 */
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
