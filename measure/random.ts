import type {Random} from '../src/load/index.js';

export {createRandom, type Random} from '../src/load/index.js';

/**
 * Returns a random number of the standard normal distribution.
 *
 * @example
 * normal(createRandom(1));
 */
export function randomNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/**
 * Returns a random integer from 0 to `bound`, exclusive.
 *
 * @example
 * below(createRandom(1), 6); // 0 to 5
 */
export function randomInteger(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}
