// Helpers of the generators of docs/EVENTS.md and docs/METRICS.md: read
// declarations from the built modules and write pages with tables of them.
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';
import {format, resolveConfig} from 'prettier';

const SOURCE_ROOT = 'src';
const BUILD_ROOT = 'build';

function* sources(dir, name) {
  const entries = readdirSync(dir, {withFileTypes: true});
  for (const entry of entries.sort((a, b) => (a.name < b.name ? -1 : 1))) {
    const path = join(dir, entry.name);
    if (entry.isDirectory()) yield* sources(path, name);
    else if (entry.name === name) yield path;
  }
}

/**
 * Returns the entries of all constants exported by the modules with a given
 * file name, each with its module and its key in the constant.
 */
export async function declarations(fileName, isEntry) {
  const found = [];
  for (const source of sources(SOURCE_ROOT, fileName)) {
    const built = join(BUILD_ROOT, source.replace(/\.ts$/, '.js'));
    if (!existsSync(built)) throw new Error(`${built} is missing: build first`);
    const exported = await import(pathToFileURL(built).href);
    const module = source.split('/').slice(1, -1).join('/');
    for (const constant of Object.values(exported)) {
      if (typeof constant !== 'object' || constant === null) continue;
      for (const [name, entry] of Object.entries(constant)) {
        if (isEntry(entry)) found.push({...entry, module, key: name});
      }
    }
  }
  return found;
}

/** Returns rows as a Markdown table. */
export function table(headings, rows) {
  const line = cells =>
    `| ${cells.map(cell => String(cell).replaceAll('|', '\\|')).join(' | ')} |`;
  const rule = headings.map(() => '---');
  return [line(headings), line(rule), ...rows.map(line)].join('\n');
}

/**
 * Writes a page, or with `--check` compares it with the file. Returns the exit
 * code: 1 if the file was checked and is not current, else 0.
 */
export async function writePage(path, text, args) {
  const options = {...(await resolveConfig(path)), filepath: path};
  const wanted = await format(text, options);
  const current = existsSync(path) ? readFileSync(path, 'utf8') : '';
  if (!args.includes('--check')) {
    writeFileSync(path, wanted);
    return 0;
  }
  if (current === wanted) return 0;
  console.error(`${path} is not current: run the generator in tools/`);
  return 1;
}

/** Returns the values that repeat an earlier value. */
export function repeated(values) {
  return values.filter((value, index) => values.indexOf(value) !== index);
}
