import {hashText, type Handover} from '../model/index.js';

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
