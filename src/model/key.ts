import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Hashes text to an unsigned 32-bit integer, the same on every machine.
 *
 * @example
 * hashText('night-desk') === hashText('night-desk'); // true
 */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/**
 * Returns the slice of a key.
 *
 * @param sliceCount Number of slices, a power of two.
 * @throws {RangeError} when the number of slices is not a power of two.
 *
 * @example
 * sliceOfKey('night-desk', 64); // an integer from 0 to 63
 */
export function sliceOfKey(key: string, sliceCount: number): number {
  if (sliceCount < 1 || (sliceCount & (sliceCount - 1)) !== 0) {
    throw new RangeError(
      `number of slices is not a power of two: ${sliceCount}`,
    );
  }
  return hashText(key) & (sliceCount - 1);
}

/**
 * Orders candidates for a subject by rendezvous hashing, best first.
 *
 * @example
 * rankByRendezvous('chunk 3', ['a', 'b', 'c'], id => id)[0]; // the same one at every caller
 */
export function rankByRendezvous<T>(
  subject: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): readonly T[] {
  const scored = candidates.map(candidate => ({
    candidate,
    name: nameOf(candidate),
    score: hashText(`${subject}\n${nameOf(candidate)}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(entry => entry.candidate);
}
