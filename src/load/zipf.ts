import type {Random} from './random.js';

/** Returns a random rank from 0; lower ranks are more frequent. */
export type RankSampler = (random: Random) => number;

/**
 * Creates a Zipf distribution over ranks.
 *
 * @param count Number of ranks.
 * @param exponent Skew; 0 gives every rank the same probability.
 * @throws {RangeError} when the count is not a positive integer or the exponent
 * is negative.
 *
 * @example
 * const draw = createZipf(1000, 1.1);
 * draw(createRandom(1)); // an integer from 0 to 999
 */
export function createZipf(count: number, exponent: number): RankSampler {
  if (!Number.isInteger(count) || count < 1) {
    throw new RangeError(
      `number of keys must be a positive integer, got ${count}`,
    );
  }
  if (!(exponent >= 0))
    throw new RangeError(`Zipf exponent must be at least 0, got ${exponent}`);
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
