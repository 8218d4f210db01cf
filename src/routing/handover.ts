import {hashText, sameAddress, type Handover} from '../model/index.js';

const HASH_RANGE = 2 ** 32;

/**
 * Tells whether vanillaspool serves a subject of a service that is being handed
 * over, or the old address still does. The answer depends on the subject's hash
 * alone: raising the share only adds subjects, lowering it gives the same ones
 * back.
 *
 * @param subject Key of the request; its path for a service without keys.
 * @throws {RangeError} when the share is not between 0 and 1.
 *
 * @example
 * isHandedOver({oldAddress, share: 0, prefixes: ['sport-']}, 'sport-night'); // true
 */
export function isHandedOver(handover: Handover, subject: string): boolean {
  const {share, prefixes} = handover;
  if (!(share >= 0 && share <= 1)) {
    throw new RangeError(`share is not between 0 and 1: ${share}`);
  }
  if (prefixes.some(prefix => subject.startsWith(prefix))) return true;
  return hashText(`handover\n${subject}`) < share * HASH_RANGE;
}

/** The handover that was in force before; absent when there was none. */
export interface PreviousHandover {
  readonly handover?: Handover;
}

/** Who serves a subject. */
export type Side =
  /** The owner within vanillaspool. */
  | {readonly kind: 'new'}
  | {readonly kind: 'old'; readonly handover: Handover}
  /** One side finishes its requests before the other begins. */
  | {readonly kind: 'moving'};

const NEW: Side = {kind: 'new'};
const MOVING: Side = {kind: 'moving'};

/**
 * Finds who serves a subject. While requests that began under the previous
 * handover may be in flight, a subject that changes sides is served by neither.
 *
 * @param current Handover in force; undefined when none is.
 * @param previous Undefined when no request of an earlier one is in flight.
 *
 * @example
 * sideOf(undefined, undefined, 'night-desk').kind; // 'new'
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

/** Returns the handover if its old address serves the subject. */
function oldHandover(
  handover: Handover | undefined,
  subject: string,
): Handover | undefined {
  if (!handover || isHandedOver(handover, subject)) return undefined;
  return handover;
}

function sameSide(a: Handover | undefined, b: Handover | undefined): boolean {
  if (!a || !b) return a === b;
  return sameAddress(a.oldAddress, b.oldAddress);
}
