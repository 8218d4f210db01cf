import {hashText, sameAddress, type Handover} from '../model/index.js';

const HASH_RANGE = 2 ** 32;

/**
 * Returns whether vanillaspool, and not the old address, serves a subject of a
 * service that is being handed over. Apart from the prefixes, the result
 * depends only on the subject's hash: raising the share only adds subjects, and
 * lowering it returns the same subjects to the old address.
 *
 * @param subject Key of the request, or its path for a service without keys.
 * @throws {RangeError} when the share is not between 0 and 1.
 *
 * @example
 * isHandedOver({oldAddress, share: 0, prefixes: ['sport-']}, 'sport-night'); // true
 */
export function isHandedOver(handover: Handover, subject: string): boolean {
  const {share, prefixes} = handover;
  if (!(share >= 0 && share <= 1)) {
    throw new RangeError(`expected a share from 0 to 1, got ${share}`);
  }
  if (prefixes.some(prefix => subject.startsWith(prefix))) return true;
  return hashText(`handover\n${subject}`) < share * HASH_RANGE;
}

/** The previous handover; without `handover` if there was none. */
export interface PreviousHandover {
  readonly handover?: Handover;
}

/** The side that serves a subject. */
export type Side =
  /** An instance that vanillaspool chooses. */
  | {readonly kind: 'new'}
  | {readonly kind: 'old'; readonly handover: Handover}
  /** Neither: one side has to finish its requests before the other starts. */
  | {readonly kind: 'moving'};

const NEW: Side = {kind: 'new'};
const MOVING: Side = {kind: 'moving'};

/**
 * Finds the side that serves a subject. While requests that started under the
 * previous handover may be in flight, neither side serves a subject that
 * changes sides.
 *
 * @param current Current handover; undefined if there is none.
 * @param previous Previous handover; undefined if no request that started under
 *     it is in flight.
 *
 * @example
 * findSide(undefined, undefined, 'night-desk').kind; // 'new'
 */
export function findSide(
  current: Handover | undefined,
  previous: PreviousHandover | undefined,
  subject: string,
): Side {
  const now = oldHandover(current, subject);
  if (previous) {
    const before = oldHandover(previous.handover, subject);
    if (!sameSide(before, now)) return MOVING;
  }
  return now ? {kind: 'old', handover: now} : NEW;
}

/**
 * Returns the handover if its old address serves the subject, else undefined.
 */
function oldHandover(
  handover: Handover | undefined,
  subject: string,
): Handover | undefined {
  if (!handover || isHandedOver(handover, subject)) return undefined;
  return handover;
}

/** Returns whether both sides are vanillaspool or the same old address. */
function sameSide(a: Handover | undefined, b: Handover | undefined): boolean {
  if (!a || !b) return a === b;
  return sameAddress(a.oldAddress, b.oldAddress);
}
