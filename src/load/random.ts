/** A source of numbers from 0 up to, but not including, 1. */
export type Random = () => number;

/**
 * Creates a seeded source of pseudo-random numbers (mulberry32).
 *
 * @example
 * createRandom(1)() === createRandom(1)(); // true
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
