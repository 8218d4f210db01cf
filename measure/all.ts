import {existsSync} from 'node:fs';

/** Measurements in the order in which they depend on each other's results. */
const MEASUREMENTS = [
  'slopes',
  'capacity',
  'placement',
  'forward',
  'overload',
  'failover',
  'control',
];

/** A measurement's module. */
interface Measurement {
  readonly run: (args: readonly string[]) => Promise<void>;
}

/**
 * Runs every measurement that exists, one after another.
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
