import type {Random} from './random.js';

/** Draws a rank from 0 up, lower ranks more often. */
export type RankSampler = (random: Random) => number;

/**
 * Creates a Zipf distribution over ranks.
 *
 * @param count Number of ranks.
 * @param exponent Skew; 0 draws every rank equally often.
 * @throws {RangeError} when the count is no positive integer or the exponent
 * is negative.
 *
 * @example
 * const draw = createZipf(1000, 1.1);
 * draw(createRandom(1)); // an integer from 0 to 999
 */
export function createZipf(count: number, exponent: number): RankSampler {
  if (!Number.isInteger(count) || count < 1) {
    throw new RangeError(`not a number of keys: ${count}`);
  }
  if (!(exponent >= 0)) throw new RangeError(`not an exponent: ${exponent}`);
  const sums = new Float64Array(count);
  let sum = 0;
  for (let rank = 0; rank < count; rank++) {
    sum += 1 / (rank + 1) ** exponent;
    sums[rank] = sum;
  }
  return random => firstAbove(sums, random() * sum);
}

function firstAbove(sums: Float64Array, value: number): number {
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sums[middle] > value) high = middle;
    else low = middle + 1;
  }
  return low;
}
