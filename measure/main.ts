import {existsSync} from 'node:fs';

/**
 * Module of a measurement, which writes JSON lines to standard output and files to
 * `measure/results`.
 */
interface Measurement {
  readonly run: (args: readonly string[]) => Promise<void>;
}

const [name = 'all', ...args] = process.argv.slice(2);
const file = new URL(`./${name}.js`, import.meta.url);
if (!existsSync(file)) {
  console.error(
    `measure: unknown measurement ${name}: expected a module of measure/`,
  );
  process.exit(2);
}
const measurement = (await import(file.href)) as Measurement;
await measurement.run(args);
