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
 * @throws {RangeError} if the points have fewer than two distinct values of x.
 *
 * @example
 * fitLine([{x: 1, y: 3}, {x: 2, y: 5}]); // slope 2, intercept 1, r2 1
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(p => p.x));
  const meanY = mean(points.map(p => p.y));
  const sumOfSquaresX = sum(points.map(p => (p.x - meanX) ** 2));
  if (!(sumOfSquaresX > 0))
    throw new RangeError('a line fit needs at least two distinct values of x');
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
 * Returns the sum of numbers; 0 for an empty list.
 *
 * @example
 * sum([1, 2]); // 3
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Returns the arithmetic mean; NaN for an empty list.
 *
 * @example
 * mean([1, 2]); // 1.5
 */
export function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

/**
 * Returns the median; for an even number of values, the lower of the two middle
 * ones.
 *
 * @throws {RangeError} if the list is empty.
 *
 * @example
 * median([3, 1, 2]); // 2
 */
export function median(values: readonly number[]): number {
  if (values.length === 0)
    throw new RangeError('the median needs at least one value');
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
