import {existsSync} from 'node:fs';

/**
 * Measurements in order: one that reads the results of another runs after it.
 */
const MEASUREMENTS = [
  'slopes',
  'placement',
  'capacity',
  'forward',
  'overload',
  'failover',
  'control',
];

/** The module of a measurement. */
interface Measurement {
  readonly run: (args: readonly string[]) => Promise<void>;
}

/**
 * Runs all measurements whose module exists, one after another.
 *
 * @example
 * await run();
 */
export async function run(): Promise<void> {
  for (const name of MEASUREMENTS) {
    const file = new URL(`./${name}.js`, import.meta.url);
    if (!existsSync(file)) continue;
    const measurement = (await import(file.href)) as Measurement;
    await measurement.run([]);
  }
}
