/**
 * Scores a candidate for a slice by rendezvous hashing, as an unsigned 32-bit
 * integer. The candidate's hash is passed in, so that ranking many slices
 * hashes each name once.
 *
 * @example
 * score(7, hashText('rota-1')); // the same number at every daemon
 */
export function rendezvousScore(slice: number, nameHash: number): number {
  let mixed = Math.imul(slice + 1, 0x9e3779b1) ^ nameHash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders instance names by code unit, the same in every locale.
 *
 * @example
 * order('a', 'b'); // -1
 */
export function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
