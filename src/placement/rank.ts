import {hashText} from '../model/index.js';

/**
 * Scores a candidate for a slice by rendezvous hashing, as an unsigned 32-bit
 * integer. The name's hash is passed in, so that ranking many slices hashes
 * each name once.
 *
 * @example
 * score(7, hashText('rota-1')); // the same number at every daemon
 */
export function score(slice: number, nameHash: number): number {
  let mixed = Math.imul(slice + 1, 0x9e3779b1) ^ nameHash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders instances for a slice by rendezvous hashing, best first.
 *
 * @example
 * rankForSlice(7, members)[0]; // the same member at every daemon
 */
export function rankForSlice<T extends {readonly instance: string}>(
  slice: number,
  candidates: readonly T[],
): readonly T[] {
  const scored = candidates.map(candidate => ({
    candidate,
    score: score(slice, hashText(candidate.instance)),
  }));
  scored.sort(
    (a, b) =>
      b.score - a.score || order(a.candidate.instance, b.candidate.instance),
  );
  return scored.map(entry => entry.candidate);
}

/** Orders instance names by code unit, the same in every locale. */
export function order(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
