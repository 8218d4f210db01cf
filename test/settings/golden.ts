import {readFileSync} from 'node:fs';

/** Reads a golden file of this module. */
export function readGolden(name: string): string {
  const url = new URL(`../golden/settings/${name}`, import.meta.url);
  return readFileSync(url, 'utf8');
}
