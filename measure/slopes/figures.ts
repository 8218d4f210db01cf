import {fitLine, median, type Point} from '../statistics.js';
import {round, type Result} from '../results.js';

/** Repeats of each measurement; the median is kept. */
export const REPETITIONS = 7;

/**
 * Runs work many times and returns the median time of one, in microseconds.
 *
 * @example
 * timeUs(1000, () => JSON.parse('1'));
 */
export function timeUs(count: number, work: () => void): number {
  for (let i = 0; i < count; i++) work();
  const times = Array.from({length: REPETITIONS}, () => {
    const from = process.hrtime.bigint();
    for (let i = 0; i < count; i++) work();
    return Number(process.hrtime.bigint() - from) / 1000 / count;
  });
  return median(times);
}

/**
 * Describes one measured figure.
 *
 * @example
 * figure('heartbeat-bytes', 99, 'bytes');
 */
export function figure(name: string, value: number, unit: string): Result {
  return {name, value: round(value, 3), unit};
}

/**
 * The points of a measurement and the slope fitted to them.
 *
 * @example
 * fitted('plan', points, 'us', 'members');
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
