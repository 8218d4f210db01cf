import {existsSync} from 'node:fs';

/** A measurement: writes JSON lines on standard output and files under `measure/results`. */
interface Measurement {
  readonly run: (args: readonly string[]) => Promise<void>;
}

const [name = 'all', ...args] = process.argv.slice(2);
const file = new URL(`./${name}.js`, import.meta.url);
if (!existsSync(file)) {
  console.error(`measure: no measurement is named ${name}`);
  process.exit(2);
}
const measurement = (await import(file.href)) as Measurement;
await measurement.run(args);
