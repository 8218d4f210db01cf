/** Source of pseudo-random numbers from 0 up to 1. */
export type Random = () => number;

/**
 * Creates a seeded source of random numbers (mulberry32).
 *
 * @example
 * const random = seeded(1);
 * random(); // the same on every run
 */
export function seeded(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Draws from the standard normal distribution.
 *
 * @example
 * normal(seeded(1));
 */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/**
 * Draws an integer from 0 up to a bound.
 *
 * @example
 * below(seeded(1), 6); // 0 to 5
 */
export function below(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}
