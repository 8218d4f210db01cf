/** A source of numbers from 0 up to 1. */
export type Random = () => number;

/**
 * Creates a source whose numbers depend on the seed alone (mulberry32).
 *
 * @example
 * createRandom(7)() === createRandom(7)(); // true
 */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Draws from the exponential distribution.
 *
 * @example
 * exponential(createRandom(7), 10); // 10 on average
 */
export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * Draws a whole number from 0 up to `count`, of which small ones are more
 * frequent, as of names by Zipf's law.
 *
 * @example
 * skewed(createRandom(7), 100); // 0 in about one of five draws
 */
export function skewed(random: Random, count: number): number {
  return Math.min(count - 1, Math.floor((count + 1) ** random()) - 1);
}
