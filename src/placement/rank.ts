/**
 * Returns the rendezvous hashing score of a candidate for a slice, as an
 * unsigned 32-bit integer. Takes the hash of the candidate's name, so that
 * ranking many slices hashes each name once.
 *
 * @example
 * rendezvousScore(7, hashText('rota-1')); // the same number at every daemon
 */
export function rendezvousScore(slice: number, nameHash: number): number {
  let mixed = Math.imul(slice + 1, 0x9e3779b1) ^ nameHash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Compares instance names by code unit, independently of the locale.
 *
 * @example
 * compareNames('a', 'b'); // -1
 */
export function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
