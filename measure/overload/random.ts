import type {Random} from '../../src/load/index.js';

export {createRandom, type Random} from '../../src/load/index.js';

/**
 * Returns a random number of the exponential distribution.
 *
 * @example
 * randomExponential(createRandom(7), 10); // 10 on average
 */
export function randomExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * Returns a random integer from 0 to `count`, exclusive, approximately by
 * Zipf's law: smaller numbers are more frequent.
 *
 * @example
 * randomZipf(createRandom(7), 100); // 0 in about one of five draws
 */
export function randomZipf(random: Random, count: number): number {
  return Math.min(count - 1, Math.floor((count + 1) ** random()) - 1);
}
