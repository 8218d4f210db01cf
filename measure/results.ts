import {mkdirSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/** One measured figure or row of figures. */
export interface Result {
  /** Name of the figure, unique within its file. */
  readonly name: string;
  readonly value: number;
  /** Unit of the value, such as `ms` or `bytes`. */
  readonly unit: string;
  /** What else the figure depends on, such as the fleet size. */
  readonly of?: Readonly<Record<string, string | number | boolean>>;
}

/** How a run was made. */
export interface Run {
  /** Command that repeats the run. */
  readonly command: string;
  /** Seed of every random choice; undefined for a run without any. */
  readonly seed?: number;
  /** Time of the run in ISO 8601 form. */
  readonly date: string;
}

/** Directory of the committed results, in the source tree. */
export const RESULTS_URL = new URL('../../measure/results/', import.meta.url);

/**
 * Formats results as JSON lines; each line names the run's command, seed and
 * date.
 *
 * @example
 * formatResults(run, [{name: 'send', value: 3.1, unit: 'us'}]);
 */
export function formatResults(run: Run, results: readonly Result[]): string {
  return results
    .map(result => JSON.stringify({...result, ...run}) + '\n')
    .join('');
}

/**
 * Writes results to standard output and to a file of the results directory,
 * replacing the file's earlier content.
 *
 * @example
 * writeResults('placement.jsonl', run, results);
 */
export function writeResults(
  file: string,
  run: Run,
  results: readonly Result[],
): void {
  const text = formatResults(run, results);
  process.stdout.write(text);
  writeResultFile(file, text);
}

/**
 * Writes a file, such as a plot, to the results directory.
 *
 * @example
 * writeResultFile('placement.svg', svg);
 */
export function writeResultFile(file: string, text: string): void {
  mkdirSync(RESULTS_URL, {recursive: true});
  writeFileSync(fileURLToPath(new URL(file, RESULTS_URL)), text);
}

/**
 * Describes the run that starts now.
 *
 * @example
 * startRun('npm run measure -- placement', 1);
 */
export function describeRun(command: string, seed?: number): Run {
  const date = new Date().toISOString();
  return seed === undefined ? {command, date} : {command, seed, date};
}

/**
 * Rounds to a number of significant digits, so that results stay readable.
 *
 * @example
 * round(0.123456, 3); // 0.123
 */
export function round(value: number, digits = 4): number {
  return Number(value.toPrecision(digits));
}
