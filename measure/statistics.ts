/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points, `y = intercept + slope * x`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, at most 1. */
  readonly r2: number;
}

/**
 * Fits a line by least squares.
 *
 * @throws {RangeError} when fewer than two different values of x are given.
 *
 * @example
 * fitLine([{x: 1, y: 3}, {x: 2, y: 5}]); // slope 2, intercept 1, r2 1
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(p => p.x));
  const meanY = mean(points.map(p => p.y));
  const sumOfSquaresX = sum(points.map(p => (p.x - meanX) ** 2));
  if (!(sumOfSquaresX > 0))
    throw new RangeError('needs two different values of x');
  const sumOfProducts = sum(points.map(p => (p.x - meanX) * (p.y - meanY)));
  const slope = sumOfProducts / sumOfSquaresX;
  const intercept = meanY - slope * meanX;
  const sumOfSquaresY = sum(points.map(p => (p.y - meanY) ** 2));
  const residualSumOfSquares = sum(
    points.map(p => (p.y - intercept - slope * p.x) ** 2),
  );
  return {
    slope,
    intercept,
    r2: sumOfSquaresY === 0 ? 1 : 1 - residualSumOfSquares / sumOfSquaresY,
  };
}

/**
 * Adds numbers.
 *
 * @example
 * sum([1, 2]); // 3
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Returns the arithmetic mean; NaN of no values.
 *
 * @example
 * mean([1, 2]); // 1.5
 */
export function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

/**
 * Returns the median, or the lower of the two middle values.
 *
 * @throws {RangeError} when there is no value.
 *
 * @example
 * median([3, 1, 2]); // 2
 */
export function median(values: readonly number[]): number {
  if (values.length === 0) throw new RangeError('no values');
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
