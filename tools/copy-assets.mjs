import {cpSync, existsSync, mkdirSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';

const ROOTS = ['src', 'standin', 'test', 'examples'];

function* files(dir) {
  for (const entry of readdirSync(dir, {withFileTypes: true})) {
    const path = join(dir, entry.name);
    if (entry.isDirectory()) yield* files(path);
    else yield path;
  }
}

for (const root of ROOTS) {
  if (!existsSync(root)) continue;
  for (const path of files(root)) {
    if (!/\.(json|jsonc|golden|txt)$/.test(path)) continue;
    const target = join('build', path);
    mkdirSync(dirname(target), {recursive: true});
    cpSync(path, target);
  }
}
