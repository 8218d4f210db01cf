import type {Random} from '../../src/load/index.js';

export {createRandom, type Random} from '../../src/load/index.js';

/**
 * Draws from the exponential distribution.
 *
 * @example
 * exponential(createRandom(7), 10); // 10 on average
 */
export function randomExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * Draws a whole number from 0 up to `count`, of which small ones are more
 * frequent, as of names by Zipf's law.
 *
 * @example
 * skewed(createRandom(7), 100); // 0 in about one of five draws
 */
export function randomZipf(random: Random, count: number): number {
  return Math.min(count - 1, Math.floor((count + 1) ** random()) - 1);
}
