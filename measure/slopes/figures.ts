import {fitLine, median, type Point} from '../statistics.js';
import {round, type Result} from '../results.js';

/** Repetitions of each measurement, of which the median is the result. */
export const REPETITIONS = 7;

/**
 * Returns the time of one call of `work` in microseconds: the median over
 * `REPETITIONS` of the mean time of `count` calls, after as many warm-up calls.
 *
 * @example
 * timeUs(1000, () => JSON.parse('1'));
 */
export function timeUs(count: number, work: () => void): number {
  for (let i = 0; i < count; i++) work();
  const times = Array.from({length: REPETITIONS}, () => {
    const startNs = process.hrtime.bigint();
    for (let i = 0; i < count; i++) work();
    return Number(process.hrtime.bigint() - startNs) / 1000 / count;
  });
  return median(times);
}

/**
 * Creates the result of one measured figure, rounded.
 *
 * @example
 * figure('heartbeat-bytes', 99, 'bytes');
 */
export function figure(name: string, value: number, unit: string): Result {
  return {name, value: round(value, 3), unit};
}

/**
 * Returns the points of a measurement and the line fitted to them as results.
 *
 * @example
 * fitResults('plan', points, 'us', 'members');
 */
export function fitResults(
  name: string,
  points: readonly Point[],
  unit: string,
  per: string,
): readonly Result[] {
  const line = fitLine(points);
  return [
    ...points.map(({x, y}) => ({
      name: `${name}-at-${x}`,
      value: round(y),
      unit,
      of: {[per]: x},
    })),
    figure(`${name}-slope`, line.slope, `${unit} per ${per}`),
    figure(`${name}-intercept`, line.intercept, unit),
    figure(`${name}-r2`, line.r2, 'share'),
  ];
}
