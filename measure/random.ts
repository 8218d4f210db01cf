import type {Random} from '../src/load/index.js';

export {createRandom as seeded, type Random} from '../src/load/index.js';

/**
 * Draws from the standard normal distribution.
 *
 * @example
 * normal(seeded(1));
 */
export function randomNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/**
 * Draws an integer from 0 up to a bound.
 *
 * @example
 * below(seeded(1), 6); // 0 to 5
 */
export function randomInteger(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}
