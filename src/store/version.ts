/**
 * Revisions that a store gives out between two returns from a copy at most: eight
 * years of 400 writes a second.
 */
const REVISIONS_PER_ERA = 1e11;

/**
 * Returns the version of an object: it orders states of the store also if the
 * store has come back from an older copy and gives out its revisions again.
 *
 * @param era Number that rises each time the store comes back from a copy; 0 for
 *     a store that never does.
 * @param revision Revision of the store within the era; 0 for no object.
 * @throws {RangeError} if the version would not be a safe integer.
 *
 * @example
 * versionOf(3, 530); // 300000000530
 */
export function versionOf(era: number, revision: number): number {
  const version = era * REVISIONS_PER_ERA + revision;
  if (!Number.isSafeInteger(version) || !(revision < REVISIONS_PER_ERA)) {
    throw new RangeError(
      `expected integers in range, found era ${era} and revision ${revision}`,
    );
  }
  return version;
}

/**
 * Returns the era of the store at a version.
 *
 * @example
 * eraOf(300000000530); // 3
 */
export function eraOf(version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA);
}

/**
 * Returns the revision of the store at a version, within its era.
 *
 * @example
 * revisionOf(300000000530); // 530
 */
export function revisionOf(version: number): number {
  return version % REVISIONS_PER_ERA;
}
